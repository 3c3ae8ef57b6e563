//! Open orders, and what earlier ones tell about each version.

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
/// An endpoint that refused an order gets no other for this long.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(10);
/// An endpoint that has taken an order is asked this often what became of it.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Endpoints that followed an order are watched for this many settling pauses.
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

/// Where an open order stands.
#[value]
#[derive(Copy)]
pub enum OrderState {
    /// It is to be sent, at first or again.
    Pending,
    /// It is under way.
    Sending,
    /// The endpoint has taken it; its announcement is awaited.
    Accepted,
}

/// An order that is not yet seen to be followed.
#[derive(Clone, Debug)]
pub struct OpenOrder {
    /// What the endpoint is to do.
    pub task: Task,
    /// The order's id.
    pub order: Uuid,
    /// The endpoint's service.
    pub service: String,
    /// When it was decided.
    pub created_at: Instant,
    /// Where it stands.
    pub state: OrderState,
    /// How often it was sent.
    pub send_count: u32,
    /// When it may be sent again.
    pub next_send_at: Instant,
    /// What was heard last.
    pub last_reply: Option<String>,
}

impl OpenOrder {
    /// Whether it is known that the endpoint has taken it, or that it never was sent.
    pub fn is_delivery_known(&self) -> bool {
        self.state == OrderState::Accepted || self.send_count == 0
    }
}

/// An endpoint that followed a load lately.
#[derive(Clone, Debug)]
struct WatchedLoad {
    release: Release,
    incarnation: Uuid,
    until: Instant,
}

/// Everything that one controller remembers of its orders.
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

