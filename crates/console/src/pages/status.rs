//! What is in force where.

use maud::{Markup, html};
use salvo::{Response, http::StatusCode};

use super::layout::page;
use crate::survey::{ControllerState, GateState};

/// Renders each gate's revision and each controller's open orders.
pub(crate) fn render(
    res: &mut Response,
    newest: u64,
    gates: &[GateState],
    controllers: &[ControllerState],
) {
    let content = html! {
        section {
            p { "Revision " strong { (newest) } " is the newest accepted one known here." }
            table {
                tr { th { "Gate" } th { "Revision in force" } }
                @for gate in gates { tr { td { (gate.name) } (revision(gate, newest)) } }
            }
            @if gates.is_empty() { p.hint { "Name gates in [gates] of the console's settings to see them here." } }
        }
        @for controller in controllers {
            section {
                h2 { "Controller " (controller.name) }
                @match &controller.status {
                    Ok(status) => pre { (serde_json::to_string_pretty(status).unwrap_or_default()) },
                    Err(what) => p.fault { (what) },
                }
            }
        }
    };
    page(res, StatusCode::OK, "In force where", &content);
}

fn revision(gate: &GateState, newest: u64) -> Markup {
    html! {
        @match &gate.revision {
            Ok(revision) if *revision < newest => td.fault { (revision) " (behind)" },
            Ok(revision) => td { (revision) },
            Err(what) => td.fault { (what) },
        }
    }
}
