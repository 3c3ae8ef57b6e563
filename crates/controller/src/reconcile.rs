//! The loop that compares, decides and sends.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use declaration::Service;
use host::shutdown::StopSignal;
use link::{calls::CallsReply, follower::ActiveDeclaration};
use logs::Event;
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, MissedTickBehavior, interval},
};

use crate::{
    authority::Authority,
    book::{Book, Open, Release, Stage},
    calls::Comparisons,
    config::Bounds,
    endpoints::Known,
    lease::LeaseState,
    order::{self, Answer},
    plan::{Difference, World, plan},
};

const EVERY: Duration = Duration::from_millis(200);

/// What the loop knows and remembers.
#[derive(Debug)]
pub(crate) struct Reconciler {
    pub(crate) bounds: Bounds,
    pub(crate) lease: watch::Receiver<LeaseState>,
    pub(crate) declared: watch::Receiver<Option<Arc<ActiveDeclaration>>>,
    pub(crate) known: watch::Receiver<Known>,
    state: Mutex<Working>,
}

/// What changes from turn to turn.
#[derive(Debug, Default)]
pub(crate) struct Working {
    pub(crate) book: Book,
    pub(crate) differences: Vec<Difference>,
    /// What gates tell of calls to versions that are being rolled out.
    pub(crate) comparisons: Comparisons,
    /// Orders answered, by kind of answer: taken, lost, refused, stale, refused by the weight store,
    /// no room.
    pub(crate) answers: [u64; 6],
    fencing: Option<u64>,
    revision: u64,
    in_force_since: Option<Instant>,
}

impl Reconciler {
    pub(crate) fn new(
        bounds: Bounds,
        lease: watch::Receiver<LeaseState>,
        declared: watch::Receiver<Option<Arc<ActiveDeclaration>>>,
        known: watch::Receiver<Known>,
    ) -> Self {
        Self {
            bounds,
            lease,
            declared,
            known,
            state: Mutex::default(),
        }
    }

    pub(crate) fn working(&self) -> MutexGuard<'_, Working> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// The right to give orders, where it is held now.
    pub(crate) fn authority(&self, now: Instant) -> Option<Authority> {
        let authority = self.lease.borrow().authority;
        authority.filter(|authority| !authority.left(now).is_zero())
    }

    /// Runs until the order to stop, and until the orders under way are answered.
    pub(crate) async fn run(self: Arc<Self>, mut stopped: StopSignal) {
        let mut tick = interval(EVERY);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut sending = JoinSet::new();
        while !stopped.is_stopped() {
            tokio::select! {
                () = stopped.wait() => break,
                _ = tick.tick() => {}
            }
            while sending.try_join_next().is_some() {}
            for open in self.turn() {
                sending.spawn(Arc::clone(&self).send(open));
            }
        }
        while sending.join_next().await.is_some() {}
    }

    /// Whether no order is left of which it is not known whether the endpoint has taken it.
    pub(crate) fn is_certain(&self) -> bool {
        let working = self.working();
        working.book.open().values().all(Open::is_certain)
    }

    /// Compares, enters new orders, and returns those that are due.
    fn turn(&self) -> Vec<Open> {
        let now = Instant::now();
        let Some(in_force) = self.declared.borrow().clone() else {
            return Vec::new();
        };
        let known = self.known.borrow();
        let mut working = self.working();
        working.note_revision(in_force.revision, now);
        let since = working.in_force_since.unwrap_or(now);
        let world = World {
            services: &in_force.declaration.services,
            endpoints: &known.endpoints,
            in_force: now.saturating_duration_since(since),
            now,
        };
        let services = &in_force.declaration.services;
        working
            .book
            .keep_failures(|release| is_wanted(services, release));
        if !known.is_settled(now) {
            // What is known is too old, or too new to be whole.
            return Vec::new();
        }
        let Some(authority) = self.authority(now) else {
            working.lose_authority();
            let differences = plan(&world, &working.book, &self.bounds).differences;
            working.note_differences(differences, services);
            return Vec::new();
        };
        working.gain_authority(authority.fencing());
        working.book.review(&known.endpoints, &self.bounds, now);
        let planned = plan(&world, &working.book, &self.bounds);
        working.note_differences(planned.differences, services);
        working.book.drain(planned.drains, now);
        for (service, task) in planned.tasks {
            let attempt = working.book.attempt(&task);
            let order = task.order_id(in_force.revision, attempt);
            working.book.enter(task, order, &service, now);
        }
        let may = |open: &Open| {
            let endpoint = known.endpoints.get(&open.task.endpoint);
            endpoint.is_some_and(|e| authority.window(e.checks_fencing, now).is_some())
        };
        working.book.take_due(now, may)
    }