/// Whether `endpoint` is as `task` asks.
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
    /// Open orders by endpoint.
    pub fn open_orders(&self) -> &BTreeMap<String, OpenOrder> {
        &self.open
    }

    /// What failed by version.
    pub fn failures(&self) -> &BTreeMap<Release, Vec<String>> {
        &self.failures
    }

    /// Versions with which attainment fell.
    pub fn regressions(&self) -> &BTreeMap<Release, Regression> {
        &self.regressions
    }

    /// What the weight store refused.
    pub fn store(&self) -> &StoreBackoff {
        &self.store
    }

    /// Whether an endpoint had no memory for `release` beside another version.
    pub fn ran_out_of_memory(&self, release: &Release) -> bool {
        self.out_of_memory.contains(release)
    }

    /// Endpoints that get no new calls, since when.
    pub fn draining(&self) -> &BTreeMap<String, Instant> {
        &self.draining
    }

    /// Sets which endpoints get no new calls from `now` on; others get calls again.
    pub fn set_draining(&mut self, endpoints: Vec<String>, now: Instant) {
        let before = std::mem::take(&mut self.draining);
        let since = |name: &String| before.get(name).copied().unwrap_or(now);
        let drained = endpoints.into_iter().map(|name| (since(&name), name));
        self.draining = drained.map(|(since, name)| (name, since)).collect();
    }

    /// Halts the rollout of `release`; the first fall found stands.
    pub fn halt(&mut self, release: Release, regression: Regression) {
        self.regressions.entry(release).or_insert(regression);
    }

    /// Why no further endpoint gets `release`, if none does after `halt_after` failures.
    pub fn halt_reason(&self, release: &Release, halt_after_failures: u32) -> Option<String> {
        let failures = self.failures.get(release).map_or(&[][..], Vec::as_slice);
        match (self.regressions.get(release), failures.last()) {
            (Some(regression), _) => Some(format!("halted as attainment fell: {regression}")),
            (None, Some(last)) if failures.len() >= halt_after_failures as usize => {
                Some(format!("halted after {} failures: {last}", failures.len()))
            }
            _ => None,
        }
    }

    /// Which try of `task` is next.
    pub fn attempt(&self, task: &Task) -> u32 {
        self.attempts.get(task).copied().unwrap_or(0)
    }

    /// Whether `endpoint` refused an order lately.
    pub fn refused_recently(&self, endpoint: &str, now: Instant) -> bool {
        self.refused_until
            .get(endpoint)
            .is_some_and(|until| *until > now)
    }

    /// When the last endpoint of `service` had followed an order.
    pub fn last_applied_at(&self, service: &str) -> Option<Instant> {
        self.last_applied.get(service).copied()
    }

    /// Loads begun within the last minute.
    pub fn recent_loads(&self, now: Instant) -> usize {
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < LOAD_RATE_WINDOW;
        self.loads.iter().filter(is_recent).count()
    }

    /// Enters an order that was decided at `now`.
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

    /// The orders that are due to be sent, which count as under way from now on.
    pub fn claim_due(&mut self, now: Instant, may: impl Fn(&OpenOrder) -> bool) -> Vec<OpenOrder> {
        let mut due = Vec::new();
        for open in self.open.values_mut() {
            if open.state == OrderState::Pending && open.next_send_at <= now && may(open) {
                open.state = OrderState::Sending;
                open.send_count += 1;
                due.push(open.clone());
            } else if open.state == OrderState::Accepted && open.next_send_at <= now && may(open) {
                // A repeat changes nothing, and its answer tells of a load that failed.
                open.next_send_at = now + RECHECK_INTERVAL;
                due.push(open.clone());
            }
        }
        due
    }

    /// Takes an endpoint's answer to `order`; late answers to closed orders change nothing.
    pub fn record_reply(&mut self, order: Uuid, answer: OrderReply, now: Instant) {
        let Some(open) = self.open.values_mut().find(|open| open.order == order) else {
            return;
        };
        match answer {
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
            // What has been taken stays so though its repeat is lost.
            OrderReply::Unconfirmed(_) | OrderReply::StaleFencing(_)
                if open.state == OrderState::Accepted => {}
            OrderReply::Unconfirmed(why) | OrderReply::StaleFencing(why) => {
                let doubled = INITIAL_BACKOFF * 2_u32.saturating_pow(open.send_count.min(16));
                open.state = OrderState::Pending;
                open.next_send_at = now + doubled.min(MAX_BACKOFF);
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

    /// Closes what `endpoints` show to be followed, overdue or without an endpoint.
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
            let same_process = endpoint.filter(|e| e.incarnation == open.task.incarnation);
            match same_process {
                Some(endpoint) if is_applied(endpoint, &open.task) => {
                    self.complete(&name, limits, now);
                }
                None => self.fail(&name, format!("{name} ended or restarted under its order")),
                Some(_)
                    if now.saturating_duration_since(open.created_at) >= limits.load_timeout =>
                {
                    let what = format!("{name} did not follow within {:?}", limits.load_timeout);
                    self.fail(&name, what);
                }
                Some(_) => {}
            }
        }
    }

    /// Forgets the failures of versions that are no longer wanted.
    pub fn retain_releases(&mut self, is_wanted: impl Fn(&Release) -> bool) {
        self.failures.retain(|release, _| is_wanted(release));
        self.regressions.retain(|release, _| is_wanted(release));
        self.out_of_memory.retain(|release| is_wanted(release));
    }

    /// Forgets everything but the failures: another controller may have given orders since.
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

    /// Closes an order that was not followed, so that the next try is another order.
    fn close(&mut self, name: &str) -> Option<OpenOrder> {
        let open = self.open.remove(name)?;
        *self.attempts.entry(open.task.clone()).or_default() += 1;
        Some(open)
    }

    fn fail(&mut self, name: &str, what: String) {
        let Some(open) = self.close(name) else {
            return;
        };
        if open.task.action == Action::Load {
            self.failures.entry(release(&open)).or_default().push(what);
        }
    }

    /// An endpoint lost soon after it loaded a version counts against the version.
    fn check_watched(&mut self, endpoints: &BTreeMap<String, EndpointView>, now: Instant) {
        let is_suspect = |e: &&EndpointView| e.state == EndpointState::Suspect;
        let suspect = endpoints.values().filter(is_suspect).count();
        // Where most are silent, the gate that tells so is cut off rather than they.
        let is_blind = suspect * 2 > endpoints.len();
        for (name, watched) in std::mem::take(&mut self.watched) {
            let is_lost = match endpoints.get(&name) {
                None => true,
                Some(e) if e.incarnation != watched.incarnation => true,
                Some(e) => e.state == EndpointState::Suspect && !is_blind,
            };
            match is_lost {
                true => {
                    let what = format!("{name} was lost after it had loaded the version");
                    self.failures.entry(watched.release).or_default().push(what);
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
