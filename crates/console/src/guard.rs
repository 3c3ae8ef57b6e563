//! Session lookup and protection against forged forms (CSRF).

use salvo::{
    Request, Response,
    http::{HeaderMap, StatusCode, header::HeaderValue},
};
use subtle::ConstantTimeEq;

use crate::{app::App, pages, session::Session};

const SESSION_COOKIE: &str = "jujube_session";

/// Returns the request's session, or a new one if no login is required; otherwise redirects to the
/// login page and returns `None`.
pub(crate) fn session(app: &App, req: &Request, res: &mut Response) -> Option<Session> {
    let found = session_id(req.headers()).and_then(|id| app.sessions.find(id));
    match found {
        Some(session) => Some(session),
        None if app.operators.is_empty() => {
            let session = app.sessions.create(None);
            set_cookie(res, &session);
            Some(session)
        }
        None => {
            redirect(res, "/login");
            None
        }
    }
}

/// Sets the session cookie on the response.
pub(crate) fn set_cookie(res: &mut Response, session: &Session) {
    let value = format!(
        "{SESSION_COOKIE}={}; Path=/; HttpOnly; SameSite=Strict",
        session.id
    );
    if let Ok(value) = HeaderValue::from_str(&value) {
        res.headers_mut().insert("set-cookie", value);
    }
}

/// Responds with 303, so that the browser follows with a GET.
pub(crate) fn redirect(res: &mut Response, to: &'static str) {
    res.status_code(StatusCode::SEE_OTHER);
    res.headers_mut()
        .insert("location", HeaderValue::from_static(to));
}

/// Returns true if the form has the console's origin and the session's form token.
pub(crate) fn is_own_form(headers: &HeaderMap, session: &Session, presented: &str) -> bool {
    let token = session.form_token.as_bytes();
    is_same_origin(headers) && bool::from(token.ct_eq(presented.as_bytes()))
}

/// Responds with 403 to a form that fails [`is_own_form`] or edits an unknown kind of section.
pub(crate) fn refuse_form(res: &mut Response) {
    let text = "This form did not come from this console, or its session has ended. \
                Open the page again and fill in the form again.";
    pages::layout::message(res, StatusCode::FORBIDDEN, "Form refused", text);
}

/// Returns true unless the `Origin` header, which browsers send with every POST, names another host
/// than the `Host` header.
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

fn session_id(headers: &HeaderMap) -> Option<&str> {
    let cookies = headers.get("cookie")?.to_str().ok()?;
    let mut pairs = cookies
        .split(';')
        .filter_map(|pair| pair.trim().split_once('='));
    pairs
        .find(|(name, _)| *name == SESSION_COOKIE)
        .map(|(_, id)| id)
}

/// Returns the value of a form's field; empty if it is missing.
pub(crate) async fn form_value(req: &mut Request, key: &str) -> String {
    req.form(key).await.unwrap_or_default()
}

#[cfg(test)]
mod tests;
