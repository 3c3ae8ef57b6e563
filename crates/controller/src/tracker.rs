//! Open orders, and the failures that earlier orders showed for each version.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use derives::value;
use membership::{EndpointState, EndpointView, LoadedModel};
use tokio::time::Instant;
use uuid::Uuid;

use crate::{
    attainment::Regression,
    config::Limits,
    order::{Action, OrderReply, Task},
    weight_store::{ModelVersion, StoreBackoff},
};

const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Time for which an endpoint that refused an order gets no other.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(10);
/// Interval at which the progress of an accepted order is requested.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Endpoints that loaded a version are watched for this many settle delays.
const WATCH_SETTLE_DELAYS: u32 = 5;

/// A version of a service's model.
#[value]
pub struct Release {
    /// The service.
    pub service: String,
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: u32,
}

/// State of an open order.
#[value]
#[derive(Copy)]
pub enum OrderState {
    /// Waiting to be sent or sent again.
    Pending,
    /// Sent; the reply is awaited.
    Sending,
    /// Accepted; the announcement of the result is awaited.
    Accepted,
}

/// An order whose result has not been announced yet.
#[derive(Clone, Debug)]
pub struct OpenOrder {
    /// The change that the endpoint has to make.
    pub task: Task,
    /// Id of the order.
    pub order: Uuid,
    /// Service of the endpoint.
    pub service: String,
    /// When the order was created.
    pub created_at: Instant,
    /// Current state.
    pub state: OrderState,
    /// Number of times the order was sent.
    pub send_count: u32,
    /// Earliest time for the next send.
    pub next_send_at: Instant,
    /// Detail of the last reply that did not confirm the order.
    pub last_reply: Option<String>,
}

impl OpenOrder {
    /// Returns true if the endpoint is known to have accepted the order, or if it was never sent.
    pub fn is_delivery_known(&self) -> bool {
        self.state == OrderState::Accepted || self.send_count == 0
    }
}

/// An endpoint that recently loaded a version.
#[derive(Clone, Debug)]
struct WatchedLoad {
    release: Release,
    incarnation: Uuid,
    until: Instant,
}

/// Orders, failures and backoffs that one controller keeps in memory.
#[derive(Debug, Default)]
pub struct OrderTracker {
    open: BTreeMap<String, OpenOrder>,
    watched: HashMap<String, WatchedLoad>,
    failures: BTreeMap<Release, Vec<String>>,
    regressions: BTreeMap<Release, Regression>,
    attempts: HashMap<Task, u32>,
    refused_until: HashMap<String, Instant>,
    last_applied: HashMap<String, Instant>,
    loads: Vec<Instant>,
    store: StoreBackoff,
    out_of_memory: BTreeSet<Release>,
    draining: BTreeMap<String, Instant>,
}

/// Returns true if `endpoint` announces the result of `task`.
pub fn is_applied(endpoint: &EndpointView, task: &Task) -> bool {
    let matches = |m: &&LoadedModel| m.model == task.model && m.version == task.version;
    let loaded = endpoint.models.iter().find(matches);
    match (task.action, loaded) {
        (Action::Role(role), _) => endpoint.role == role,
        (Action::Unload, loaded) => loaded.is_none(),
        (Action::Load, None) => false,
        (Action::Load, Some(loaded)) => {
            let has = |adapter: &String| loaded.adapters.contains(adapter);
            task.adapters.iter().all(has)
        }
    }
}

impl OrderTracker {
    /// Returns the open orders by endpoint.
    pub fn open_orders(&self) -> &BTreeMap<String, OpenOrder> {
        &self.open
    }

    /// Returns the failures of each version.
    pub fn failures(&self) -> &BTreeMap<Release, Vec<String>> {
        &self.failures
    }

    /// Returns the versions that lowered attainment.
    pub fn regressions(&self) -> &BTreeMap<Release, Regression> {
        &self.regressions
    }

    /// Returns the refusals of the weight store.
    pub fn store(&self) -> &StoreBackoff {
        &self.store
    }

    /// Returns true if an endpoint had no memory for `release` in addition to another version.
    pub fn ran_out_of_memory(&self, release: &Release) -> bool {
        self.out_of_memory.contains(release)
    }

    /// Returns the endpoints that get no new calls, with the time since when.
    pub fn draining(&self) -> &BTreeMap<String, Instant> {
        &self.draining
    }

    /// Sets the endpoints that get no new calls from `now` on; all others get calls again.
    pub fn set_draining(&mut self, endpoints: Vec<String>, now: Instant) {
        let previous = std::mem::take(&mut self.draining);
        let since = |name: &String| previous.get(name).copied().unwrap_or(now);
        let entries = endpoints.into_iter().map(|name| (since(&name), name));
        self.draining = entries.map(|(since, name)| (name, since)).collect();
    }

