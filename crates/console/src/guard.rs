//! Admits requests: a session for every page, and only forms of our own pages.

use salvo::{
    Request, Response,
    http::{HeaderMap, StatusCode, header::HeaderValue},
};
use subtle::ConstantTimeEq;

use crate::{app::App, pages, session::Session};

const COOKIE: &str = "jujube_session";

/// The request's session; a new one where nobody has to log in.
pub(crate) fn session(app: &App, req: &Request, res: &mut Response) -> Option<Session> {
    let found = cookie(req.headers()).and_then(|id| app.sessions.find(id));
    match found {
        Some(session) => Some(session),
        None if app.operators.is_empty() => {
            let session = app.sessions.begin(None);
            set_cookie(res, &session);
            Some(session)
        }
        None => {
            redirect(res, "/login");
            None
        }
    }
}

/// Sends the session's cookie.
pub(crate) fn set_cookie(res: &mut Response, session: &Session) {
    let value = format!("{COOKIE}={}; Path=/; HttpOnly; SameSite=Strict", session.id);
    if let Ok(value) = HeaderValue::from_str(&value) {
        res.headers_mut().insert("set-cookie", value);
    }
}

/// Answers with a redirect that turns into a GET.
pub(crate) fn redirect(res: &mut Response, to: &'static str) {
    res.status_code(StatusCode::SEE_OTHER);
    res.headers_mut()
        .insert("location", HeaderValue::from_static(to));
}

/// Whether a form was sent by one of our own pages to this session.
pub(crate) fn is_own_form(headers: &HeaderMap, session: &Session, presented: &str) -> bool {
    let token = session.form_token.as_bytes();
    is_same_origin(headers) && bool::from(token.ct_eq(presented.as_bytes()))
}

/// Answers a form that did not come from one of our own pages.
pub(crate) fn refuse_form(res: &mut Response) {
    let text = "This form did not come from this console, or its session has ended. \
                Open the page again and fill it in once more.";
    pages::layout::message(res, StatusCode::FORBIDDEN, "Form refused", text);
}

/// A browser names the origin of every POST; one that differs from our host is another site's.
fn is_same_origin(headers: &HeaderMap) -> bool {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    match (text("origin"), text("host")) {
        (None, _) => true,
        (Some(origin), Some(host)) => {
            let authority = origin
                .split_once("://")
                .map_or("", |(_, authority)| authority);
            authority.eq_ignore_ascii_case(host)
        }
        (Some(_), None) => false,
    }
}

fn cookie(headers: &HeaderMap) -> Option<&str> {
    let cookies = headers.get("cookie")?.to_str().ok()?;
    let mut pairs = cookies
        .split(';')
        .filter_map(|pair| pair.trim().split_once('='));
    pairs.find(|(name, _)| *name == COOKIE).map(|(_, id)| id)
}

#[cfg(test)]
mod tests;
