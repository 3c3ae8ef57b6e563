//! What the gate believes of endpoints, written whenever it changes.

use std::{collections::BTreeMap, time::Duration};

use logs::Event;
use membership::{EndpointState, EndpointView, Table};
use tokio::time::sleep;

/// Time between looks.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, PartialEq)]
struct KnownEndpoint {
    service: String,
    az: String,
    state: EndpointState,
}

/// Writes each change of an endpoint's state in `table`; runs until dropped.
pub(crate) async fn log_changes(table: Table) {
    let mut logged = BTreeMap::new();
    loop {
        for event in changes(&mut logged, table.list()) {
            logs::write(None, &event);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Brings `told` to `views`; an event for each endpoint whose state is another one than before.
fn changes(logged: &mut BTreeMap<String, KnownEndpoint>, views: Vec<EndpointView>) -> Vec<Event> {
    let now = views.into_iter().map(|view| {
        let known = KnownEndpoint {
            service: view.service,
            az: view.az,
            state: view.state,
        };
        (view.endpoint, known)
    });
    let now: BTreeMap<String, KnownEndpoint> = now.collect();
    let before = std::mem::replace(logged, now);
    let gone = before
        .iter()
        .filter(|(name, _)| !logged.contains_key(*name));
    let gone = gone.map(|(name, known)| event(name, known, "gone"));
    let is_new = |(name, known): &(&String, &KnownEndpoint)| before.get(*name) != Some(*known);
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
