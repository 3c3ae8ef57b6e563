//! Queue of items for the endpoints of one batch pool, and the load of these endpoints.

mod call;
mod endpoint_load;
mod forecast;
mod job;
mod order;
mod zone_load;

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

pub(crate) use call::{Bound, NextCall, NextStep};
use call_permits::{CallPermission, MIN_RATE};
use declaration::{BatchCapacity, Capacity};
use endpoint_load::{CAPACITY_MISS_HALF_LIFE, EndpointLoad, HeldResult, MAX_CAPACITY_MISS_SHARE};
pub(crate) use job::Job;
use job::QueuePosition;
use routing::{DecayingMean, fair_share::FairShare, stage_admission::Announced};
use tokio::time::Instant;
use zone_load::ZoneLoad;

use crate::{
    availability::UnavailableReason,
    fleet::{Pool, ReachableZones, Target},
    messages::{StageFailure, Submission},
    ticket::Ticket,
};

/// By how much a step of urgency delays the position of an item.
const URGENCY_STEP_MS: i64 = 600;
/// An endpoint that is slower than the fastest one by this factor gets items only if there is a
/// backlog.
const SLOW_FACTOR: f64 = 2.5;
/// Time between checks for stages that can no longer complete in time.
const SHED_INTERVAL: Duration = Duration::from_millis(50);

/// The queue of one service.
#[derive(Debug)]
pub(crate) struct Queue {
    zone: Option<String>,
    slots: u32,
    batch: BatchCapacity,
    start: Instant,
    jobs: BTreeMap<QueuePosition, Job>,
    next_seq: u64,
    loads: HashMap<String, EndpointLoad>,
    held_results: HashMap<String, HeldResult>,
    expiry: VecDeque<(Instant, String)>,
    releases: HashMap<SocketAddr, Vec<String>>,
    /// Handles whose release waits for a permit.
    deferred_releases: HashMap<SocketAddr, Vec<String>>,
    /// When the last check for stages that can no longer complete in time took place.
    shed_at: Option<Instant>,
    /// Recent share of items that found no free space.
    capacity_misses: DecayingMean,
    /// Items of stages that were forecast and are not submitted yet.
    announced: Announced,
    /// Shares of workspaces and kinds of requests, if these decide who is refused.
    shares: Option<FairShare>,
}

impl Queue {
    /// Creates an empty queue. With `zone`, only endpoints of that zone are used while it has any.
    pub(crate) fn new(zone: Option<String>) -> Self {
        Self {
            zone,
            slots: 1,
            batch: BatchCapacity {
                max_items: 1,
                call_overhead: Duration::ZERO,
                item_duration: Duration::ZERO,
                result_capacity_bytes: u64::MAX,
                result_retention: Duration::ZERO,
            },
            start: Instant::now(),
            jobs: BTreeMap::new(),
            next_seq: 0,
            loads: HashMap::new(),
            held_results: HashMap::new(),
            expiry: VecDeque::new(),
            releases: HashMap::new(),
            deferred_releases: HashMap::new(),
            shed_at: None,
            capacity_misses: DecayingMean::new(CAPACITY_MISS_HALF_LIFE),
            announced: Announced::default(),
            shares: None,
        }
    }

    /// Applies the declared capacity of one endpoint.
    pub(crate) fn set_capacity(&mut self, capacity: &Capacity) {
        self.slots = capacity.slots.unwrap_or(1);
        if let Some(batch) = &capacity.batch {
            self.batch = batch.clone();
        }
    }

    /// Number of waiting items.
    pub(crate) fn waiting(&self) -> usize {
        self.jobs.len()
    }

    /// Returns true if no items are waiting.
    pub(crate) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Enqueues the items of a stage, unless they can't be completed in time.
    pub(crate) fn enqueue(
        &mut self,
        submission: Submission,
        pool: &Pool,
        reachable: &ReachableZones,
        now: Instant,
    ) -> Result<Arc<Ticket>, StageFailure> {
        let submission = submission.bounded();
        let slots = self.usable_slots(&self.healthy(pool, reachable, now));
        if slots <= 0.0 {
            return Err(unavailable(pool, reachable, now));
        }
        self.remove_announcement(&submission);
        let (due, position) = self.position(&submission, now);
        let ahead = self.ahead_of(&submission, position, None, now);
        let wait = self.expected_wait(ahead, slots);
        let stage_time = self.stage_time(submission.items, slots);
        if wait.saturating_add(stage_time) > submission.remaining {
            return Err(StageFailure::Crowded { retry_after: wait });
        }
        self.activate_flow(submission.flow());
        let mut ticket = Ticket::new(submission, now);
        ticket.expected_wait = wait;
        let ticket = Arc::new(ticket);
        for item in 0..ticket.submission.items {
            let position = (position, self.next_seq);
            self.next_seq += 1;
            let job = Job {
                ticket: Arc::clone(&ticket),
                item,
                tries: 0,
                position,
                due,
                since: now,
            };
            self.jobs.insert(position, job);
        }
        Ok(ticket)
    }

