//! Collects items of many requests into batched calls to the endpoints of a batch pool.
//!
//! A queue for each service holds waiting items by urgency and age. Whenever an endpoint has a free
//! slot and room for results, it gets the fullest call that the queue can make.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use logs::Event;
use outbound::Pool;
use tokio::{
    sync::{Notify, watch},
    task::JoinHandle,
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::{
    batch,
    batch_outcome::{BatchOutcome, ItemFailure},
    dialect::Dialect,
    fleet::Fleet,
    messages::{StageFailure, StoredResult, Submission},
    metrics::Metrics,
    queue::{Job, NextCall, Queue},
    rules::Rules,
    ticket::Ticket,
};

/// Time in which results that are given up are collected into one order.
const FREE_PAUSE: Duration = Duration::from_millis(25);
/// Bound on an order to give results up.
const FREE_LIMIT: Duration = Duration::from_millis(500);
/// Time after which an endpoint that began a call at once has fetched the inputs of its items: the call
/// has to arrive, and a full one fetches some megabytes.
const FETCH_TIME: Duration = Duration::from_millis(60);
/// Longest time between checks of a queue in which items wait.
const CHECK_EVERY: Duration = Duration::from_millis(25);

/// What a collector works with.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    pub(crate) dialect: Dialect,
    pub(crate) fleet: Fleet,
    pub(crate) pool: Pool,
    pub(crate) rules: watch::Receiver<Arc<Rules>>,
    pub(crate) budget: Arc<routing::RetryBudget>,
    /// The VM of this gate.
    pub(crate) vm: String,
    pub(crate) metrics: Metrics,
}

/// The queues of all services; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Collector {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    cx: Context,
    queues: Mutex<HashMap<QueueKey, Arc<Running>>>,
    tickets: Mutex<HashMap<u64, Arc<Ticket>>>,
    /// Whether other gates collect from now on.
    is_leaving: AtomicBool,
}

/// What a queue is for: a service, and the availability zone to whose endpoints it keeps, if it does.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct QueueKey {
    service: String,
    zone: Option<String>,
}

