//! Pages that show the result of a submitted change.

use maud::html;
use salvo::{Response, http::StatusCode};

use super::{edit::hidden_draft, layout::page};
use crate::{change::Draft, session::Session};

/// Renders the page of an accepted change; `applied` is false if it was accepted before.
pub(crate) fn accepted(res: &mut Response, draft: &Draft, revision: u64, applied: bool) {
    let content = html! {
        section {
            @match applied {
                true => p { "Accepted as revision " strong { (revision) } "." },
                false => p { "This change was accepted before, as revision " strong { (revision) } "; it was not applied twice." },
            }
            p { "Change id " code { (draft.change) } }
            p { a href="/status" { "See where it is in force" } " · " a href="/" { "Back to the declaration" } }
        }
    };
    page(res, StatusCode::OK, "Change accepted", &content);
}

/// Renders the page for a submission without a reply from a quorum; the change may or may not have
/// been accepted.
pub(crate) fn unavailable(res: &mut Response, session: &Session, draft: &Draft, what: &str) {
    let content = html! {
        section {
            p { "The keepers did not confirm the change: " (what) }
            p { "It may have been accepted nevertheless. Sending it again is safe: it is applied once." }
            form method="post" action="/submit" {
                (hidden_draft(session, draft))
                button { "Send it again" }
            }
        }
    };
    page(
        res,
        StatusCode::SERVICE_UNAVAILABLE,
        "Not confirmed",
        &content,
    );
}
