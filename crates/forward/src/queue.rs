//! Items that wait for the endpoints of one batch pool, and what these endpoints do and hold.

mod call;
mod held;
mod job;
mod zones;

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

pub(crate) use call::{Bound, NextCall};
use declaration::{Batch, Capacity};
use held::{EndpointLoad, HeldResult, ROOM_HALF_LIFE, ROOMLESS};
pub(crate) use job::Job;
use job::Place;
use routing::Decaying;
use tokio::time::Instant;
use zones::Zones;

use crate::{
    fleet::{Pool, ReachableZones, Target},
    messages::{StageFailure, Submission},
    ticket::Ticket,
};

/// By how much later an item of the next urgency has its place.
const URGENCY_STEP_MS: i64 = 600;
/// An endpoint this many times slower than the fastest gets items only where many wait.
const SLOW: f64 = 2.5;
/// Time between looks at which stages can't be done in time any more.
const SHED_EVERY: Duration = Duration::from_millis(50);

/// The queue of one service.
#[derive(Debug)]
pub(crate) struct Queue {
    zone: Option<String>,
    slots: u32,
    batch: Batch,
    start: Instant,
    jobs: BTreeMap<Place, Job>,
    next: u64,
    loads: HashMap<String, EndpointLoad>,
    held: HashMap<String, HeldResult>,
    expiry: VecDeque<(Instant, String)>,
    freed: HashMap<SocketAddr, Vec<String>>,
    /// When it was last looked at which stages can't be done in time any more.
    shed_at: Option<Instant>,
    /// Whether items had no room of late.
    roomless: Decaying,
}

impl Queue {
    /// An empty queue that keeps to the endpoints of `zone`, where that is given and has any.
    pub(crate) fn new(zone: Option<String>) -> Self {
        Self {
            zone,
            slots: 1,
            batch: Batch {
                items: 1,
                call: Duration::ZERO,
                item: Duration::ZERO,
                room_bytes: u64::MAX,
                keep: Duration::ZERO,
            },
            start: Instant::now(),
            jobs: BTreeMap::new(),
            next: 0,
            loads: HashMap::new(),
            held: HashMap::new(),
            expiry: VecDeque::new(),
            freed: HashMap::new(),
            shed_at: None,
            roomless: Decaying::new(ROOM_HALF_LIFE),
        }
    }

    /// Takes what is declared of one endpoint.
    pub(crate) fn declare(&mut self, capacity: &Capacity) {
        self.slots = capacity.slots.unwrap_or(1);
        if let Some(batch) = &capacity.batch {
            self.batch = batch.clone();
        }
    }

    /// Items that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.jobs.len()
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Puts the items of a stage into the queue, unless they can't be done in time.
    pub(crate) fn take(
        &mut self,
        submission: Submission,
        pool: &Pool,
        reachable: &ReachableZones,
        now: Instant,
    ) -> Result<Arc<Ticket>, StageFailure> {
        let healthy = self.healthy(pool, reachable, now).len();
        if healthy == 0 {
            return Err(match pool.paused_until(reachable, now) {
                Some(until) => StageFailure::Paused {
                    retry_after: until.saturating_duration_since(now),
                },
                None => StageFailure::NoEndpoint,
            });
        }
        let due = self.elapsed_ms(now) + submission.due_ms;
        let place = due + i64::from(submission.urgency) * URGENCY_STEP_MS;
        let wait = self.wait(place, healthy);
        let own = self.call_time(submission.items.min(self.batch.items));
        if wait + own > submission.left {
            return Err(StageFailure::Crowded { retry_after: wait });
        }
        let ticket = Arc::new(Ticket::new(submission, now));
        for item in 0..ticket.submission.items {
            let place = (place, self.next);
            self.next += 1;
            let job = Job {
                ticket: Arc::clone(&ticket),
                item,
                tries: 0,
                place,
                due,
                since: now,
            };
            self.jobs.insert(place, job);
        }
        Ok(ticket)
    }

    fn elapsed_ms(&self, now: Instant) -> i64 {
        now.saturating_duration_since(self.start).as_millis() as i64
    }

    /// How long items at `place` wait for `endpoints` until those before them are done.
    fn wait(&self, place: i64, endpoints: usize) -> Duration {
        let ahead = self.jobs.range(..(place, 0)).count();
        let busy: u32 = self.loads.values().map(|load| load.calls).sum();
        let slots = endpoints as u32 * self.slots;
        if ahead == 0 && busy < slots {
            return Duration::ZERO;
        }
        let full = self.call_time(self.batch.items);
        let calls = ahead as f64 / f64::from(self.batch.items) / f64::from(slots);
        full.mul_f64(calls) + full / (2 * slots)
    }