    /// Halts the rollout of `release`; only the first regression is kept.
    pub fn halt(&mut self, release: Release, regression: Regression) {
        self.regressions.entry(release).or_insert(regression);
    }

    /// Returns why no further endpoint gets `release`, if its rollout is halted by a regression or
    /// by `halt_after_failures` failures.
    pub fn halt_reason(&self, release: &Release, halt_after_failures: u32) -> Option<String> {
        let failures = self.failures.get(release).map_or(&[][..], Vec::as_slice);
        match (self.regressions.get(release), failures.last()) {
            (Some(regression), _) => Some(format!("halted because attainment fell: {regression}")),
            (None, Some(last)) if failures.len() >= halt_after_failures as usize => {
                Some(format!("halted after {} failures: {last}", failures.len()))
            }
            _ => None,
        }
    }

    /// Returns the number of the next attempt of `task`, from 0.
    pub fn attempt(&self, task: &Task) -> u32 {
        self.attempts.get(task).copied().unwrap_or(0)
    }

    /// Returns true if `endpoint` recently refused an order.
    pub fn refused_recently(&self, endpoint: &str, now: Instant) -> bool {
        self.refused_until
            .get(endpoint)
            .is_some_and(|until| *until > now)
    }

    /// Returns when an endpoint of `service` last completed an order.
    pub fn last_applied_at(&self, service: &str) -> Option<Instant> {
        self.last_applied.get(service).copied()
    }

    /// Returns the number of loads ordered within the last minute.
    pub fn recent_loads(&self, now: Instant) -> usize {
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < LOAD_RATE_WINDOW;
        self.loads.iter().filter(is_recent).count()
    }

    /// Adds an order created at `now`.
    pub fn add(&mut self, task: Task, order: Uuid, service: &str, now: Instant) {
        if task.action == Action::Load {
            self.loads
                .retain(|at| now.saturating_duration_since(*at) < LOAD_RATE_WINDOW);
            self.loads.push(now);
        }
        let open = OpenOrder {
            order,
            service: service.to_owned(),
            created_at: now,
            state: OrderState::Pending,
            send_count: 0,
            next_send_at: now,
            last_reply: None,
            task,
        };
        self.open.insert(open.task.endpoint.clone(), open);
    }

    /// Returns the orders that are due; pending ones become `Sending`.
    pub fn claim_due(
        &mut self,
        now: Instant,
        can_send: impl Fn(&OpenOrder) -> bool,
    ) -> Vec<OpenOrder> {
        let mut due = Vec::new();
        for open in self.open.values_mut() {
            if open.state == OrderState::Pending && open.next_send_at <= now && can_send(open) {
                open.state = OrderState::Sending;
                open.send_count += 1;
                due.push(open.clone());
            } else if open.state == OrderState::Accepted
                && open.next_send_at <= now
                && can_send(open)
            {
                // A repeat changes nothing, and its reply reports a load that failed.
                open.next_send_at = now + RECHECK_INTERVAL;
                due.push(open.clone());
            }
        }
        due
    }

    /// Records an endpoint's reply to `order`; late replies to closed orders change nothing.
    pub fn record_reply(&mut self, order: Uuid, reply: OrderReply, now: Instant) {
        let Some(open) = self.open.values_mut().find(|open| open.order == order) else {
            return;
        };
        match reply {
            OrderReply::Accepted => {
                open.state = OrderState::Accepted;
                open.next_send_at = open.next_send_at.max(now + RECHECK_INTERVAL);
            }
            OrderReply::StoreRefused(why) => {
                let (endpoint, model_version) =
                    (open.task.endpoint.clone(), model_version(&open.task));
                self.store
                    .record_refusal(model_version, why, rand::random(), now);
                self.close(&endpoint);
            }
            // An accepted order stays accepted if a repeat gets no reply.
            OrderReply::Unconfirmed(_) | OrderReply::StaleFencing(_)
                if open.state == OrderState::Accepted => {}
            OrderReply::Unconfirmed(why) | OrderReply::StaleFencing(why) => {
                let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(open.send_count.min(16));
                open.state = OrderState::Pending;
                open.next_send_at = now + backoff.min(MAX_BACKOFF);
                open.last_reply = Some(why);
            }
            OrderReply::OutOfMemory(_) if self.out_of_memory.insert(release(open)) => {
                let endpoint = open.task.endpoint.clone();
                self.close(&endpoint);
            }
            OrderReply::Refused(why) | OrderReply::OutOfMemory(why) => {
                let endpoint = open.task.endpoint.clone();
                self.refused_until
                    .insert(endpoint.clone(), now + REFUSAL_BACKOFF);
                self.fail(&endpoint, format!("{endpoint} refused: {why}"));
            }
        }
    }

