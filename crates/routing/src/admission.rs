//! Admission control: workspace limits, priority queueing, an adaptive concurrency limit, and early
//! refusal of requests that would miss their deadline.

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

/// Limits of [`Admission`].
#[derive(Clone, Copy, Debug)]
pub struct AdmissionConfig {
    /// Initial concurrency limit, in requests.
    pub initial: f64,
    /// Lowest concurrency limit, in requests.
    pub min: f64,
    /// Highest concurrency limit, in requests.
    pub max: f64,
    /// Longest time a request may be queued.
    pub max_wait: Duration,
    /// Most requests in the queue.
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

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Name of the workspace that sent the request.
    pub workspace: &'a str,
    /// Priority of the workspace.
    pub priority: Priority,
    /// Most requests that the workspace may have in flight at this gate.
    pub max_in_flight: u32,
    /// Stages of the request, used to estimate its duration.
    pub stages: &'a [Stage<'a>],
    /// Time by which the request must complete.
    pub deadline: Instant,
}

/// Reason for refusing a request.
#[value]
#[derive(Copy)]
pub enum RefusalReason {
    /// The workspace is at its limit of requests in flight.
    WorkspaceLimit,
    /// The estimated duration of the stages exceeds the time to the deadline.
    TooLate,
    /// The gate is overloaded and other requests take precedence.
    Overloaded,
}

/// A refused admission.
#[value]
#[derive(Copy, Error)]
#[error("admit request: {}; try again in {retry_after:?}", self.reason.as_str())]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

impl RefusalReason {
    /// Returns the description used in problem documents.
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

/// State guarded by the lock of [`Shared`].
#[derive(Debug)]
struct Inner {
    workspaces: HashMap<String, u32>,
    in_flight: u32,
    concurrency: ConcurrencyLimit,
    queue: AdmissionQueue<Permit>,
}

/// Admission controller. Clones share state.
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

/// Snapshot of the controller's state for metrics.
#[value]
#[derive(Copy)]
pub struct AdmissionStats {
    /// Requests in flight.
    pub in_flight: u32,
    /// Current concurrency limit, in requests.
    pub limit: u32,
    /// Requests in the queue.
    pub waiting: usize,
}

impl Admission {
    /// Creates a controller that estimates request durations from `latencies`.
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

    /// Admits `req`, immediately or after at most `max_wait` in the queue, or refuses it.
    pub async fn admit(&self, req: AdmissionRequest<'_>) -> Result<AdmissionGuard, Refusal> {
        let now = Instant::now();
        let estimate = self.shared.latencies.estimate(req.stages);
        let Some(latest_start) = req.deadline.checked_sub(estimate).filter(|at| *at > now) else {
            return Err(self.shared.refusal(RefusalReason::TooLate));
        };
        let latest_start = latest_start.min(now + self.shared.cfg.max_wait);
        let workspace_permit = self.acquire_workspace_permit(&req)?;
        let queued = match self.acquire_permit(&req, latest_start, now)? {
            PermitState::Granted(permit) => return Ok(self.guard(workspace_permit, permit)),
            PermitState::Queued(rx) => rx,
        };
        match timeout_at(latest_start, queued).await {
            Ok(Ok(permit)) => Ok(self.guard(workspace_permit, permit)),
            // Evicted by a request that takes precedence, or no permit became free in time.
            Ok(Err(_)) | Err(_) => Err(self.shared.refusal(RefusalReason::Overloaded)),
        }
    }

    /// Returns the requests in flight, the requests in the queue and the current limit.
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

/// Result of acquiring a permit.
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

/// Counts one request against its workspace's limit until dropped.
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

/// Counts one request against the concurrency limit. Dropping it admits queued requests.
#[derive(Debug)]
struct Permit {
    shared: Arc<Shared>,
    started_at: Instant,
    outcome: RequestOutcome,
    skip_release: bool,
}

/// Outcome of an admitted request, as a signal for the concurrency limit.
#[value]
#[derive(Copy)]
pub enum RequestOutcome {
    /// Completed before its deadline.
    OnTime,
    /// Late, or refused by overloaded endpoints.
    Overloaded,
    /// Carries no information about load.
    Other,
}

impl Permit {
    fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::clone(shared),
            started_at: Instant::now(),
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
        let at_limit = !inner.queue.is_empty() || inner.in_flight + 1 >= inner.concurrency.limit();
        let elapsed = now.saturating_duration_since(self.started_at);
        inner
            .concurrency
            .record_completion(self.outcome, elapsed, at_limit, now);
        while inner.in_flight < inner.concurrency.limit() {
            let Some(tx) = inner.queue.pop(now) else {
                return;
            };
            inner.in_flight += 1;
            if let Err(mut undelivered) = tx.send(Self::new(&self.shared)) {
                // Dropping the permit would deadlock on the lock held here.
                undelivered.skip_release = true;
                inner.in_flight -= 1;
            }
        }
    }
}

/// An admitted request. Dropping it releases its permits.
#[derive(Debug)]
pub struct AdmissionGuard {
    latencies: Arc<Latencies>,
    permit: Permit,
    _workspace_permit: WorkspacePermit,
}

impl AdmissionGuard {
    /// Returns true if the estimated duration of `stages` is at most `remaining`.
    pub fn still_fits(&self, stages: &[Stage<'_>], remaining: Duration) -> bool {
        self.latencies.estimate(stages) <= remaining
    }

    /// Ends the request and updates the concurrency limit. Dropping the guard instead counts as
    /// [`RequestOutcome::Other`].
    pub fn finish(mut self, outcome: RequestOutcome) {
        self.permit.outcome = outcome;
    }
}
