//! Page with the whole declaration and a link to each of its sections.

use declaration::SectionId;
use link::follower::ActiveDeclaration;
use maud::{Markup, html};
use salvo::{Response, http::StatusCode};

use super::layout::page;
use crate::fields::KINDS;

/// Maximum number of sections listed for each kind; the others are reachable only by URL.
const MAX_LISTED: usize = 500;

/// Renders the page.
pub(crate) fn render(res: &mut Response, in_force: &ActiveDeclaration) {
    let content = html! {
        p { "Revision " strong { (in_force.revision) } " is in force." }
        div.columns {
            section {
                @for kind in KINDS { (sections(in_force, kind)) }
            }
            section {
                h2 { "The whole document" }
                pre { (in_force.document.write()) }
            }
        }
    };
    page(res, StatusCode::OK, "Declaration", &content);
}

fn sections(in_force: &ActiveDeclaration, kind: &str) -> Markup {
    let ids: Vec<&SectionId> = in_force
        .document
        .sections
        .keys()
        .filter(|id| id.kind == kind)
        .collect();
    html! {
        h2 { (heading(kind)) " " span.hint { (ids.len()) } }
        ul {
            @for id in ids.iter().take(MAX_LISTED) {
                li { a href=(address(&id.kind, &id.name)) { (id.name) } }
            }
        }
        p { a href=(address(kind, "")) { "Add one" } }
    }
}

/// Returns the heading for a kind, in the plural.
fn heading(kind: &str) -> &'static str {
    match kind {
        "availability-zone" => "Availability zones",
        "service" => "Services",
        "pipeline" => "Pipelines",
        _ => "Workspaces",
    }
}

/// Returns the URL of a section's form. Names contain no character that needs encoding.
fn address(kind: &str, name: &str) -> String {
    format!("/edit?kind={kind}&name={name}")
}
