//! Collects items of many requests into batched calls to the endpoints of a batch pool.
//!
//! Each service has a queue of waiting items, ordered by urgency and age. Whenever an endpoint has
//! a free slot and free space for results, it gets the fullest batch that the queue can build.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use logs::Event;
use routing::fair_share::FairShares;
use tokio::{
    sync::Notify,
    task::JoinHandle,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    batch_context::Context,
    batch_outcome::{BatchOutcome, ItemFailure},
    call,
    fleet::Target,
    late_call,
    messages::{Forecast, StageFailure, StoredResult, Submission},
    queue::{Job, NextCall, NextStep, Queue},
    rate_limit::{PermitRequest, RateLimits},
    ticket::Ticket,
};

/// Time during which released results are collected into one release request.
const RELEASE_DELAY: Duration = Duration::from_millis(25);
/// The same for an endpoint that names a request rate, since each request counts there.
const DEFERRED_RELEASE_DELAY: Duration = Duration::from_secs(1);
/// Maximum size of the response to a release.
const MAX_RELEASE_BYTES: usize = 64 << 10;
/// Timeout of a release request.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// `Retry-After` for a stage whose call had no answer by its deadline.
const LATE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest time between checks of a non-empty queue.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// The queues of all services. Clones share state.
#[derive(Clone, Debug)]
pub(crate) struct Collector {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    cx: Context,
    queues: Mutex<HashMap<QueueKey, Arc<ActiveQueue>>>,
    tickets: Mutex<HashMap<u64, Arc<Ticket>>>,
    /// True once other gates collect instead.
    is_leaving: AtomicBool,
}

/// Items that were accepted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Accepted {
    /// Id of their ticket.
    pub(crate) ticket: u64,
    /// How long they are expected to wait.
    pub(crate) wait: Duration,
}

/// Identifies a queue: a service and, optionally, the availability zone whose endpoints are
/// preferred.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct QueueKey {
    service: String,
    zone: Option<String>,
}

