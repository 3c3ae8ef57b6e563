//! Which requests may start: workspace limits, shares by priority, an adaptive overall limit, and
//! refusal of what cannot be done in time.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use declaration::Priority;
use derives::value;
use thiserror::Error;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use crate::{
    latency::{Latencies, Stage},
    overall::Overall,
    queue::{Queue, Waiter},
};

/// Bounds of admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionConfig {
    /// Overall limit of requests in flight at the start.
    pub initial: f64,
    /// Lowest overall limit.
    pub min: f64,
    /// Highest overall limit.
    pub max: f64,
    /// Longest wait for admission.
    pub max_wait: Duration,
    /// Most requests that wait.
    pub max_waiting: usize,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            initial: 256.0,
            min: 4.0,
            max: 16_384.0,
            max_wait: Duration::from_millis(500),
            max_waiting: 1_024,
        }
    }
}

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// On whose behalf it comes.
    pub workspace: &'a str,
    /// The workspace's priority.
    pub priority: Priority,
    /// Most requests of the workspace in flight at this gate.
    pub max_in_flight: u32,
    /// Its stages.
    pub stages: &'a [Stage<'a>],
    /// When it must be done.
    pub deadline: Instant,
}

/// Why a request may not start.
#[value]
#[derive(Copy)]
pub enum RefusalReason {
    /// The workspace has as many requests in flight as it may.
    WorkspaceLimit,
    /// Its stages would take longer than is left until its deadline.
    TooLate,
    /// The gate is overloaded and others come first.
    Overloaded,
}

/// A refusal, given at once, with the time after which to try again.
#[value]
#[derive(Copy, Error)]
#[error("admit request: {}; try again in {retry_after:?}", self.reason.as_str())]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to try again.
    pub retry_after: Duration,
}

impl RefusalReason {
    /// In words, for problem documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WorkspaceLimit => "the workspace has as many requests in flight as it may",
            Self::TooLate => "its stages would not end before its deadline",
            Self::Overloaded => "overloaded, and others come first",
        }
    }
}

const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// What [`Shared`]'s lock guards.
#[derive(Debug)]
struct Inner {
    workspaces: HashMap<String, u32>,
    in_flight: u32,
    overall: Overall,
    queue: Queue<Permit>,
}

/// Decides which requests may start; clones share the state.
#[derive(Clone, Debug)]
pub struct Admission {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    cfg: AdmissionConfig,
    latencies: Arc<Latencies>,
    inner: Mutex<Inner>,
}

/// Numbers for the metrics page.
#[value]
#[derive(Copy)]
pub struct AdmissionStats {
    /// Requests in flight.
    pub in_flight: u32,
    /// The overall limit now.
    pub limit: u32,
    /// Requests that wait.
    pub waiting: usize,
}

