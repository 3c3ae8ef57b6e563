//! Page for a change that conflicts with a newer revision of its section.

use declaration::{Conflict, SectionId, SectionText};
use maud::{Markup, html};
use salvo::{Response, http::StatusCode};
use uuid::Uuid;

use super::{edit::form, layout::page};
use crate::{change::Draft, session::Session};

/// Renders the base, current and proposed content, and the form with the draft on the newer base.
pub(crate) fn render(res: &mut Response, session: &Session, draft: &Draft, conflicts: &[Conflict]) {
    let content = html! {
        @for conflict in conflicts {
            p { strong { (conflict.id) } " was changed by revision " (conflict.revision)
                ", after you opened the form on revision " (draft.base_revision) ". Nothing of yours is lost." }
            div.columns {
                section { h2 { "When you opened it" } (text(&conflict.id, draft.base.as_ref())) }
                section { h2 { "In force now" } (text(&conflict.id, conflict.current.as_ref())) }
                section { h2 { "Yours" } (text(&conflict.id, conflict.proposed.as_ref())) }
            }
        }
        h2 { "Make your change to what is in force now" }
        @for conflict in conflicts.iter().take(1) { (form(session, &rebased(draft, conflict), &[])) }
    };
    page(
        res,
        StatusCode::CONFLICT,
        "Somebody else changed this section",
        &content,
    );
}

/// Returns the draft on the newer base, with a new change id because the old one was refused.
fn rebased(draft: &Draft, conflict: &Conflict) -> Draft {
    Draft {
        change: Uuid::now_v7(),
        base_revision: conflict.revision,
        base: conflict.current.clone(),
        ..draft.clone()
    }
}

fn text(id: &SectionId, section: Option<&SectionText>) -> Markup {
    let whole = section.map(|s| declaration::section_diff(id, Some(s), Some(s)));
    html! {
        @match whole {
            Some(whole) => pre { (whole) },
            None => p { "no such section" },
        }
    }
}