    /// Closes orders that `endpoints` show as applied, overdue or without their endpoint.
    pub fn close_finished(
        &mut self,
        endpoints: &BTreeMap<String, EndpointView>,
        limits: &Limits,
        now: Instant,
    ) {
        self.check_watched(endpoints, now);
        self.refused_until.retain(|_, until| *until > now);
        self.attempts.retain(|task, _| {
            let endpoint = endpoints.get(&task.endpoint);
            endpoint.is_some_and(|e| e.incarnation == task.incarnation)
        });
        for name in self.open.keys().cloned().collect::<Vec<_>>() {
            let open = &self.open[&name];
            let endpoint = endpoints.get(&name);
            let same_incarnation = endpoint.filter(|e| e.incarnation == open.task.incarnation);
            match same_incarnation {
                Some(endpoint) if is_applied(endpoint, &open.task) => {
                    self.complete(&name, limits, now);
                }
                None => self.fail(
                    &name,
                    format!("{name} stopped or restarted before it completed its order"),
                ),
                Some(_)
                    if now.saturating_duration_since(open.created_at) >= limits.load_timeout =>
                {
                    let failure = format!(
                        "{name} did not complete its order within {:?}",
                        limits.load_timeout
                    );
                    self.fail(&name, failure);
                }
                Some(_) => {}
            }
        }
    }

    /// Removes the failures of versions that are no longer declared.
    pub fn retain_releases(&mut self, is_wanted: impl Fn(&Release) -> bool) {
        self.failures.retain(|release, _| is_wanted(release));
        self.regressions.retain(|release, _| is_wanted(release));
        self.out_of_memory.retain(|release| is_wanted(release));
    }

    /// Clears orders, watches and attempts but keeps failures; used when another controller may have
    /// sent orders in the meantime.
    pub fn clear_orders(&mut self) {
        self.open.clear();
        self.watched.clear();
        self.attempts.clear();
    }

    fn complete(&mut self, name: &str, limits: &Limits, now: Instant) {
        let Some(open) = self.open.remove(name) else {
            return;
        };
        self.last_applied.insert(open.service.clone(), now);
        self.store.record_success(&model_version(&open.task));
        if open.task.action == Action::Load {
            let watched = WatchedLoad {
                release: release(&open),
                incarnation: open.task.incarnation,
                until: now + limits.settle_delay * WATCH_SETTLE_DELAYS,
            };
            self.watched.insert(name.to_owned(), watched);
        }
    }

    /// Closes an order that was not completed; the next attempt gets a new id.
    fn close(&mut self, name: &str) -> Option<OpenOrder> {
        let open = self.open.remove(name)?;
        *self.attempts.entry(open.task.clone()).or_default() += 1;
        Some(open)
    }

    fn fail(&mut self, name: &str, failure: String) {
        let Some(open) = self.close(name) else {
            return;
        };
        if open.task.action == Action::Load {
            self.failures
                .entry(release(&open))
                .or_default()
                .push(failure);
        }
    }

    /// Counts an endpoint that was lost soon after it loaded a version as a failure of the version.
    fn check_watched(&mut self, endpoints: &BTreeMap<String, EndpointView>, now: Instant) {
        let is_suspect = |e: &&EndpointView| e.state == EndpointState::Suspect;
        let suspect = endpoints.values().filter(is_suspect).count();
        // If most endpoints are silent, the reporting gate is more likely isolated than they are down.
        let is_gate_isolated = suspect * 2 > endpoints.len();
        for (name, watched) in std::mem::take(&mut self.watched) {
            let is_lost = match endpoints.get(&name) {
                None => true,
                Some(e) if e.incarnation != watched.incarnation => true,
                Some(e) => e.state == EndpointState::Suspect && !is_gate_isolated,
            };
            match is_lost {
                true => {
                    let failure = format!("{name} was lost after loading the version");
                    self.failures
                        .entry(watched.release)
                        .or_default()
                        .push(failure);
                }
                false if watched.until > now => drop(self.watched.insert(name, watched)),
                false => {}
            }
        }
    }
}

const LOAD_RATE_WINDOW: Duration = Duration::from_mins(1);

fn model_version(task: &Task) -> ModelVersion {
    ModelVersion {
        model: task.model.clone(),
        version: task.version,
    }
}

fn release(open: &OpenOrder) -> Release {
    Release {
        service: open.service.clone(),
        model: open.task.model.clone(),
        version: open.task.version,
    }
}