/// A queue and the task that processes it.
#[derive(Debug)]
struct ActiveQueue {
    queue: Mutex<Queue>,
    wake: Notify,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl ActiveQueue {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ActiveQueue {
    fn drop(&mut self) {
        let task = self.task.get_mut().unwrap_or_else(PoisonError::into_inner);
        if let Some(task) = task {
            task.abort();
        }
    }
}

impl Collector {
    pub(crate) fn new(cx: Context) -> Self {
        let shared = Shared {
            cx,
            queues: Mutex::default(),
            tickets: Mutex::default(),
            is_leaving: AtomicBool::new(false),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Enqueues the items of a stage, or fails immediately if they can't be completed in time. With
    /// `zone`, only endpoints of that availability zone are called while it has any.
    pub(crate) fn submit(
        &self,
        submission: Submission,
        zone: Option<String>,
    ) -> Result<Accepted, StageFailure> {
        let now = Instant::now();
        let rules = self.shared.cx.rules.borrow().clone();
        let service = submission.service.clone();
        let declared = rules.service(&service).map(|s| &s.capacity);
        let Some(capacity) = declared.filter(|c| c.batch.is_some()).cloned() else {
            return Err(StageFailure::NoEndpoint);
        };
        let Some(pool) = self.shared.cx.fleet.pool(&service) else {
            return Err(StageFailure::NoEndpoint);
        };
        let budget = &self.shared.cx.budget;
        budget.record_first_attempts(&service, submission.items);
        let active = self.queue_for(QueueKey { service, zone });
        let ticket = {
            let mut queue = active.queue();
            queue.set_capacity(&capacity);
            let reachable = self.shared.cx.fleet.reachable();
            let refused = submission.clone();
            let enqueued = queue.enqueue(submission, &pool, &reachable, now);
            enqueued.inspect_err(|failure| {
                let endpoints = queue.healthy(&pool, &reachable, now).len();
                refused.log_failure(
                    failure,
                    refused.remaining,
                    Some((queue.waiting(), endpoints)),
                );
            })?
        };
        let accepted = Accepted {
            ticket: ticket.id,
            wait: ticket.expected_wait,
        };
        self.tickets().insert(ticket.id, ticket);
        active.wake.notify_one();
        Ok(accepted)
    }

    /// Returns how long the items would wait that are submitted in `submitted_in`, and announces them
    /// if they would be in time.
    pub(crate) fn forecast(
        &self,
        submission: Submission,
        submitted_in: Duration,
        zone: Option<String>,
    ) -> Result<Forecast, StageFailure> {
        let rules = self.shared.cx.rules.borrow().clone();
        let service = submission.service.clone();
        let declared = rules.service(&service).map(|s| &s.capacity);
        let pool = self.shared.cx.fleet.pool(&service);
        let (Some(capacity), Some(pool)) = (declared.filter(|c| c.batch.is_some()), pool) else {
            return Err(StageFailure::NoEndpoint);
        };
        let active = self.queue_for(QueueKey { service, zone });
        let reachable = self.shared.cx.fleet.reachable();
        let mut queue = active.queue();
        queue.set_capacity(capacity);
        queue.forecast(submission, submitted_in, &pool, &reachable, Instant::now())
    }

    /// Hands stages that have not started over to the gates that collect from now on. This limits
    /// the time in which two gates call the same endpoints to that of the calls in flight.
    pub(crate) fn hand_over(&self) {
        self.shared.is_leaving.store(true, Ordering::Relaxed);
        let queues: Vec<Arc<ActiveQueue>> = self.queues().values().cloned().collect();
        for active in queues {
            active.queue().hand_over();
        }
    }

    /// Returns true if other gates collect instead.
    pub(crate) fn is_leaving(&self) -> bool {
        self.shared.is_leaving.load(Ordering::Relaxed)
    }

    /// Returns the number of endpoints of `service` that take new work, by availability zone.
    pub(crate) fn healthy_by_zone(&self, service: &str) -> BTreeMap<String, usize> {
        self.shared.cx.fleet.healthy_by_zone(service)
    }

    /// Waits for the results of `ticket`.
    pub(crate) async fn wait(&self, ticket: u64) -> Result<Vec<StoredResult>, StageFailure> {
        let found = self.tickets().get(&ticket).cloned();
        let Some(found) = found else {
            return Err(StageFailure::Unreachable);
        };
        let result = found.finished().await;
        match &result {
            Ok(_) => drop(self.tickets().remove(&ticket)),
            Err(_) => self.cancel(ticket),
        }
        result
    }

    /// Waits until the endpoints have fetched the inputs of `ticket`. Returns false if the ticket
    /// is unknown or its deadline has passed.
    pub(crate) async fn inputs_fetched(&self, ticket: u64) -> bool {
        let found = self.tickets().get(&ticket).cloned();
        match found {
            Some(ticket) => {
                let deadline = ticket.deadline;
                timeout_at(deadline, ticket.inputs_fetched()).await.is_ok()
            }
            None => false,
        }
    }

    /// Cancels `ticket` and releases results that have already been produced.
    pub(crate) fn cancel(&self, ticket: u64) {
        let Some(ticket) = self.tickets().remove(&ticket) else {
            return;
        };
        let handles = ticket.cancel();
        let service = &ticket.submission.service;
        for active in self.queues_of(service) {
            active.queue().remove_stage(&ticket);
        }
        self.release(service, handles);
    }

    /// Releases results on their endpoints.
    pub(crate) fn release(&self, service: &str, handles: Vec<String>) {
        if handles.is_empty() {
            return;
        }
        for active in self.queues_of(service) {
            let is_first = active.queue().queue_release(&handles);
            active.wake.notify_one();
            if is_first {
                let (collector, service) = (self.clone(), service.to_owned());
                tokio::spawn(async move {
                    sleep(RELEASE_DELAY).await;
                    collector.send_releases(&service, &active).await;
                });
            }
        }
    }

    async fn send_releases(&self, service: &str, active: &Arc<ActiveQueue>) {
        let releases = active.queue().take_releases();
        let fleet = &self.shared.cx.fleet;
        let now = Instant::now();
        for (address, handles) in releases {
            let target = fleet.target_at(service, address);
            let is_limited = |t: &Arc<Target>| t.stats().permits.limit(now).is_some();
            match target {
                Some(target) if is_limited(&target) => {
                    if active.queue().defer_release(address, handles) {
                        let (collector, active) = (self.clone(), Arc::clone(active));
                        tokio::spawn(async move {
                            collector.send_deferred_release(&active, &target).await;
                        });
                    }
                }
                target => {
                    self.send_release(active, address, target.as_deref(), &handles)
                        .await;
                }
            }
        }
        active.wake.notify_one();
    }

    /// Releases results on an endpoint that names a request rate, once a permit is available. Until
    /// then further results are collected. Without a permit, the results expire by themselves.
    async fn send_deferred_release(&self, active: &ActiveQueue, target: &Arc<Target>) {
        let until = Instant::now() + active.queue().result_retention();
        sleep(DEFERRED_RELEASE_DELAY).await;
        let rate_limits = &self.shared.cx.rate_limits;
        let is_permitted = timeout_at(until, rate_limits.await_permit(target)).await;
        let handles = active.queue().take_deferred(target.address);
        if is_permitted.is_ok() {
            let metrics = &self.shared.cx.metrics;
            metrics.record_limited_call(&target.service, "release");
            self.send_release(active, target.address, Some(target), &handles)
                .await;
            active.wake.notify_one();
        }
    }

    async fn send_release(
        &self,
        active: &ActiveQueue,
        address: SocketAddr,
        target: Option<&Target>,
        handles: &[String],
    ) {
        let cx = &self.shared.cx;
        // Results in an evacuated zone expire by themselves.
        if !cx.fleet.may_release_on(target) {
            return;
        }
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        let req = (cx.dialect.write_release)(handles);
        let sent = call::send_release(&cx.release_pool, address, req, deadline).await;
        // If the release request is lost, the results expire by themselves.
        let Ok(exchange) = sent else { return };
        let notice = (cx.dialect.notice)(exchange.status, &exchange.headers);
        if let Some(target) = target {
            cx.fleet.apply_notice(target, notice, &cx.vm, None);
        }
        // The body is read only to keep the connection usable.
        let _ = exchange
            .discard_body(&cx.release_pool, MAX_RELEASE_BYTES, deadline)
            .await;
        let mut queue = active.queue();
        for handle in handles {
            queue.release(handle);
        }
    }

    fn tickets(&self) -> MutexGuard<'_, HashMap<u64, Arc<Ticket>>> {
        let tickets = &self.shared.tickets;
        tickets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn queues(&self) -> MutexGuard<'_, HashMap<QueueKey, Arc<ActiveQueue>>> {
        let queues = &self.shared.queues;
        queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The queues of `service`. There is more than one only if this gate has stood in for others.
    fn queues_of(&self, service: &str) -> Vec<Arc<ActiveQueue>> {
        let queues = self.queues();
        let of_it = queues.iter().filter(|(key, _)| key.service == service);
        of_it.map(|(_, active)| Arc::clone(active)).collect()
    }

    fn queue_for(&self, key: QueueKey) -> Arc<ActiveQueue> {
        let mut queues = self.queues();
        if let Some(active) = queues.get(&key) {
            return Arc::clone(active);
        }
        let mut queue = Queue::new(key.zone.clone());
        if self.shared.cx.fair_shares == FairShares::Workspaces {
            queue.use_shares();
        }
        let active = Arc::new(ActiveQueue {
            queue: Mutex::new(queue),
            wake: Notify::new(),
            task: Mutex::new(None),
        });
        let task = tokio::spawn(run_queue(
            self.clone(),
            key.service.clone(),
            Arc::clone(&active),
        ));
        *active.task.lock().unwrap_or_else(PoisonError::into_inner) = Some(task);
        queues.insert(key, Arc::clone(&active));
        active
    }
}

/// Sends calls as long as items and endpoints are available.
async fn run_queue(collector: Collector, service: String, active: Arc<ActiveQueue>) {
    loop {
        let pool = collector.shared.cx.fleet.pool(&service);
        let next = match &pool {
            Some(pool) => {
                let reachable = collector.shared.cx.fleet.reachable();
                active.queue().next_step(pool, &reachable, Instant::now())
            }
            None => NextStep::Wait,
        };
        match next {
            NextStep::Call(next) => {
                let metrics = &collector.shared.cx.metrics;
                metrics.record_cross_zone_bytes(&service, next.crossing_bytes());
                metrics.record_batch_bound(&service, next.bound.label());
                tokio::spawn(run_call(collector.clone(), Arc::clone(&active), next));
            }
            NextStep::RequestPermit(target) => {
                let rate_limits = collector.shared.cx.rate_limits.clone();
                let request = PermitRequest::new(&target);
                tokio::spawn(request_permits(rate_limits, Arc::clone(&active), request));
            }
            NextStep::Wait => wait(&active).await,
        }
    }
}

/// Completes a request for permits, and wakes the queue.
async fn request_permits(
    rate_limits: RateLimits,
    active: Arc<ActiveQueue>,
    request: PermitRequest,
) {
    rate_limits.request_permits(request).await;
    active.wake.notify_one();
}

/// Waits for a notification, or for at most `CHECK_INTERVAL` if items are queued.
async fn wait(active: &ActiveQueue) {
    let has_items = !active.queue().is_empty();
    let notified = active.wake.notified();
    match has_items {
        true => drop(timeout_at(Instant::now() + CHECK_INTERVAL, notified).await),
        false => notified.await,
    }
}

/// Sends one call and passes its results to their tickets.
async fn run_call(collector: Collector, active: Arc<ActiveQueue>, next: NextCall) {
    let cx = &collector.shared.cx;
    let started_at = Instant::now();
    let may_give_up = || {
        let pool = cx.fleet.pool(&next.target.service);
        let (reachable, now) = (cx.fleet.reachable(), Instant::now());
        let queue = active.queue();
        queue.may_give_up(&next, pool.as_deref(), &reachable, &cx.budget, now)
    };
    let mut outcome = late_call::call(cx, &next, may_give_up).await;
    let now = Instant::now();
    if matches!(
        &outcome,
        BatchOutcome::Answered(results) if active.queue().is_stale_copy(&next.jobs, results)
    ) {
        outcome = BatchOutcome::Failed("the results belong to other items".to_owned());
    }
    let has_failed = matches!(outcome, BatchOutcome::Failed(_) | BatchOutcome::Unsent(_));
    if !matches!(outcome, BatchOutcome::NotRun | BatchOutcome::Unreached(_)) {
        cx.fleet.record_call_result(&next.target, has_failed);
    }
    match &outcome {
        BatchOutcome::NotRun | BatchOutcome::Unsent(_) => next.target.mark_full(),
        BatchOutcome::Unreached(why) => next.target.record_connect_failure(why),
        BatchOutcome::Misplaced => next.target.mark_misplaced(),
        BatchOutcome::Failed(_) | BatchOutcome::Answered(_) => {}
    }
    let took = now.saturating_duration_since(started_at);
    let is_whole = outcome.failure().is_none();
    cx.metrics
        .record_batch(&next.target.service, next.jobs.len(), is_whole, took);
    cx.metrics.record_items_without_result(
        &next.target.service,
        &outcome.items_without_result(next.jobs.len()),
    );
    if let Some(why) = outcome.failure() {
        log_failed_call(&next, why, took);
    }
    let unwanted = {
        let mut queue = active.queue();
        queue.record_outcome(&next, took, &outcome, now);
        apply_results(cx, &mut queue, &next, outcome)
    };
    active.wake.notify_one();
    let service = next.target.service.clone();
    collector.release(&service, unwanted);
}

/// Maximum number of requests listed in the log event of a failed call.
const MAX_LOGGED_REQUESTS: usize = 12;

/// Logs a call that failed completely or for some items.
fn log_failed_call(next: &NextCall, why: &str, took: Duration) {
    let requests = next.jobs.iter().map(|job| &job.ticket.submission.request);
    let mut requests: Vec<String> = requests.cloned().collect();
    requests.sort_unstable();
    requests.dedup();
    requests.truncate(MAX_LOGGED_REQUESTS);
    logs::write(
        None,
        &Event::BatchFailed {
            service: next.target.service.clone(),
            endpoint: next.target.name.clone(),
            requests,
            items: next.jobs.len(),
            why: why.to_owned(),
            expected_ms: next.expected.as_millis() as u64,
            took_ms: took.as_millis() as u64,
        },
    );
}

/// Passes each job its result, or requeues, retries or fails it. Returns handles of results that
/// are no longer needed.
fn apply_results(
    cx: &Context,
    queue: &mut Queue,
    next: &NextCall,
    outcome: BatchOutcome,
) -> Vec<String> {
    let mut unwanted = Vec::new();
    let service = &next.target.service;
    let results = match outcome {
        BatchOutcome::Answered(results) => results,
        BatchOutcome::NotRun
        | BatchOutcome::Unsent(_)
        | BatchOutcome::Unreached(_)
        | BatchOutcome::Misplaced => {
            for job in &next.jobs {
                requeue(queue, job.clone());
            }
            return unwanted;
        }
        BatchOutcome::Failed(_) => {
            for job in &next.jobs {
                retry_or_fail(cx, queue, service, job.clone(), &StageFailure::Failed);
            }
            return unwanted;
        }
    };
    for (job, result) in next.jobs.iter().zip(results) {
        match result {
            Ok(handle) => {
                let stored = StoredResult {
                    handle: handle.clone(),
                    endpoint: next.target.name.clone(),
                    az: next.target.az.clone(),
                    age: Duration::ZERO,
                };
                if !job.ticket.complete_item(job.item, stored) {
                    unwanted.push(handle);
                }
            }
            Err(ItemFailure::Retry) => {
                retry_or_fail(cx, queue, service, job.clone(), &StageFailure::Failed);
            }
            Err(ItemFailure::NoCapacity) => {
                let bytes = job.ticket.submission.result_bytes;
                queue.record_no_capacity(&next.target.name, bytes, Instant::now());
                requeue(queue, job.clone());
            }
            Err(ItemFailure::Stage(failure)) => job.ticket.fail(failure),
        }
    }
    unwanted
}

/// Requeues an item, or fails its stage if the inputs that it needs again may be released.
fn requeue(queue: &mut Queue, job: Job) {
    match job.ticket.reclaim_inputs(job.item) {
        true => queue.requeue(job),
        false => job.ticket.fail(StageFailure::InputGone),
    }
}

/// Requeues an item if the retry budget allows it, and fails its stage otherwise.
fn retry_or_fail(cx: &Context, queue: &mut Queue, service: &str, job: Job, failure: &StageFailure) {
    let may_spend = || {
        let is_allowed = cx.budget.try_spend(service);
        cx.metrics.record_retry(service, is_allowed);
        is_allowed
    };
    let is_late = Instant::now() >= job.ticket.deadline;
    match job.next_try().filter(|_| !is_late && may_spend()) {
        Some(job) => requeue(queue, job),
        None if is_late => job.ticket.fail(StageFailure::Late {
            retry_after: LATE_RETRY_AFTER,
        }),
        None => job.ticket.fail(failure.clone()),
    }
}
