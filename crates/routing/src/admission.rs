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
    concurrency_limit::ConcurrencyLimit,
    latency::{Latencies, Stage},
    queue::{AdmissionQueue, Waiter},
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
    concurrency: ConcurrencyLimit,
    queue: AdmissionQueue<Permit>,
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
            concurrency: ConcurrencyLimit::new(cfg),
            queue: AdmissionQueue::new(cfg.max_waiting),
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
        let Some(latest_start) = req.deadline.checked_sub(estimate).filter(|at| *at > now) else {
            return Err(self.shared.refusal(RefusalReason::TooLate));
        };
        let latest_start = latest_start.min(now + self.shared.cfg.max_wait);
        let workspace_permit = self.acquire_workspace_permit(&req)?;
        let waiting = match self.acquire_permit(&req, latest_start, now)? {
            PermitState::Granted(permit) => return Ok(self.guard(workspace_permit, permit)),
            PermitState::Queued(rx) => rx,
        };
        match timeout_at(latest_start, waiting).await {
            Ok(Ok(permit)) => Ok(self.guard(workspace_permit, permit)),
            // Displaced by one that comes first, or no place came free in time.
            Ok(Err(_)) | Err(_) => Err(self.shared.refusal(RefusalReason::Overloaded)),
        }
    }

    /// Requests in flight and waiting, and the limit.
    pub fn stats(&self) -> AdmissionStats {
        let inner = self.shared.lock();
        AdmissionStats {
            in_flight: inner.in_flight,
            limit: inner.concurrency.limit(),
            waiting: inner.queue.len(),
        }
    }

    fn guard(&self, workspace_permit: WorkspacePermit, permit: Permit) -> AdmissionGuard {
        AdmissionGuard {
            latencies: Arc::clone(&self.shared.latencies),
            permit,
            _workspace_permit: workspace_permit,
        }
    }

    fn acquire_workspace_permit(
        &self,
        req: &AdmissionRequest<'_>,
    ) -> Result<WorkspacePermit, Refusal> {
        let mut inner = self.shared.lock();
        let count = inner.workspaces.get(req.workspace).copied().unwrap_or(0);
        if count >= req.max_in_flight {
            drop(inner);
            return Err(self.shared.refusal(RefusalReason::WorkspaceLimit));
        }
        inner.workspaces.insert(req.workspace.to_owned(), count + 1);
        Ok(WorkspacePermit {
            shared: Arc::clone(&self.shared),
            workspace: req.workspace.to_owned(),
        })
    }

    fn acquire_permit(
        &self,
        req: &AdmissionRequest<'_>,
        latest_start: Instant,
        now: Instant,
    ) -> Result<PermitState, Refusal> {
        let mut inner = self.shared.lock();
        if inner.queue.is_empty() && inner.in_flight < inner.concurrency.limit() {
            inner.in_flight += 1;
            return Ok(PermitState::Granted(Permit::new(&self.shared)));
        }
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter {
            workspace: req.workspace.to_owned(),
            priority: req.priority,
            latest_start,
            tx,
        };
        let capacity = inner.concurrency.capacity(self.shared.cfg.max_wait);
        match inner.queue.push(waiter, capacity, now) {
            true => Ok(PermitState::Queued(rx)),
            false => {
                drop(inner);
                Err(self.shared.refusal(RefusalReason::Overloaded))
            }
        }
    }
}

/// Whether a request starts at once.
#[derive(Debug)]
enum PermitState {
    Granted(Permit),
    Queued(oneshot::Receiver<Permit>),
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    fn refusal(&self, reason: RefusalReason) -> Refusal {
        let inner = self.lock();
        let expected = inner.concurrency.expected_wait(inner.queue.len());
        Refusal {
            reason,
            retry_after: expected.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }
}

/// One of the workspace's places; freed when dropped.
#[derive(Debug)]
struct WorkspacePermit {
    shared: Arc<Shared>,
    workspace: String,
}

impl Drop for WorkspacePermit {
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
    outcome: RequestOutcome,
    skip_release: bool,
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
            outcome: RequestOutcome::Other,
            skip_release: false,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.skip_release {
            return;
        }
        let now = Instant::now();
        let mut inner = self.shared.lock();
        inner.in_flight -= 1;
        let is_limit_reached =
            !inner.queue.is_empty() || inner.in_flight + 1 >= inner.concurrency.limit();
        let elapsed = now.saturating_duration_since(self.since);
        inner
            .concurrency
            .record_completion(self.outcome, elapsed, is_limit_reached, now);
        while inner.in_flight < inner.concurrency.limit() {
            let Some(tx) = inner.queue.pop(now) else {
                return;
            };
            inner.in_flight += 1;
            if let Err(mut unwanted) = tx.send(Self::new(&self.shared)) {
                // Its drop would take the lock that is held here.
                unwanted.skip_release = true;
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
    _workspace_permit: WorkspacePermit,
}

impl AdmissionGuard {
    /// Whether `stages` are likely to end within `left`.
    pub fn still_fits(&self, stages: &[Stage<'_>], left: Duration) -> bool {
        self.latencies.estimate(stages) <= left
    }

    /// Ends the request and learns from it; one that is dropped without tells nothing.
    pub fn finish(mut self, outcome: RequestOutcome) {
        self.permit.outcome = outcome;
    }
}
