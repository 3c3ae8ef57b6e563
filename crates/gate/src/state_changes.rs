//! Logs changes of the endpoints' states as this gate sees them.

use std::{collections::BTreeMap, time::Duration};

use logs::Event;
use membership::{EndpointState, EndpointView, Table};
use tokio::time::sleep;

const POLL_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, PartialEq)]
struct KnownEndpoint {
    service: String,
    az: String,
    state: EndpointState,
}

/// Logs each change of an endpoint's state in `table`. Never returns.
pub(crate) async fn log_changes(table: Table) {
    let mut logged = BTreeMap::new();
    loop {
        for event in changes(&mut logged, table.list()) {
            logs::write(None, &event);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Replaces `logged` by `views`; returns an event for each endpoint that changed or is gone.
fn changes(logged: &mut BTreeMap<String, KnownEndpoint>, views: Vec<EndpointView>) -> Vec<Event> {
    let current = views.into_iter().map(|view| {
        let known = KnownEndpoint {
            service: view.service,
            az: view.az,
            state: view.state,
        };
        (view.endpoint, known)
    });
    let current: BTreeMap<String, KnownEndpoint> = current.collect();
    let previous = std::mem::replace(logged, current);
    let gone = previous
        .iter()
        .filter(|(name, _)| !logged.contains_key(*name));
    let gone = gone.map(|(name, known)| event(name, known, "gone"));
    let is_new = |(name, known): &(&String, &KnownEndpoint)| previous.get(*name) != Some(*known);
    let changed = logged.iter().filter(is_new);
    let changed = changed.map(|(name, known)| event(name, known, state(known.state)));
    gone.chain(changed).collect()
}

fn state(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Ready => "ready",
        EndpointState::Leaving => "leaving",
        EndpointState::Suspect => "suspect",
    }
}

fn event(endpoint: &str, known: &KnownEndpoint, state: &str) -> Event {
    Event::EndpointState {
        endpoint: endpoint.to_owned(),
        service: known.service.clone(),
        az: known.az.clone(),
        state: state.to_owned(),
    }
}

#[cfg(test)]
mod tests;
