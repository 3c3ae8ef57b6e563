//! As much of a browser as the console's forms need: a cookie, and forms filled in by name.

use std::{collections::BTreeMap, fmt::Write as _, net::SocketAddr, time::Duration};

use host::client::{Answer, Client, build_request};
use hyper::Request;

const LIMIT: Duration = Duration::from_secs(20);

/// One operator's browser.
#[derive(Debug)]
pub struct Browser {
    console: SocketAddr,
    client: Client,
    cookie: Option<String>,
    /// The `Origin` that it sends with forms.
    pub origin: String,
}

/// A page as shown.
#[derive(Clone, Debug)]
pub struct Page {
    /// HTTP status.
    pub status: u16,
    /// The HTML.
    pub html: String,
    /// Where a redirect leads.
    pub location: Option<String>,
}

/// What a form holds, by the fields' names.
pub type Fields = BTreeMap<String, String>;

impl Browser {
    /// A browser without a session at the console's address.
    pub fn new(console: SocketAddr) -> Self {
        Self {
            console,
            client: Client::new(LIMIT),
            cookie: None,
            origin: format!("http://{console}"),
        }
    }

    /// Opens a page.
    pub async fn open(&mut self, path: &str) -> Page {
        let url = format!("http://{}{path}", self.console);
        self.send(Request::get(&url), String::new(), &url).await
    }

    /// Sends a form.
    pub async fn submit(&mut self, path: &str, fields: &Fields) -> Page {
        let url = format!("http://{}{path}", self.console);
        let mut body = String::new();
        for (name, value) in fields {
            let separator = if body.is_empty() { "" } else { "&" };
            let _ = write!(body, "{separator}{}={}", encoded(name), encoded(value));
        }
        let builder = Request::post(&url)
            .header("content-type", "application/x-www-form-urlencoded")
            .header("origin", &self.origin);
        self.send(builder, body, &url).await
    }

    async fn send(
        &mut self,
        builder: hyper::http::request::Builder,
        body: String,
        url: &str,
    ) -> Page {
        let builder = match &self.cookie {
            Some(cookie) => builder.header("cookie", cookie),
            None => builder,
        };
        let req = build_request(builder, body.into(), url).expect("the request is well formed");
        let answer = self.client.send(req).await.expect("the console answers");
        self.page(&answer)
    }

    fn page(&mut self, answer: &Answer) -> Page {
        let header = |name: &str| Some(answer.headers.get(name)?.to_str().ok()?.to_owned());
        if let Some(set) = header("set-cookie") {
            self.cookie = set.split(';').next().map(str::to_owned);
        }
        Page {
            status: answer.status.as_u16(),
            html: String::from_utf8_lossy(&answer.body).into_owned(),
            location: header("location"),
        }
    }
}

impl Page {
    /// What the page's first form that posts to `action` holds.
    pub fn form(&self, action: &str) -> Fields {
        let start = self.html.find(&format!("action=\"{action}\""));
        let start = start.unwrap_or_else(|| panic!("no form to {action} on {}", self.html));
        let form = &self.html[start..];
        let form = &form[..form.find("</form>").unwrap_or(form.len())];
        let inputs = form.split("<input").skip(1).filter_map(input);
        let selects = form.split("<select").skip(1).filter_map(select);
        let areas = form.split("<textarea").skip(1).filter_map(area);
        inputs.chain(selects).chain(areas).collect()
    }
}

fn input(tag: &str) -> Option<(String, String)> {
    let tag = &tag[..tag.find('>')?];
    let is_unchecked = tag.contains("type=\"checkbox\"") && !tag.contains(" checked");
    (!is_unchecked).then_some(())?;
    Some((
        attribute(tag, "name")?,
        attribute(tag, "value").unwrap_or_default(),
    ))
}

fn select(tag: &str) -> Option<(String, String)> {
    let body = &tag[..tag.find("</select>")?];
    let mut options = body.split("<option").skip(1);
    let chosen = options.find(|o| o.split('>').next().is_some_and(|o| o.contains(" selected")));
    let value = chosen.and_then(|option| attribute(option, "value"));
    Some((attribute(body, "name")?, value.unwrap_or_default()))
}

fn area(tag: &str) -> Option<(String, String)> {
    let name = attribute(tag, "name")?;
    let start = tag.find('>')? + 1;
    Some((name, decoded(&tag[start..tag.find("</textarea>")?])))
}

fn attribute(tag: &str, name: &str) -> Option<String> {
    let start = tag.find(&format!(" {name}=\""))? + name.len() + 3;
    let value = &tag[start..];
    Some(decoded(&value[..value.find('"')?]))
}

fn decoded(html: &str) -> String {
    html.replace("&lt;", "<")
        .replace("&gt;", ">")
        .replace("&quot;", "\"")
        .replace("&amp;", "&")
}

fn encoded(text: &str) -> String {
    let mut out = String::new();
    for byte in text.bytes() {
        match byte.is_ascii_alphanumeric() {
            true => out.push(char::from(byte)),
            false => {
                let _ = write!(out, "%{byte:02X}");
            }
        }
    }
    out
}