/// A queue and the task that empties it.
#[derive(Debug)]
struct Running {
    queue: Mutex<Queue>,
    wake: Notify,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl Running {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Running {
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

    /// Takes the items of a stage; refuses at once what can't be done in time.
    /// With `zone` only endpoints of that availability zone are called while it has any.
    pub(crate) fn submit(
        &self,
        submission: Submission,
        zone: Option<String>,
    ) -> Result<u64, StageFailure> {
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
        for _ in 0..submission.items {
            self.shared.cx.budget.first_try(&service);
        }
        let running = self.running(QueueKey { service, zone });
        let ticket = {
            let mut queue = running.queue();
            queue.declare(&capacity);
            let reachable = self.shared.cx.fleet.reachable();
            let asked = submission.clone();
            let taken = queue.take(submission, &pool, &reachable, now);
            taken.inspect_err(|failure| {
                let endpoints = queue.healthy(&pool, &reachable, now).len();
                asked.tell(failure, asked.left, Some((queue.waiting(), endpoints)));
            })?
        };
        let id = ticket.id;
        self.tickets().insert(id, ticket);
        running.wake.notify_one();
        Ok(id)
    }

    /// Hands over to the gates that collect from now on: stages that have not begun are done there, so
    /// that two gates do not call the same endpoints for longer than the calls in flight last.
    pub(crate) fn hand_over(&self) {
        self.shared.is_leaving.store(true, Ordering::Relaxed);
        let queues: Vec<Arc<Running>> = self.queues().values().cloned().collect();
        for running in queues {
            running.queue().hand_over();
        }
    }

    /// Whether other gates collect from now on.
    pub(crate) fn is_leaving(&self) -> bool {
        self.shared.is_leaving.load(Ordering::Relaxed)
    }

    /// How many endpoints of `service` take new work now, by availability zone.
    pub(crate) fn healthy_by_zone(&self, service: &str) -> BTreeMap<String, usize> {
        self.shared.cx.fleet.healthy_by_zone(service)
    }

    /// Waits for what was taken under `ticket`.
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

    /// Waits until the endpoints have fetched the inputs of what was taken under `ticket`; false where
    /// it is not known here any more.
    pub(crate) async fn inputs_fetched(&self, ticket: u64) -> bool {
        let found = self.tickets().get(&ticket).cloned();
        match found {
            Some(ticket) => {
                let until = ticket.deadline;
                timeout_at(until, ticket.inputs_fetched()).await.is_ok()
            }
            None => false,
        }
    }

    /// Gives up what was taken under `ticket`; results that still come are freed.
    pub(crate) fn cancel(&self, ticket: u64) {
        let Some(ticket) = self.tickets().remove(&ticket) else {
            return;
        };
        let made = ticket.cancel();
        let service = &ticket.submission.service;
        for running in self.queues_of(service) {
            running.queue().forget(&ticket);
        }
        self.free(service, made);
    }

    /// Gives results up.
    pub(crate) fn free(&self, service: &str, handles: Vec<String>) {
        if handles.is_empty() {
            return;
        }
        for running in self.queues_of(service) {
            let is_first = running.queue().free(&handles);
            running.wake.notify_one();
            if is_first {
                let (collector, service) = (self.clone(), service.to_owned());
                tokio::spawn(async move {
                    sleep(FREE_PAUSE).await;
                    collector.send_freed(&service, &running).await;
                });
            }
        }
    }

    async fn send_freed(&self, service: &str, running: &Running) {
        let freed = running.queue().take_freed();
        let cx = &self.shared.cx;
        for (address, handles) in freed {
            let until = Instant::now() + FREE_LIMIT;
            let req = (cx.dialect.write_release)(&handles);
            let sent = crate::call::send(&cx.pool, address, req, until).await;
            // A result whose order was lost expires by itself.
            if let Ok(exchange) = sent {
                let notice = (cx.dialect.notice)(exchange.status, &exchange.headers);
                if let Some(target) = cx.fleet.at(service, address) {
                    cx.fleet.apply_notice(&target, notice, &cx.vm);
                }
                let _ = exchange.read_body(&cx.pool, usize::MAX, until).await;
                let mut queue = running.queue();
                for handle in &handles {
                    queue.release(handle);
                }
            }
        }
        running.wake.notify_one();
    }

    fn tickets(&self) -> MutexGuard<'_, HashMap<u64, Arc<Ticket>>> {
        let tickets = &self.shared.tickets;
        tickets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn queues(&self) -> MutexGuard<'_, HashMap<QueueKey, Arc<Running>>> {
        let queues = &self.shared.queues;
        queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The queues of `service`: more than one only where this gate stood in for others.
    fn queues_of(&self, service: &str) -> Vec<Arc<Running>> {
        let queues = self.queues();
        let of_it = queues.iter().filter(|(key, _)| key.service == service);
        of_it.map(|(_, running)| Arc::clone(running)).collect()
    }

    fn running(&self, key: QueueKey) -> Arc<Running> {
        let mut queues = self.queues();
        if let Some(running) = queues.get(&key) {
            return Arc::clone(running);
        }
        let running = Arc::new(Running {
            queue: Mutex::new(Queue::new(key.zone.clone())),
            wake: Notify::new(),
            task: Mutex::new(None),
        });
        let task = tokio::spawn(empty(
            self.clone(),
            key.service.clone(),
            Arc::clone(&running),
        ));
        *running.task.lock().unwrap_or_else(PoisonError::into_inner) = Some(task);
        queues.insert(key, Arc::clone(&running));
        running
    }
}

/// Makes calls for as long as there are items and endpoints.
async fn empty(collector: Collector, service: String, running: Arc<Running>) {
    loop {
        let pool = collector.shared.cx.fleet.pool(&service);
        let next = match &pool {
            Some(pool) => {
                let reachable = collector.shared.cx.fleet.reachable();
                running.queue().next_call(pool, &reachable, Instant::now())
            }
            None => None,
        };
        match next {
            Some(next) => {
                let metrics = &collector.shared.cx.metrics;
                metrics.crossed(&service, next.crossing_bytes());
                metrics.bounded(&service, next.bound.label());
                tokio::spawn(make(collector.clone(), Arc::clone(&running), next));
            }
            None => wait(&running).await,
        }
    }
}

/// Waits for news; where items wait, also for time that passes.
async fn wait(running: &Running) {
    let has_items = !running.queue().is_empty();
    let news = running.wake.notified();
    match has_items {
        true => drop(timeout_at(Instant::now() + CHECK_EVERY, news).await),
        false => news.await,
    }
}

/// Makes one call and hands its results to their tickets.
async fn make(collector: Collector, running: Arc<Running>, next: NextCall) {
    let cx = &collector.shared.cx;
    let began = Instant::now();
    let mut outcome = called(cx, &next).await;
    let now = Instant::now();
    if matches!(&outcome, BatchOutcome::Answered(results) if running.queue().is_repeated(&next.jobs, results))
    {
        // The connection carries answers of other calls.
        cx.pool.suspect(next.target.address);
        outcome = BatchOutcome::Failed("an earlier answer came again".to_owned());
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
    let took = now.saturating_duration_since(began);
    let is_whole = outcome.failure().is_none();
    cx.metrics
        .batch(&next.target.service, next.jobs.len(), is_whole, took);
    cx.metrics.items_without_result(
        &next.target.service,
        &outcome.items_without_result(next.jobs.len()),
    );
    if let Some(why) = outcome.failure() {
        tell_failed(&next, why, took);
    }
    let unwanted = {
        let mut queue = running.queue();
        queue.record_outcome(&next, took, &outcome, now);
        settle(cx, &mut queue, &next, outcome)
    };
    running.wake.notify_one();
    let service = next.target.service.clone();
    collector.free(&service, unwanted);
}

/// Makes the call; its items' inputs are known to be at the endpoint once it has worked on it for a
/// while.
async fn called(cx: &Context, next: &NextCall) -> BatchOutcome {
    let called = batch::call(cx, next);
    tokio::pin!(called);
    match timeout(FETCH_TIME, &mut called).await {
        Ok(outcome) => return outcome,
        Err(_) if next.begins_at_once => {
            next.jobs
                .iter()
                .for_each(|job| job.ticket.note_fetched(job.item));
        }
        Err(_) => {}
    }
    called.await
}

/// Requests that the queue of a failed call names.
const MAX_NAMED: usize = 12;

/// Writes that a call gave nothing.
fn tell_failed(next: &NextCall, why: &str, took: Duration) {
    let requests = next.jobs.iter().map(|job| &job.ticket.submission.request);
    let mut requests: Vec<String> = requests.cloned().collect();
    requests.sort_unstable();
    requests.dedup();
    requests.truncate(MAX_NAMED);
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

/// Gives each job its result or puts it back; returns handles that nobody wants any more.
fn settle(cx: &Context, queue: &mut Queue, next: &NextCall, outcome: BatchOutcome) -> Vec<String> {
    let mut unwanted = Vec::new();
    let service = &next.target.service;
    let results = match outcome {
        BatchOutcome::Answered(results) => results,
        BatchOutcome::NotRun
        | BatchOutcome::Unsent(_)
        | BatchOutcome::Unreached(_)
        | BatchOutcome::Misplaced => {
            next.jobs.iter().for_each(|job| queue.put_back(job.clone()));
            return unwanted;
        }
        BatchOutcome::Failed(_) => {
            for job in &next.jobs {
                again(cx, queue, service, job.clone(), &StageFailure::Failed);
            }
            return unwanted;
        }
    };
    for (job, result) in next.jobs.iter().zip(results) {
        match result {
            Ok(handle) => {
                let made = StoredResult {
                    handle: handle.clone(),
                    endpoint: next.target.name.clone(),
                    az: next.target.az.clone(),
                };
                if !job.ticket.complete_item(job.item, made) {
                    unwanted.push(handle);
                }
            }
            Err(ItemFailure::Retry) => {
                again(cx, queue, service, job.clone(), &StageFailure::Failed);
            }
            Err(ItemFailure::NoCapacity) => {
                let bytes = job.ticket.submission.result_bytes;
                queue.no_room(&next.target.name, bytes, Instant::now());
                queue.put_back(job.clone());
            }
            Err(ItemFailure::Stage(failure)) => job.ticket.fail(failure),
        }
    }
    unwanted
}

/// Makes an item once more where the budget allows it, and fails its stage otherwise.
fn again(cx: &Context, queue: &mut Queue, service: &str, job: Job, failure: &StageFailure) {
    let may_spend = || {
        let is_there = cx.budget.try_spend(service);
        cx.metrics.retried(service, is_there);
        is_there
    };
    match job.once_more().filter(|_| may_spend()) {
        Some(job) => queue.put_back(job),
        None => job.ticket.fail(failure.clone()),
    }
}
