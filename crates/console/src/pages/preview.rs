//! The difference that a change makes, before it is sent.

use link::follower::ActiveDeclaration;
use maud::html;
use salvo::{Response, http::StatusCode};

use super::{edit::hidden_whole, layout};
use crate::{change::Draft, session::Session};

/// Renders the difference, the way back and the way on.
pub(crate) fn render(
    res: &mut Response,
    session: &Session,
    in_force: &ActiveDeclaration,
    draft: &Draft,
) {
    let difference = declaration::diff(&in_force.document, &draft.result(&in_force.document));
    let content = html! {
        section {
            @if difference.is_empty() {
                p { "Nothing would change." }
            } @else {
                p { "This is what changes against revision " (in_force.revision) ". Nothing was sent yet." }
                (layout::difference(&difference))
                p { "By " strong { (draft.author) } ": " (draft.reason) }
                form method="post" action="/submit" {
                    (hidden_whole(session, draft))
                    button { "Make this change" }
                }
            }
            form method="post" action="/revise" {
                (hidden_whole(session, draft))
                button.plain { "Back to the form" }
            }
        }
    };
    layout::page(res, StatusCode::OK, "Check the change", &content);
}