    fn elapsed_ms(&self, now: Instant) -> i64 {
        now.saturating_duration_since(self.start).as_millis() as i64
    }

    /// Returns the due time of the items and their position, in milliseconds since the queue was
    /// created.
    fn position(&self, submission: &Submission, now: Instant) -> (i64, i64) {
        let due = self.elapsed_ms(now) + submission.due_ms;
        let position = due + i64::from(submission.urgency) * URGENCY_STEP_MS;
        (due, position)
    }

    /// Estimates how long items wait with this number of usable `slots` until the items `ahead` of
    /// them are completed.
    fn expected_wait(&self, ahead: usize, slots: f64) -> Duration {
        let busy: u32 = self.loads.values().map(|load| load.calls).sum();
        if ahead == 0 && f64::from(busy) < slots {
            return Duration::ZERO;
        }
        let full = self.call_time(self.batch.max_items).as_secs_f64();
        let calls = ahead as f64 / f64::from(self.batch.max_items) / slots;
        let wait = full * calls + full / (2.0 * slots);
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }

    /// Returns the number of slots of `endpoints` that full calls can use. An endpoint that names a
    /// request rate uses a slot only for the duration of the calls that its rate allows.
    fn usable_slots(&self, endpoints: &[&Arc<Target>]) -> f64 {
        let full = self.call_time(self.batch.max_items).as_secs_f64();
        let now = Instant::now();
        let usable = endpoints.iter().map(|target| {
            let limit = target.stats().permits.limit(now);
            let slots = f64::from(self.slots);
            limit.map_or(slots, |per_second| {
                slots.min(per_second.max(MIN_RATE) * full)
            })
        });
        usable.sum()
    }

    /// Least time for a stage of `items` with this number of usable `slots`.
    fn stage_time(&self, items: u32, slots: f64) -> Duration {
        let calls = items.div_ceil(self.batch.max_items.max(1));
        let rounds = (f64::from(calls) / slots.max(1.0)).ceil() as u32;
        match rounds {
            0 | 1 => self.call_time(items.min(self.batch.max_items)),
            rounds => self.call_time(self.batch.max_items).saturating_mul(rounds),
        }
    }

    fn call_time(&self, items: u32) -> Duration {
        self.batch.call_overhead + self.batch.item_duration * items
    }

    /// Puts an item back at its position, unless its ticket is closed.
    pub(crate) fn requeue(&mut self, job: Job) {
        if !job.ticket.is_closed() {
            self.jobs.insert(job.position, job);
        }
    }

    /// Removes the items of `ticket`.
    pub(crate) fn remove_stage(&mut self, ticket: &Ticket) {
        self.jobs.retain(|_, job| job.ticket.id != ticket.id);
    }

    /// Fails stages that have not started, so that another gate collects them.
    pub(crate) fn hand_over(&mut self) {
        let waiting = self.jobs.values().map(|job| &job.ticket);
        let waiting: Vec<Arc<Ticket>> = waiting.filter(|t| !t.has_started()).cloned().collect();
        self.jobs.retain(|_, job| job.ticket.has_started());
        for ticket in waiting {
            ticket.fail(StageFailure::Moved);
        }
    }

