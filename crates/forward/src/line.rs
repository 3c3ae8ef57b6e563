//! Items that wait for the endpoints of one batch pool, and what these endpoints have in hand.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use declaration::{Batch, Capacity};
use tokio::time::Instant;

use crate::{
    ended::{Ended, ItemFailure},
    fleet::{Pool, Reachable, Target},
    messages::{StageFailure, Submission},
    pace::Slowness,
    ticket::Ticket,
};

/// By how much later an item of the next urgency has its place.
const URGENCY_STEP_MS: i64 = 600;
/// Tries of one item.
const MAX_TRIES: u8 = 3;
/// An endpoint this many times slower than the fastest gets items only where many wait.
const SLOW: f64 = 2.5;
/// Bytes that cross zones for which items wait half a call.
const HEAVY_BYTES: f64 = 2e6;
/// Time beyond which a result that was not given up is gone for certain.
const KEEP_MARGIN: Duration = Duration::from_millis(250);
/// How long an endpoint is thought to keep more than was counted, at first and at most.
const HIDDEN: Duration = Duration::from_millis(120);
const MAX_HIDDEN: Duration = Duration::from_millis(960);
/// Time between looks at which stages can't be done in time any more.
const SHED_EVERY: Duration = Duration::from_millis(50);
/// Pause before a call to an endpoint that had room for no result of the last one, unless a result
/// is given up there before.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(25);

/// Place in the line: when it is due, later the less urgent it is, in milliseconds since the line's
/// start; then age.
type Place = (i64, u64);

/// One item that waits.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) ticket: Arc<Ticket>,
    pub(crate) item: u32,
    tries: u8,
    place: Place,
    /// When it is due, in milliseconds since the line's start.
    due: i64,
    since: Instant,
}

impl Job {
    /// The same item for another try; `None` after too many.
    pub(crate) fn once_more(&self) -> Option<Self> {
        let tries = self.tries + 1;
        (tries < MAX_TRIES).then(|| Self {
            tries,
            ..self.clone()
        })
    }
}

/// What keeps a call from holding more items.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Bound {
    /// It is full.
    Batch,
    /// The endpoint has no room for more results.
    Room,
    /// No more items wait that may go there.
    Items,
}

impl Bound {
    /// Its name in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Batch => "batch",
            Self::Room => "room",
            Self::Items => "items",
        }
    }
}

/// A call that can be made now.
#[derive(Debug)]
pub(crate) struct NextCall {
    pub(crate) target: Arc<Target>,
    pub(crate) jobs: Vec<Job>,
    pub(crate) expected: Duration,
    pub(crate) bound: Bound,
    bytes: u64,
}

impl NextCall {
    /// Bytes of inputs that its items fetch from other availability zones, about.
    pub(crate) fn crossing_bytes(&self) -> u64 {
        let submissions = self.jobs.iter().map(|job| &job.ticket.submission);
        let apart = submissions.filter(|s| !s.inputs.is_empty() && s.az != self.target.az);
        let each = apart.map(|s| s.crossing_bytes / u64::from(s.items.max(1)));
        each.sum()
    }
}

/// What one endpoint has in hand.
#[derive(Debug)]
struct Hand {
    calls: u32,
    /// Bytes of results that it keeps, those of calls in flight included.
    held: u64,
    slowness: Slowness,
    /// Bytes that it keeps beyond this count, and until when that is believed.
    hidden: u64,
    hidden_until: Option<Instant>,
    /// For how long it is believed the next time.
    hidden_for: Duration,
    /// Until when it gets no call, since it had room for no result of the last one.
    full_until: Option<Instant>,
}

impl Hand {
    fn new() -> Self {
        Self {
            calls: 0,
            held: 0,
            slowness: Slowness::new(),
            hidden: 0,
            hidden_until: None,
            hidden_for: HIDDEN,
            full_until: None,
        }
    }
}

#[derive(Clone, Debug)]
struct Kept {
    endpoint: String,
    address: SocketAddr,
    bytes: u64,
    /// Whether it takes up no room any more; it is remembered to know a late copy of its answer.
    is_released: bool,
}

/// Endpoints and waiting items by availability zone.
#[derive(Debug, Default)]
struct Zones {
    lanes: HashMap<String, usize>,
    items: HashMap<String, usize>,
    batch: usize,
}

impl Zones {
    /// Whether `job` may go to an endpoint of `az`: bytes that cross zones cost, so it waits for one
    /// of its own zone, the longer the more bytes they are, for up to a `full` call, while these
    /// aren't backed up and it can still be in time, `spare_ms` after such a call.
    fn may_go(&self, job: &Job, az: &str, now: Instant, full: Duration, spare_ms: i64) -> bool {
        let submission = &job.ticket.submission;
        let own = &submission.az;
        let lanes = self.lanes.get(own).copied().unwrap_or(0);
        let items = self.items.get(own).copied().unwrap_or(0);
        let weight = submission.crossing_bytes as f64 / HEAVY_BYTES;
        own == az
            || lanes == 0
            || items > lanes * self.batch
            || spare_ms <= 0
            || now.saturating_duration_since(job.since) >= full.mul_f64(weight.min(1.0))
    }
}