    /// Takes what gates told about calls to `asked`, and halts rollouts with which attainment fell.
    pub(crate) fn take_calls<'a>(
        &self,
        asked: &[String],
        replies: impl Iterator<Item = (&'a str, CallsReply)>,
    ) {
        let mut working = self.working();
        for (gate, reply) in replies {
            working.comparisons.take(gate, asked, reply);
        }
        for (release, fall) in working.comparisons.look() {
            let (service, version) = (release.service.clone(), release.version);
            let why = format!("{fall}; probability {:.4}", fall.probability);
            let halted = Event::RolloutHalted {
                service,
                version,
                why,
            };
            logs::write(None, &halted);
            working.book.halt(release, fall);
        }
    }

    /// Sends one order within what is left of the lease, and takes its answer.
    async fn send(self: Arc<Self>, open: Open) {
        let endpoint = {
            let known = self.known.borrow();
            known.endpoints.get(&open.task.endpoint).cloned()
        };
        let now = Instant::now();
        let window = match (&endpoint, self.authority(now)) {
            (Some(endpoint), Some(authority)) => authority
                .window(endpoint.checks_fencing, now)
                .map(|left| (endpoint, authority.fencing(), left)),
            _ => None,
        };
        let answer = match window {
            None => Answer::Lost("the lease ended before it was sent".to_owned()),
            Some((endpoint, fencing, left)) => {
                let until = now + left.min(self.bounds.order);
                let order = open.order;
                order::send(&endpoint.address, &open.task, order, fencing, until).await
            }
        };
        let mut working = self.working();
        // The answer to a repeat tells only of an order that came to an end.
        let is_repeat = open.stage == Stage::Taken;
        if !is_repeat || !matches!(answer, Answer::Taken | Answer::Lost(_) | Answer::Stale(_)) {
            working.count(&open, &answer);
        }
        working.book.answered(open.order, answer, Instant::now());
    }
}

impl Working {
    fn note_revision(&mut self, revision: u64, now: Instant) {
        if self.in_force_since.is_none() || revision != self.revision {
            self.revision = revision;
            self.in_force_since = Some(now);
        }
    }

    /// Keeps what differs; a service of which an endpoint differs is being rolled out.
    fn note_differences(
        &mut self,
        differences: Vec<Difference>,
        services: &BTreeMap<String, Service>,
    ) {
        let differing = differences.iter().filter(|d| !d.endpoint.is_empty());
        let rolling = differing.filter_map(|d| release(&d.service, services.get(&d.service)?));
        let rolling = rolling.map(|release| (release.service.clone(), release));
        self.comparisons.roll(rolling.collect());
        self.differences = differences;
    }

    fn lose_authority(&mut self) {
        if self.fencing.take().is_some() {
            self.book.drain(Vec::new(), Instant::now());
            self.book.forget();
        }
    }

    fn gain_authority(&mut self, fencing: u64) {
        if self.fencing.replace(fencing) != Some(fencing) {
            self.book.forget();
        }
    }

    fn count(&mut self, open: &Open, answer: &Answer) {
        let (kind, why) = match answer {
            Answer::Taken => (0, None),
            Answer::Lost(why) => (1, Some(why)),
            Answer::Refused(why) => (2, Some(why)),
            Answer::Stale(why) => (3, Some(why)),
            Answer::StoreRefused(why) => (4, Some(why)),
            Answer::NoRoom(why) => (5, Some(why)),
        };
        self.answers[kind] += 1;
        let answered = Event::Order {
            order: open.order.to_string(),
            endpoint: open.task.endpoint.clone(),
            action: open.task.action.name().to_owned(),
            version: open.task.version,
            why: why.cloned(),
        };
        logs::write(None, &answered);
    }
}

/// The version of `service` that is declared.
fn release(name: &str, service: &Service) -> Option<Release> {
    Some(Release {
        service: name.to_owned(),
        model: service.model.clone()?,
        version: service.version?,
    })
}

fn is_wanted(services: &BTreeMap<String, Service>, failed: &Release) -> bool {
    let service = services.get(&failed.service);
    service.is_some_and(|s| release(&failed.service, s).as_ref() == Some(failed))
}
