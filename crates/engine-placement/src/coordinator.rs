//! The tables of the services for which this gate is the placement coordinator.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use routing::{EngineCandidate, EngineTable, FirstEvent, PromptCall, TableSizes};
use tokio::time::Instant;

use crate::messages::{Call, Placed, PlacementReply, Reports};

/// Time after the first contact in which the gates list their open calls and nothing is placed.
const WARM_UP: Duration = Duration::from_millis(300);
/// Time without a contact after which a table is dropped: another gate is the coordinator, or there are
/// no calls.
const TABLE_RETENTION: Duration = Duration::from_secs(30);
/// Interval at which gates whose links are closed are removed.
const PRUNE_INTERVAL: Duration = Duration::from_millis(100);

/// A gate that contacts this one; `connection` is gone once its link is closed, and `None` for this
/// gate.
#[derive(Clone, Debug)]
pub struct Sender<'a> {
    /// Name of the gate.
    pub gate: &'a str,
    /// Exists as long as its link.
    pub connection: Option<Weak<()>>,
}

#[derive(Debug)]
struct Service {
    table: EngineTable,
    created_at: Instant,
    contacted_at: Instant,
    pruned_at: Instant,
    /// Links of the gates with calls in the table.
    connections: HashMap<String, Option<Weak<()>>>,
}

impl Service {
    fn new(now: Instant) -> Self {
        Self {
            table: EngineTable::default(),
            created_at: now,
            contacted_at: now,
            pruned_at: now,
            connections: HashMap::new(),
        }
    }

    /// Returns true if no gate has contacted this one for long.
    fn is_outdated(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.contacted_at) >= TABLE_RETENTION
    }

    /// Applies reports. Returns true if the sender has to list its open calls.
    fn apply(&mut self, from: &Sender<'_>, reports: &Reports, now: Instant) -> bool {
        self.contacted_at = now;
        self.prune(now);
        let gate = from.gate;
        if !reports.is_list && !self.connections.contains_key(gate) {
            return true;
        }
        if reports.is_list {
            self.table.remove_gate(gate, now);
            self.connections
                .insert(gate.to_owned(), from.connection.clone());
        }
        for started in &reports.started {
            let call = prompt_call(&started.call);
            let (endpoint, has_first) = (&started.endpoint, started.has_first_event);
            self.table
                .record_start(gate, &call, endpoint, has_first, now);
        }
        for first in &reports.first_events {
            let event = FirstEvent {
                took_ms: f64::from(first.took_ms),
                calls: first.calls,
                slowdown: first.slowdown_percent.map(|p| f64::from(p) / 100.0),
                age: Duration::from_millis(u64::from(first.age_ms)),
            };
            self.table.record_first_event(gate, first.id, &event, now);
        }
        for id in &reports.ended {
            self.table.record_end(gate, *id, now);
        }
        false
    }

    /// Removes the calls of gates whose links are closed.
    fn prune(&mut self, now: Instant) {
        if now.saturating_duration_since(self.pruned_at) < PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        let is_open = |connection: &Option<Weak<()>>| {
            let strong = connection.as_ref().map(Weak::strong_count);
            strong.is_none_or(|strong| strong > 0)
        };
        self.connections.retain(|_, connection| is_open(connection));
        let connections = &self.connections;
        let is_present = |gate: &str| connections.contains_key(gate);
        self.table.retain_gates(is_present, now);
    }
}

/// Tables by service.
#[derive(Debug, Default)]
pub struct Coordinator {
    services: Mutex<HashMap<String, Service>>,
}

impl Coordinator {
    fn services(&self) -> MutexGuard<'_, HashMap<String, Service>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies reports, and chooses an endpoint for `call` among `candidates` if there is one.
    pub fn answer(
        &self,
        from: &Sender<'_>,
        service: &str,
        reports: &Reports,
        call: Option<(&Call, &[EngineCandidate<'_>])>,
    ) -> PlacementReply {
        let now = Instant::now();
        let mut services = self.services();
        if services.get(service).is_none_or(|s| s.is_outdated(now)) {
            services.insert(service.to_owned(), Service::new(now));
        }
        let Some(state) = services.get_mut(service) else {
            return PlacementReply {
                placed: None,
                needs_list: false,
            };
        };
        let needs_list = state.apply(from, reports, now);
        let is_warm = now.saturating_duration_since(state.created_at) >= WARM_UP;
        let call = call.filter(|_| is_warm && !needs_list);
        let placed = call.and_then(|(call, candidates)| {
            let prompt = prompt_call(call);
            let draw = rand::random();
            let choice = state
                .table
                .choose(from.gate, &prompt, candidates, draw, now)?;
            Some(Placed {
                endpoint: candidates[choice.index].name.to_owned(),
                expected_ms: choice.expected_ms as u32,
                unread_tokens: choice.unread_tokens,
            })
        });
        PlacementReply { placed, needs_list }
    }

    /// Returns the sizes of the tables by service, and drops those of services that another gate
    /// places.
    pub fn sizes(&self) -> Vec<(String, TableSizes)> {
        let now = Instant::now();
        let mut services = self.services();
        services.retain(|_, s| !s.is_outdated(now));
        let sizes = services
            .iter()
            .map(|(name, s)| (name.clone(), s.table.sizes()));
        sizes.collect()
    }
}

fn prompt_call(call: &Call) -> PromptCall<'_> {
    PromptCall {
        id: call.id,
        parts: &call.parts,
        tokens: call.tokens,
        max_generated: call.max_generated,
    }
}
