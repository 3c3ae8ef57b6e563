//! What became of a submitted change.

use maud::html;
use salvo::{Response, http::StatusCode};

use super::{edit::hidden_whole, layout::page};
use crate::{change::Draft, session::Session};

/// The change is in force.
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

/// No quorum answered; the change may or may not have been accepted.
pub(crate) fn unavailable(res: &mut Response, session: &Session, draft: &Draft, what: &str) {
    let content = html! {
        section {
            p { "The keepers did not confirm the change: " (what) }
            p { "It may have been accepted all the same. Sending it again is safe: it is applied once." }
            form method="post" action="/submit" {
                (hidden_whole(session, draft))
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
