//! What the gate believes of endpoints, written whenever it changes.

use std::{collections::BTreeMap, time::Duration};

use logs::Event;
use membership::{EndpointState, EndpointView, Table};
use tokio::time::sleep;

/// Time between looks.
const LOOK_EVERY: Duration = Duration::from_millis(500);

#[derive(Debug, PartialEq)]
struct KnownEndpoint {
    service: String,
    az: String,
    state: EndpointState,
}

/// Writes each change of an endpoint's state in `table`; runs until dropped.
pub(crate) async fn tell(table: Table) {
    let mut told = BTreeMap::new();
    loop {
        for event in changes(&mut told, table.list()) {
            logs::write(None, &event);
        }
        sleep(LOOK_EVERY).await;
    }
}

/// Brings `told` to `views`; an event for each endpoint whose state is another one than before.
fn changes(told: &mut BTreeMap<String, KnownEndpoint>, views: Vec<EndpointView>) -> Vec<Event> {
    let now = views.into_iter().map(|view| {
        let belief = KnownEndpoint {
            service: view.service,
            az: view.az,
            state: view.state,
        };
        (view.endpoint, belief)
    });
    let now: BTreeMap<String, KnownEndpoint> = now.collect();
    let before = std::mem::replace(told, now);
    let gone = before.iter().filter(|(name, _)| !told.contains_key(*name));
    let gone = gone.map(|(name, belief)| event(name, belief, "gone"));
    let is_new = |(name, belief): &(&String, &KnownEndpoint)| before.get(*name) != Some(*belief);
    let changed = told.iter().filter(is_new);
    let changed = changed.map(|(name, belief)| event(name, belief, state(belief.state)));
    gone.chain(changed).collect()
}

fn state(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Ready => "ready",
        EndpointState::Leaving => "leaving",
        EndpointState::Suspect => "suspect",
    }
}

fn event(endpoint: &str, belief: &KnownEndpoint, state: &str) -> Event {
    Event::EndpointState {
        endpoint: endpoint.to_owned(),
        service: belief.service.clone(),
        az: belief.az.clone(),
        state: state.to_owned(),
    }
}

#[cfg(test)]
mod tests;