    fn call_time(&self, items: u32) -> Duration {
        self.batch.call + self.batch.item * items
    }

    /// Puts an item back at its place.
    pub(crate) fn put_back(&mut self, job: Job) {
        if !job.ticket.is_over() {
            self.jobs.insert(job.place, job);
        }
    }

    /// Takes the items of `ticket` out.
    pub(crate) fn forget(&mut self, ticket: &Ticket) {
        self.jobs.retain(|_, job| job.ticket.id != ticket.id);
    }

    /// Gives up the stages that have not begun: another gate is to do them.
    pub(crate) fn hand_over(&mut self) {
        let waiting = self.jobs.values().map(|job| &job.ticket);
        let waiting: Vec<Arc<Ticket>> = waiting.filter(|t| !t.has_begun()).cloned().collect();
        self.jobs.retain(|_, job| job.ticket.has_begun());
        for ticket in waiting {
            ticket.fail(StageFailure::Moved);
        }
    }

    /// The call to make now, if an endpoint is free and items wait that may go there.
    pub(crate) fn next_call(
        &mut self,
        pool: &Pool,
        reachable: &ReachableZones,
        now: Instant,
    ) -> Option<NextCall> {
        self.expire(now);
        self.drop_late(now);
        for load in self.loads.values_mut() {
            if load.hidden_until.is_some_and(|until| now >= until) {
                (load.hidden, load.hidden_until) = (0, None);
            }
        }
        let healthy = self.healthy(pool, reachable, now);
        self.shed(healthy.len(), now);
        let zones = self.zones(&healthy);
        let free: Vec<&Arc<Target>> = healthy
            .iter()
            .copied()
            .filter(|t| self.is_free(t, now))
            .collect();
        if free.is_empty() {
            return None;
        }
        let first_due = self.first_due(now);
        let target = self.in_order(first_due).find_map(|(_, job)| {
            let need = job.ticket.submission.result_bytes;
            let fit = free
                .iter()
                .copied()
                .filter(|t| self.room(&t.name) >= need && self.may_go(&zones, job, &t.az, now));
            self.fastest(fit, &healthy, &job.ticket.submission.az, now)
        })?;
        let target = Arc::clone(target);
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
        load.held += bytes;
        let slowness = load.slowness.factor(now).max(1.0);
        let had_room = self.roomless.mean().unwrap_or(0.0) < ROOMLESS;
        Some(NextCall {
            begins_at_once: load.is_prompt && had_room,
            expected: self.call_time(jobs.len() as u32).mul_f64(slowness),
            target,
            jobs,
            bound,
            bytes,
        })
    }

    /// Takes items for a call to `target`: those of its availability zone first, then others that
    /// may go there.
    fn fill(&mut self, target: &Target, zones: &Zones, now: Instant) -> (Vec<Job>, Bound) {
        let (mut room, most) = (self.room(&target.name), self.batch.items as usize);
        let mut taken: Vec<Place> = Vec::new();
        let mut bound = Bound::Items;
        for is_near in [true, false] {
            for (place, job) in self.in_order(self.first_due(now)) {
                let submission = &job.ticket.submission;
                let is_meant = (submission.az == target.az) == is_near
                    && self.may_go(zones, job, &target.az, now);
                match is_meant && taken.len() < most {
                    true if submission.result_bytes > room => bound = Bound::Room,
                    true => {
                        room -= submission.result_bytes;
                        taken.push(*place);
                    }
                    false => {}
                }
            }
        }
        if taken.len() >= most {
            bound = Bound::Batch;
        }
        let jobs = taken.iter().filter_map(|place| self.jobs.remove(place));
        let jobs: Vec<Job> = jobs.collect();
        for job in &jobs {
            job.ticket.begin();
        }
        (jobs, bound)
    }

    fn may_go(&self, zones: &Zones, job: &Job, az: &str, now: Instant) -> bool {
        let full = self.call_time(self.batch.items);
        let spare_ms = job.due - self.elapsed_ms(now) - full.as_millis() as i64;
        zones.may_go(job, az, now, full, spare_ms)
    }

