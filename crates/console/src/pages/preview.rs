//! Page that shows a change as a difference before it is sent.

use link::follower::ActiveDeclaration;
use maud::html;
use salvo::{Response, http::StatusCode};

use super::{edit::hidden_draft, layout};
use crate::{change::Draft, session::Session};

/// Renders the difference with buttons to submit the change or go back to the form.
pub(crate) fn render(
    res: &mut Response,
    session: &Session,
    in_force: &ActiveDeclaration,
    draft: &Draft,
) {
    let difference = declaration::diff(&in_force.document, &draft.apply_to(&in_force.document));
    let content = html! {
        section {
            @if difference.is_empty() {
                p { "Nothing would change." }
            } @else {
                p { "This is what changes against revision " (in_force.revision) ". Nothing was sent yet." }
                (layout::difference(&difference))
                p { "By " strong { (draft.author) } ": " (draft.reason) }
                form method="post" action="/submit" {
                    (hidden_draft(session, draft))
                    button { "Make this change" }
                }
            }
            form method="post" action="/revise" {
                (hidden_draft(session, draft))
                button.plain { "Back to the form" }
            }
        }
    };
    layout::page(res, StatusCode::OK, "Check the change", &content);
}