    /// Returns the next call to send, if an endpoint is free and items are waiting that may run
    /// there, or the endpoint for which it needs a permit.
    pub(crate) fn next_step(
        &mut self,
        pool: &Pool,
        reachable: &ReachableZones,
        now: Instant,
    ) -> NextStep {
        self.expire(now);
        self.fail_late(now);
        for load in self.loads.values_mut() {
            if load.untracked_until.is_some_and(|until| now >= until) {
                (load.untracked_bytes, load.untracked_until) = (0, None);
            }
        }
        let healthy = self.healthy(pool, reachable, now);
        self.shed(self.usable_slots(&healthy), now);
        let zones = self.zones(&healthy);
        let free: Vec<&Arc<Target>> = healthy
            .iter()
            .copied()
            .filter(|t| self.is_free(t, now))
            .collect();
        if free.is_empty() {
            return NextStep::Wait;
        }
        let first_due = self.first_due(now);
        let chosen = self.in_order(first_due).find_map(|(_, job)| {
            let need = job.ticket.submission.result_bytes;
            let candidates = free.iter().copied().filter(|t| {
                self.free_bytes(&t.name) >= need && self.may_run_in(&zones, job, &t.az, now)
            });
            self.fastest(candidates, &healthy, &job.ticket.submission.az, now)
        });
        let Some(target) = chosen.map(Arc::clone) else {
            return NextStep::Wait;
        };
        if target.try_take_permit(now) != CallPermission::Granted {
            return NextStep::RequestPermit(target);
        }
        let (jobs, bound) = self.fill(&target, &zones, now);
        let bytes = jobs
            .iter()
            .map(|job| job.ticket.submission.result_bytes)
            .sum();
        let load = self
            .loads
            .entry(target.name.clone())
            .or_insert_with(EndpointLoad::new);
        load.calls += 1;
        load.held_bytes += bytes;
        let slowness = load.slowness.factor(now).max(1.0);
        let had_capacity = self.capacity_misses.mean().unwrap_or(0.0) < MAX_CAPACITY_MISS_SHARE;
        NextStep::Call(NextCall {
            starts_at_once: load.starts_promptly && had_capacity,
            expected: self.call_time(jobs.len() as u32).mul_f64(slowness),
            target,
            jobs,
            bound,
            bytes,
        })
    }

    /// Takes items for a call to `target`: first those of its availability zone, then others that
    /// may run there.
    fn fill(&mut self, target: &Target, zones: &ZoneLoad, now: Instant) -> (Vec<Job>, Bound) {
        let (mut free_bytes, max_items) =
            (self.free_bytes(&target.name), self.batch.max_items as usize);
        let mut chosen: Vec<QueuePosition> = Vec::new();
        let mut bound = Bound::Items;
        for is_local in [true, false] {
            for (position, job) in self.in_order(self.first_due(now)) {
                let submission = &job.ticket.submission;
                let is_meant = (submission.az == target.az) == is_local
                    && self.may_run_in(zones, job, &target.az, now);
                match is_meant && chosen.len() < max_items {
                    true if submission.result_bytes > free_bytes => bound = Bound::Room,
                    true => {
                        free_bytes -= submission.result_bytes;
                        chosen.push(*position);
                    }
                    false => {}
                }
            }
        }
        if chosen.len() >= max_items {
            bound = Bound::Batch;
        }
        let jobs = chosen
            .iter()
            .filter_map(|position| self.jobs.remove(position));
        let jobs: Vec<Job> = jobs.collect();
        self.record_shares(&jobs);
        for job in &jobs {
            job.ticket.mark_started();
        }
        (jobs, bound)
    }

    fn may_run_in(&self, zones: &ZoneLoad, job: &Job, az: &str, now: Instant) -> bool {
        let full = self.call_time(self.batch.max_items);
        let spare_ms = job.due - self.elapsed_ms(now) - full.as_millis() as i64;
        zones.may_run_in(job, az, now, full, spare_ms)
    }

