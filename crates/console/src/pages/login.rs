//! Login page, on which an operator enters a token.

use maud::html;
use salvo::{Response, http::StatusCode};

use super::layout::page;

/// Renders the login form, with `fault` if a token was refused.
pub(crate) fn render(res: &mut Response, status: StatusCode, fault: Option<&str>) {
    let content = html! {
        form.card method="post" action="/login" {
            @if let Some(fault) = fault { p.fault { (fault) } }
            label for="token" { "Token " span.hint { "from your line in the operators' token file" } }
            input #token name="token" type="password" autocomplete="current-password";
            button { "Log in" }
        }
    };
    page(res, status, "Log in", &content);
}