impl Admission {
    /// Admission that estimates by `latencies`.
    pub fn new(cfg: AdmissionConfig, latencies: Arc<Latencies>) -> Self {
        let inner = Inner {
            workspaces: HashMap::new(),
            in_flight: 0,
            overall: Overall::new(cfg),
            queue: Queue::new(cfg.max_waiting),
        };
        let shared = Shared {
            cfg,
            latencies,
            inner: Mutex::new(inner),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Admits `req`, at once or after a short wait, or refuses it as soon as that is clear.
    pub async fn admit(&self, req: AdmissionRequest<'_>) -> Result<AdmissionGuard, Refusal> {
        let now = Instant::now();
        let estimate = self.shared.latencies.estimate(req.stages);
        let Some(latest) = req.deadline.checked_sub(estimate).filter(|at| *at > now) else {
            return Err(self.shared.refusal(RefusalReason::TooLate));
        };
        let latest = latest.min(now + self.shared.cfg.max_wait);
        let place = self.take_place(&req)?;
        let waiting = match self.take_permit(&req, latest, now)? {
            Entry::Admitted(permit) => return Ok(self.ticket(place, permit)),
            Entry::Waiting(rx) => rx,
        };
        match timeout_at(latest, waiting).await {
            Ok(Ok(permit)) => Ok(self.ticket(place, permit)),
            // Displaced by one that comes first, or no place came free in time.
            Ok(Err(_)) | Err(_) => Err(self.shared.refusal(RefusalReason::Overloaded)),
        }
    }

    /// Requests in flight and waiting, and the limit.
    pub fn stats(&self) -> AdmissionStats {
        let inner = self.shared.lock();
        AdmissionStats {
            in_flight: inner.in_flight,
            limit: inner.overall.limit(),
            waiting: inner.queue.len(),
        }
    }

    fn ticket(&self, place: Place, permit: Permit) -> AdmissionGuard {
        AdmissionGuard {
            latencies: Arc::clone(&self.shared.latencies),
            permit,
            _place: place,
        }
    }

    fn take_place(&self, req: &AdmissionRequest<'_>) -> Result<Place, Refusal> {
        let mut inner = self.shared.lock();
        let count = inner.workspaces.get(req.workspace).copied().unwrap_or(0);
        if count >= req.max_in_flight {
            drop(inner);
            return Err(self.shared.refusal(RefusalReason::WorkspaceLimit));
        }
        inner.workspaces.insert(req.workspace.to_owned(), count + 1);
        Ok(Place {
            shared: Arc::clone(&self.shared),
            workspace: req.workspace.to_owned(),
        })
    }

    fn take_permit(
        &self,
        req: &AdmissionRequest<'_>,
        latest: Instant,
        now: Instant,
    ) -> Result<Entry, Refusal> {
        let mut inner = self.shared.lock();
        if inner.queue.is_empty() && inner.in_flight < inner.overall.limit() {
            inner.in_flight += 1;
            return Ok(Entry::Admitted(Permit::new(&self.shared)));
        }
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter {
            workspace: req.workspace.to_owned(),
            priority: req.priority,
            latest,
            tx,
        };
        let capacity = inner.overall.capacity(self.shared.cfg.max_wait);
        match inner.queue.push(waiter, capacity, now) {
            true => Ok(Entry::Waiting(rx)),
            false => {
                drop(inner);
                Err(self.shared.refusal(RefusalReason::Overloaded))
            }
        }
    }
}

/// Whether a request starts at once.
#[derive(Debug)]
enum Entry {
    Admitted(Permit),
    Waiting(oneshot::Receiver<Permit>),
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    fn refusal(&self, reason: RefusalReason) -> Refusal {
        let inner = self.lock();
        let expected = inner.overall.expected_wait(inner.queue.len());
        Refusal {
            reason,
            retry_after: expected.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }
}

/// One of the workspace's places; freed when dropped.
#[derive(Debug)]
struct Place {
    shared: Arc<Shared>,
    workspace: String,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut inner = self.shared.lock();
        match inner.workspaces.get_mut(&self.workspace) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(inner.workspaces.remove(&self.workspace)),
        }
    }
}

/// One of the overall places; freed, and given to the next that waits, when dropped.
#[derive(Debug)]
struct Permit {
    shared: Arc<Shared>,
    since: Instant,
    verdict: RequestOutcome,
    is_void: bool,
}

/// What became of an admitted request, as far as it tells about overload.
#[value]
#[derive(Copy)]
pub enum RequestOutcome {
    /// Whole and in time.
    OnTime,
    /// Late, or refused by endpoints for overload.
    Overloaded,
    /// Tells nothing about load.
    Other,
}

impl Permit {
    fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::clone(shared),
            since: Instant::now(),
            verdict: RequestOutcome::Other,
            is_void: false,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.is_void {
            return;
        }
        let now = Instant::now();
        let mut inner = self.shared.lock();
        inner.in_flight -= 1;
        let is_used = !inner.queue.is_empty() || inner.in_flight + 1 >= inner.overall.limit();
        let elapsed = now.saturating_duration_since(self.since);
        inner.overall.ended(self.verdict, elapsed, is_used, now);
        while inner.in_flight < inner.overall.limit() {
            let Some(tx) = inner.queue.pop(now) else {
                return;
            };
            inner.in_flight += 1;
            if let Err(mut unwanted) = tx.send(Self::new(&self.shared)) {
                // Its drop would take the lock that is held here.
                unwanted.is_void = true;
                inner.in_flight -= 1;
            }
        }
    }
}

/// An admitted request; its places are free again when it is dropped.
#[derive(Debug)]
pub struct AdmissionGuard {
    latencies: Arc<Latencies>,
    permit: Permit,
    _place: Place,
}

impl AdmissionGuard {
    /// Whether `stages` are likely to end within `left`.
    pub fn still_fits(&self, stages: &[Stage<'_>], left: Duration) -> bool {
        self.latencies.estimate(stages) <= left
    }

    /// Ends the request and learns from it; one that is dropped without tells nothing.
    pub fn finish(mut self, verdict: RequestOutcome) {
        self.permit.verdict = verdict;
    }
}