    /// Returns the endpoints that the queue may call, including those whose request rate is used up
    /// at the moment.
    pub(crate) fn healthy<'a>(
        &self,
        pool: &'a Pool,
        reachable: &'a ReachableZones,
        now: Instant,
    ) -> Vec<&'a Arc<Target>> {
        let takes_work = |t: &&Arc<Target>| {
            let reason = t.unavailable_reason(reachable, now);
            matches!(reason, None | Some(UnavailableReason::Limited(_)))
        };
        let all: Vec<&Arc<Target>> = pool.targets.iter().filter(takes_work).collect();
        let is_local = |t: &&Arc<Target>| self.zone.as_ref().is_none_or(|az| t.az == *az);
        let local: Vec<&Arc<Target>> = all.iter().copied().filter(is_local).collect();
        if local.is_empty() { all } else { local }
    }

    /// Returns the earliest due time that an item can still meet if it is called now.
    fn first_due(&self, now: Instant) -> i64 {
        self.elapsed_ms(now) + self.call_time(1).as_millis() as i64
    }

    fn is_free(&self, target: &Target, now: Instant) -> bool {
        let load = self.loads.get(&target.name);
        let calls = load.map_or(0, |load| load.calls);
        let is_full = load.is_some_and(|load| load.full_until.is_some_and(|until| now < until));
        let stats = target.stats();
        let is_permitted =
            stats.permits.refused_until(now).is_none() && !stats.permits.is_pending(now);
        calls < self.slots && !is_full && is_permitted
    }

    /// Counts slots and waiting items by availability zone.
    fn zones(&self, healthy: &[&Arc<Target>]) -> ZoneLoad {
        let mut zones = ZoneLoad::default();
        for target in healthy {
            *zones.slots.entry(target.az.clone()).or_default() += self.slots as usize;
        }
        for job in self.jobs.values() {
            *zones
                .items
                .entry(job.ticket.submission.az.clone())
                .or_default() += 1;
        }
        zones.batch = self.batch.max_items as usize;
        zones
    }

    /// Returns the fastest of `candidates`, preferring those in `az`. Much slower endpoints are
    /// excluded unless there is a backlog.
    fn fastest<'a>(
        &self,
        candidates: impl Iterator<Item = &'a Arc<Target>>,
        healthy: &[&Arc<Target>],
        az: &str,
        now: Instant,
    ) -> Option<&'a Arc<Target>> {
        let slowness = |t: &Target| {
            let load = self.loads.get(&t.name);
            load.map_or(1.0, |load| load.slowness.factor(now))
        };
        let best = healthy.iter().map(|t| slowness(t)).fold(f64::MAX, f64::min);
        let slots = healthy.len() * self.slots as usize;
        let is_backed_up = self.jobs.len() > 2 * slots * self.batch.max_items as usize;
        let candidates = candidates.filter(|t| is_backed_up || slowness(t) < best * SLOW_FACTOR);
        let rank = |t: &&Arc<Target>| {
            let zone = if t.az == az { 0.0 } else { 1.0 };
            zone + (slowness(t) / best).min(SLOW_FACTOR)
        };
        candidates.min_by(|a, b| rank(a).total_cmp(&rank(b)))
    }

    /// Fails stages that can no longer complete in time.
    fn fail_late(&mut self, now: Instant) {
        let least = self.call_time(1);
        let late: Vec<QueuePosition> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.ticket.is_closed() || now + least > job.ticket.deadline)
            .map(|(position, _)| *position)
            .collect();
        for position in late {
            if let Some(job) = self.jobs.remove(&position) {
                let retry_after = self.batch.call_overhead;
                job.ticket.fail(StageFailure::Late { retry_after });
            }
        }
    }
}

/// Returns why no endpoint of `pool` takes work.
fn unavailable(pool: &Pool, reachable: &ReachableZones, now: Instant) -> StageFailure {
    let resuming = pool.first_to_resume(reachable, now);
    let until = resuming.and_then(UnavailableReason::until);
    let retry_after = until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
    match resuming {
        Some(UnavailableReason::Paused(_)) => StageFailure::Paused { retry_after },
        Some(_) => StageFailure::Limited { retry_after },
        None if pool.is_evacuated(reachable, now) => StageFailure::Evacuated,
        None => StageFailure::NoEndpoint,
    }
}

impl Queue {
    /// Fails stages that have not started and can no longer complete in time because more urgent
    /// items arrived later and moved ahead of them. If their requests learn of it now and not at
    /// their deadline, they may still be served in another availability zone or retry.
    fn shed(&mut self, slots: f64, now: Instant) {
        let is_early = self.shed_at.is_some_and(|at| now < at + SHED_INTERVAL);
        if slots <= 0.0 || is_early {
            return;
        }
        self.shed_at = Some(now);
        let full = self.call_time(self.batch.max_items);
        let time_per_item = full.div_f64(slots * f64::from(self.batch.max_items));
        let (call_time, mut ahead) = (self.call_time(1), 0_u32);
        let mut late: HashMap<u64, Arc<Ticket>> = HashMap::new();
        for (_, job) in self.in_order(self.first_due(now)) {
            let ticket = &job.ticket;
            let is_in_time = now + time_per_item * ahead + call_time <= ticket.deadline;
            if ticket.has_started() || is_in_time && !late.contains_key(&ticket.id) {
                ahead += 1;
            } else {
                late.insert(ticket.id, Arc::clone(ticket));
            }
        }
        let retry_after = time_per_item * ahead;
        self.jobs
            .retain(|_, job| !late.contains_key(&job.ticket.id));
        for ticket in late.values() {
            ticket.fail(StageFailure::Crowded { retry_after });
        }
    }
}

#[cfg(test)]
mod tests;