/// The line of one service.
#[derive(Debug)]
pub(crate) struct Line {
    apart: Option<String>,
    slots: u32,
    batch: Batch,
    start: Instant,
    jobs: BTreeMap<Place, Job>,
    next: u64,
    hands: HashMap<String, Hand>,
    kept: HashMap<String, Kept>,
    expiry: VecDeque<(Instant, String)>,
    freed: HashMap<SocketAddr, Vec<String>>,
    /// When it was last looked at which stages can't be done in time any more.
    shed_at: Option<Instant>,
}

impl Line {
    /// An empty line that keeps to the endpoints of `apart`, where that is given and has any.
    pub(crate) fn new(apart: Option<String>) -> Self {
        Self {
            apart,
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
            hands: HashMap::new(),
            kept: HashMap::new(),
            expiry: VecDeque::new(),
            freed: HashMap::new(),
            shed_at: None,
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

    /// Puts the items of a stage into the line, unless they can't be done in time.
    pub(crate) fn take(
        &mut self,
        submission: Submission,
        pool: &Pool,
        reachable: &Reachable,
        now: Instant,
    ) -> Result<Arc<Ticket>, StageFailure> {
        let sound = self.sound(pool, reachable, now).len();
        if sound == 0 {
            return Err(StageFailure::NoEndpoint);
        }
        let due = self.elapsed_ms(now) + submission.due_ms;
        let place = due + i64::from(submission.urgency) * URGENCY_STEP_MS;
        let wait = self.wait(place, sound);
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
        let busy: u32 = self.hands.values().map(|hand| hand.calls).sum();
        let lanes = endpoints as u32 * self.slots;
        if ahead == 0 && busy < lanes {
            return Duration::ZERO;
        }
        let full = self.call_time(self.batch.items);
        let calls = ahead as f64 / f64::from(self.batch.items) / f64::from(lanes);
        full.mul_f64(calls) + full / (2 * lanes)
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

    /// The call to make now, if an endpoint is free and items wait that may go there.
    pub(crate) fn next_call(
        &mut self,
        pool: &Pool,
        reachable: &Reachable,
        now: Instant,
    ) -> Option<NextCall> {
        self.expire(now);
        self.drop_late(now);
        for hand in self.hands.values_mut() {
            if hand.hidden_until.is_some_and(|until| now >= until) {
                (hand.hidden, hand.hidden_until) = (0, None);
            }
        }
        let sound = self.sound(pool, reachable, now);
        self.shed(sound.len(), now);
        let zones = self.zones(&sound);
        let free: Vec<&Arc<Target>> = sound
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
            self.fastest(fit, &sound, &job.ticket.submission.az, now)
        })?;
        let target = Arc::clone(target);
        let (jobs, bound) = self.fill(&target, &zones, now);
        let bytes = jobs
            .iter()
            .map(|job| job.ticket.submission.result_bytes)
            .sum();
        let hand = self
            .hands
            .entry(target.name.clone())
            .or_insert_with(Hand::new);
        hand.calls += 1;
        hand.held += bytes;
        let slowness = hand.slowness.factor(now).max(1.0);
        Some(NextCall {
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

    /// Endpoints that the line may call now.
    pub(crate) fn sound<'a>(
        &self,
        pool: &'a Pool,
        reachable: &'a Reachable,
        now: Instant,
    ) -> Vec<&'a Arc<Target>> {
        let all: Vec<&Arc<Target>> = pool.sound(reachable, now).collect();
        let is_near = |t: &&Arc<Target>| self.apart.as_ref().is_none_or(|az| t.az == *az);
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
        let hand = self.hands.get(&target.name);
        let calls = hand.map_or(0, |hand| hand.calls);
        let is_full = hand.is_some_and(|hand| hand.full_until.is_some_and(|until| now < until));
        calls < self.slots && !is_full
    }

    /// Which availability zones have endpoints, and which have more items than these can take soon.
    fn zones(&self, sound: &[&Arc<Target>]) -> Zones {
        let mut zones = Zones::default();
        for target in sound {
            *zones.lanes.entry(target.az.clone()).or_default() += self.slots as usize;
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
        sound: &[&Arc<Target>],
        az: &str,
        now: Instant,
    ) -> Option<&'a Arc<Target>> {
        let slowness = |t: &Target| {
            let hand = self.hands.get(&t.name);
            hand.map_or(1.0, |hand| hand.slowness.factor(now))
        };
        let best = sound.iter().map(|t| slowness(t)).fold(f64::MAX, f64::min);
        let lanes = sound.len() * self.slots as usize;
        let is_backed_up = self.jobs.len() > 2 * lanes * self.batch.items as usize;
        let fit = fit.filter(|t| is_backed_up || slowness(t) < best * SLOW);
        let rank = |t: &&Arc<Target>| {
            let zone = if t.az == az { 0.0 } else { 1.0 };
            zone + (slowness(t) / best).min(SLOW)
        };
        fit.min_by(|a, b| rank(a).total_cmp(&rank(b)))
    }

    fn room(&self, endpoint: &str) -> u64 {
        let hand = self.hands.get(endpoint);
        let held = hand.map_or(0, |hand| hand.held + hand.hidden);
        self.batch.room_bytes.saturating_sub(held)
    }

    /// Notes how a call ended.
    pub(crate) fn ended(&mut self, next: &NextCall, took: Duration, ended: &Ended, now: Instant) {
        let expected = self.call_time(next.jobs.len() as u32).as_secs_f64() * 1e3;
        let name = &next.target.name;
        let hand = self.hands.entry(name.clone()).or_insert_with(Hand::new);
        hand.calls = hand.calls.saturating_sub(1);
        hand.held = hand.held.saturating_sub(next.bytes);
        let results = match ended {
            Ended::Answered(results) => results,
            Ended::Failed(_) => {
                hand.slowness
                    .observe(expected, took.as_secs_f64() * 1e3, now);
                return;
            }
            Ended::NotRun | Ended::Unsent(_) | Ended::Misplaced => return,
        };
        hand.slowness
            .observe(expected, took.as_secs_f64() * 1e3, now);
        // Calls of another gate that collects as well may fill the endpoint for longer.
        hand.hidden_for = match results.contains(&Err(ItemFailure::NoRoom)) {
            true => (hand.hidden_for * 2).min(MAX_HIDDEN),
            false => HIDDEN,
        };
        let has_any = results.iter().any(|r| *r != Err(ItemFailure::NoRoom));
        hand.full_until = (!has_any).then(|| now + NO_ROOM_PAUSE);
        for (job, handle) in next.jobs.iter().zip(results) {
            let Ok(handle) = handle else { continue };
            let bytes = job.ticket.submission.result_bytes;
            hand.held += bytes;
            let kept = Kept {
                endpoint: name.clone(),
                address: next.target.address,
                bytes,
                is_released: false,
            };
            self.kept.insert(handle.clone(), kept);
            self.expiry
                .push_back((now + self.batch.keep + KEEP_MARGIN, handle.clone()));
        }
    }

    /// Gives results up; whether an order to do so has yet to be sent. They take up room until
    /// their endpoint has the order.
    pub(crate) fn free(&mut self, handles: &[String]) -> bool {
        let is_first = self.freed.is_empty();
        for handle in handles {
            if let Some(kept) = self.kept.get(handle).filter(|kept| !kept.is_released) {
                let freed = self.freed.entry(kept.address).or_default();
                freed.push(handle.clone());
            }
        }
        is_first && !self.freed.is_empty()
    }

    /// What was given up since the last order, by address.
    pub(crate) fn take_freed(&mut self) -> HashMap<SocketAddr, Vec<String>> {
        std::mem::take(&mut self.freed)
    }

    /// The endpoint had no room for a result although some was left by this count: what else it
    /// keeps is taken to go soon.
    pub(crate) fn no_room(&mut self, endpoint: &str, bytes: u64, now: Instant) {
        if let Some(hand) = self.hands.get_mut(endpoint) {
            hand.hidden += bytes;
            hand.hidden_until = Some(now + hand.hidden_for);
        }
    }

    /// Whether `results` are a copy of an earlier answer: every result in it was in one before. An
    /// answer to a batched call names no request by which a late copy of another one would show.
    pub(crate) fn is_repeated(&self, results: &[Result<String, ItemFailure>]) -> bool {
        let mut made = results.iter().flatten().peekable();
        made.peek().is_some() && made.all(|handle| self.kept.contains_key(handle))
    }

    /// A result takes up no room any more.
    pub(crate) fn release(&mut self, handle: &str) {
        let Some(kept) = self.kept.get_mut(handle).filter(|kept| !kept.is_released) else {
            return;
        };
        kept.is_released = true;
        if let Some(hand) = self.hands.get_mut(&kept.endpoint) {
            hand.held = hand.held.saturating_sub(kept.bytes);
            hand.full_until = None;
        }
    }

    fn expire(&mut self, now: Instant) {
        while self.expiry.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, handle)) = self.expiry.pop_front() {
                self.release(&handle);
                self.kept.remove(&handle);
            }
        }
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

impl Line {
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