    /// Endpoints that the queue may call now.
    pub(crate) fn healthy<'a>(
        &self,
        pool: &'a Pool,
        reachable: &'a ReachableZones,
        now: Instant,
    ) -> Vec<&'a Arc<Target>> {
        let all: Vec<&Arc<Target>> = pool.healthy(reachable, now).collect();
        let is_near = |t: &&Arc<Target>| self.zone.as_ref().is_none_or(|az| t.az == *az);
        let near: Vec<&Arc<Target>> = all.iter().copied().filter(is_near).collect();
        if near.is_empty() { all } else { near }
    }

    /// When an item is due that can still be made in time if it is called now.
    fn first_due(&self, now: Instant) -> i64 {
        self.elapsed_ms(now) + self.call_time(1).as_millis() as i64
    }

    /// Items that can still be in time, and those of stages that have begun, whose results take up
    /// room until the last one is made, in the order of their places; then the others, which are
    /// worth less.
    fn in_order(&self, first_due: i64) -> impl Iterator<Item = (&Place, &Job)> {
        let is_first = move |job: &Job| job.due >= first_due || job.ticket.has_begun();
        let first = self.jobs.iter().filter(move |(_, job)| is_first(job));
        first.chain(self.jobs.iter().filter(move |(_, job)| !is_first(job)))
    }

    fn is_free(&self, target: &Target, now: Instant) -> bool {
        let load = self.loads.get(&target.name);
        let calls = load.map_or(0, |load| load.calls);
        let is_full = load.is_some_and(|load| load.full_until.is_some_and(|until| now < until));
        calls < self.slots && !is_full
    }

    /// Which availability zones have endpoints, and which have more items than these can take soon.
    fn zones(&self, healthy: &[&Arc<Target>]) -> Zones {
        let mut zones = Zones::default();
        for target in healthy {
            *zones.slots.entry(target.az.clone()).or_default() += self.slots as usize;
        }
        for job in self.jobs.values() {
            *zones
                .items
                .entry(job.ticket.submission.az.clone())
                .or_default() += 1;
        }
        zones.batch = self.batch.items as usize;
        zones
    }

    /// The fastest of `fit`, those of `az` first. One that is much slower than the others is left
    /// alone while these can do the work.
    fn fastest<'a>(
        &self,
        fit: impl Iterator<Item = &'a Arc<Target>>,
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
        let is_backed_up = self.jobs.len() > 2 * slots * self.batch.items as usize;
        let fit = fit.filter(|t| is_backed_up || slowness(t) < best * SLOW);
        let rank = |t: &&Arc<Target>| {
            let zone = if t.az == az { 0.0 } else { 1.0 };
            zone + (slowness(t) / best).min(SLOW)
        };
        fit.min_by(|a, b| rank(a).total_cmp(&rank(b)))
    }

    /// Fails stages that can't be done in time any more.
    fn drop_late(&mut self, now: Instant) {
        let least = self.call_time(1);
        let late: Vec<Place> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.ticket.is_over() || now + least > job.ticket.deadline)
            .map(|(place, _)| *place)
            .collect();
        for place in late {
            if let Some(job) = self.jobs.remove(&place) {
                let retry_after = self.batch.call;
                job.ticket.fail(StageFailure::Late { retry_after });
            }
        }
    }
}

impl Queue {
    /// Fails stages that have not begun and, behind what waits before them, can't be done in time:
    /// what came later and is more urgent has put them back. Their requests may still be served in
    /// another availability zone, or come back, if they hear of it now and not at their deadline.
    fn shed(&mut self, endpoints: usize, now: Instant) {
        let is_early = self.shed_at.is_some_and(|at| now < at + SHED_EVERY);
        if endpoints == 0 || is_early {
            return;
        }
        self.shed_at = Some(now);
        let calls_at_once = (endpoints * self.slots as usize) as f64;
        let full = self.call_time(self.batch.items);
        let an_item = full.div_f64(calls_at_once * f64::from(self.batch.items));
        let (own, mut ahead) = (self.call_time(1), 0_u32);
        let mut hopeless: HashMap<u64, Arc<Ticket>> = HashMap::new();
        for (_, job) in self.in_order(self.first_due(now)) {
            let ticket = &job.ticket;
            let is_in_time = now + an_item * ahead + own <= ticket.deadline;
            if ticket.has_begun() || is_in_time && !hopeless.contains_key(&ticket.id) {
                ahead += 1;
            } else {
                hopeless.insert(ticket.id, Arc::clone(ticket));
            }
        }
        let retry_after = an_item * ahead;
        self.jobs
            .retain(|_, job| !hopeless.contains_key(&job.ticket.id));
        for ticket in hopeless.values() {
            ticket.fail(StageFailure::Crowded { retry_after });
        }
    }
}

#[cfg(test)]
mod tests;
