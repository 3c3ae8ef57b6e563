//! Minimal browser for the console's forms: keeps the session cookie, parses and submits forms.

use std::{collections::BTreeMap, fmt::Write as _, net::SocketAddr, time::Duration};

use host::client::{Answer, Client, build_request};
use hyper::Request;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Browser of one operator.
#[derive(Debug)]
pub struct Browser {
    console: SocketAddr,
    client: Client,
    cookie: Option<String>,
    /// Value of the `Origin` header of submitted forms.
    pub origin: String,
}

/// A loaded page.
#[derive(Clone, Debug)]
pub struct Page {
    /// HTTP status code.
    pub status: u16,
    /// HTML source.
    pub html: String,
    /// Target of a redirect.
    pub location: Option<String>,
}

/// Values of a form by field name.
pub type Fields = BTreeMap<String, String>;

impl Browser {
    /// Creates a browser without a session for the console at this address.
    pub fn new(console: SocketAddr) -> Self {
        Self {
            console,
            client: Client::new(REQUEST_TIMEOUT),
            cookie: None,
            origin: format!("http://{console}"),
        }
    }

    /// Loads a page.
    pub async fn open(&mut self, path: &str) -> Page {
        let url = format!("http://{}{path}", self.console);
        self.send(Request::get(&url), String::new(), &url).await
    }

    /// Submits a form.
    pub async fn submit(&mut self, path: &str, fields: &Fields) -> Page {
        let url = format!("http://{}{path}", self.console);
        let mut body = String::new();
        for (name, value) in fields {
            let separator = if body.is_empty() { "" } else { "&" };
            let _ = write!(
                body,
                "{separator}{}={}",
                percent_encode(name),
                percent_encode(value)
            );
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
        self.read_page(&answer)
    }

    fn read_page(&mut self, answer: &Answer) -> Page {
        let header = |name: &str| Some(answer.headers.get(name)?.to_str().ok()?.to_owned());
        if let Some(set_cookie) = header("set-cookie") {
            self.cookie = set_cookie.split(';').next().map(str::to_owned);
        }
        Page {
            status: answer.status.as_u16(),
            html: String::from_utf8_lossy(&answer.body).into_owned(),
            location: header("location"),
        }
    }
}

impl Page {
    /// Returns the values of the page's first form that posts to `action`.
    ///
    /// # Panics
    /// Panics if there is no such form.
    pub fn form(&self, action: &str) -> Fields {
        let start = self.html.find(&format!("action=\"{action}\""));
        let start = start.unwrap_or_else(|| panic!("no form to {action} on {}", self.html));
        let form = &self.html[start..];
        let form = &form[..form.find("</form>").unwrap_or(form.len())];
        let inputs = form.split("<input").skip(1).filter_map(parse_input);
        let selects = form.split("<select").skip(1).filter_map(parse_select);
        let textareas = form.split("<textarea").skip(1).filter_map(parse_textarea);
        inputs.chain(selects).chain(textareas).collect()
    }
}

fn parse_input(tag: &str) -> Option<(String, String)> {
    let tag = &tag[..tag.find('>')?];
    let is_unchecked = tag.contains("type=\"checkbox\"") && !tag.contains(" checked");
    (!is_unchecked).then_some(())?;
    Some((
        attribute(tag, "name")?,
        attribute(tag, "value").unwrap_or_default(),
    ))
}

fn parse_select(tag: &str) -> Option<(String, String)> {
    let body = &tag[..tag.find("</select>")?];
    let mut options = body.split("<option").skip(1);
    let selected = options.find(|o| o.split('>').next().is_some_and(|o| o.contains(" selected")));
    let value = selected.and_then(|option| attribute(option, "value"));
    Some((attribute(body, "name")?, value.unwrap_or_default()))
}

fn parse_textarea(tag: &str) -> Option<(String, String)> {
    let name = attribute(tag, "name")?;
    let start = tag.find('>')? + 1;
    Some((name, unescape_html(&tag[start..tag.find("</textarea>")?])))
}

fn attribute(tag: &str, name: &str) -> Option<String> {
    let start = tag.find(&format!(" {name}=\""))? + name.len() + 3;
    let value = &tag[start..];
    Some(unescape_html(&value[..value.find('"')?]))
}

fn unescape_html(html: &str) -> String {
    html.replace("&lt;", "<")
        .replace("&gt;", ">")
        .replace("&quot;", "\"")
        .replace("&amp;", "&")
}

fn percent_encode(text: &str) -> String {
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
