//! Section with the availability zones, each with a form to evacuate it or to return to it.

use std::collections::BTreeMap;

use host::time::format_utc;
use link::keeper::OrderedZone;
use maud::{Markup, html};

use crate::session::Session;

/// The zones by name, with their last order if they were ever evacuated.
pub(crate) type Zones = BTreeMap<String, Option<OrderedZone>>;

/// Returns the section; empty if no zone is known.
pub(crate) fn section(session: &Session, zones: &Result<Zones, String>) -> Markup {
    html! {
        @match zones {
            Ok(zones) if zones.is_empty() => {}
            Ok(zones) => section {
                h2 { "Availability zones" }
                table {
                    tr { th { "Zone" } th { "State" } th { "By" } th { "Why" } th { "Since" } th {} }
                    @for (zone, ordered) in zones { (row(session, zone, ordered.as_ref())) }
                }
            },
            Err(what) => section {
                h2 { "Availability zones" }
                p.fault { (what) }
            },
        }
    }
}

fn row(session: &Session, zone: &str, ordered: Option<&OrderedZone>) -> Markup {
    let is_evacuated = ordered.is_some_and(|ordered| ordered.order.is_evacuated);
    let (action, label) = match is_evacuated {
        true => ("/return", "Return"),
        false => ("/evacuate", "Evacuate"),
    };
    html! {
        tr {
            td { (zone) }
            @if is_evacuated { td.fault { "evacuated" } } @else { td { "in use" } }
            @match ordered {
                Some(ordered) => {
                    td { (ordered.order.author) } td { (ordered.order.reason) } td { (format_utc(ordered.at_ms)) }
                },
                None => { td {} td {} td {} },
            }
            td {
                form method="post" action=(action) {
                    input type="hidden" name="form_token" value=(session.form_token);
                    input type="hidden" name="zone" value=(zone);
                    @if session.operator.is_none() {
                        label { "Who" input name="author" required; }
                    }
                    label { "Why" input name="reason" required; }
                    button { (label) }
                }
            }
        }
    }
}
