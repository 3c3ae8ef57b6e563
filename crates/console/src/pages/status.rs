//! Page with the revision in force at each gate and the status of each controller.

use maud::{Markup, html};
use membership::UnavailableEndpoint;
use salvo::{Response, http::StatusCode};

use super::layout::page;
use crate::cluster_state::{ControllerState, GateState};

/// Renders each gate's revision, the unavailable endpoints, the sections `orders` and each controller's status.
pub(crate) fn render(
    res: &mut Response,
    newest: u64,
    gates: &[GateState],
    orders: &[Markup],
    controllers: &[ControllerState],
) {
    let content = html! {
        section {
            p { "Revision " strong { (newest) } " is the newest accepted one known here." }
            table {
                tr { th { "Gate" } th { "Revision in force" } }
                @for gate in gates { tr { td { (gate.name) } (revision(gate, newest)) } }
            }
            @if gates.is_empty() { p.hint { "List the gates under [gates] in the console's settings to see them here." } }
        }
        (unavailable_endpoints(gates))
        @for section in orders { (section) }
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

/// Returns a table of the endpoints that get no new work, with the gate that sends them none.
fn unavailable_endpoints(gates: &[GateState]) -> Markup {
    let rows = || {
        gates
            .iter()
            .flat_map(|gate| gate.unavailable.iter().map(move |a| (gate, a)))
    };
    html! {
        @if rows().next().is_some() {
            section {
                h2 { "Endpoints without new work" }
                table {
                    tr { th { "Gate" } th { "Endpoint" } th { "Service" } th { "Availability zone" } th { "Why" } th { "Still" } }
                    @for (gate, a) in rows() {
                        tr {
                            td { (gate.name) } td { (a.endpoint) } td { (a.service) } td { (a.az) }
                            td { (a.reason.replace('_', " ")) } td { (remaining_text(a)) }
                        }
                    }
                }
            }
        }
    }
}

fn remaining_text(unavailable: &UnavailableEndpoint) -> String {
    match unavailable.remaining {
        Some(remaining) => format!("{} ms", remaining.as_millis()),
        None => "until it announces otherwise".to_owned(),
    }
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
