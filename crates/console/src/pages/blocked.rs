//! Section with the blocked parts of prompts, each with a form to unblock it.

use link::keeper::BlockedPart;
use maud::{Markup, html};
use operators::format_part;

use crate::session::Session;

/// Returns the section; empty if no part is blocked.
pub(crate) fn section(session: &Session, blocked: &Result<Vec<BlockedPart>, String>) -> Markup {
    html! {
        @match blocked {
            Ok(parts) if parts.is_empty() => {}
            Ok(parts) => section {
                h2 { "Blocked parts of prompts" }
                table {
                    tr { th { "Part" } th { "Service" } th { "Crashes" } th { "Endpoints" } th { "Requests" } th { "Gate" } th { "Blocked for" } th {} }
                    @for part in parts { (row(session, part)) }
                }
            },
            Err(what) => section {
                h2 { "Blocked parts of prompts" }
                p.fault { (what) }
            },
        }
    }
}

fn row(session: &Session, blocked: &BlockedPart) -> Markup {
    let part = format_part(blocked.part);
    html! {
        tr {
            td { code { (part) } } td { (blocked.service) } td { (blocked.crashes) }
            td { (blocked.endpoints.join(" ")) } td { (blocked.requests.join(" ")) }
            td { (blocked.source) } td { (blocked.age.as_secs() / 60) " min" }
            td {
                form method="post" action="/unblock" {
                    input type="hidden" name="form_token" value=(session.form_token);
                    input type="hidden" name="part" value=(part);
                    @if session.operator.is_none() {
                        label { "Who" input name="author" required; }
                    }
                    label { "Why" input name="reason" required; }
                    button { "Unblock" }
                }
            }
        }
    }
}
