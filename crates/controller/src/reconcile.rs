//! The loop that compares, decides and sends.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use declaration::Service;
use host::shutdown::Stopped;
use link::{calls::CallsReply, follower::ActiveDeclaration};
use logs::Event;
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, MissedTickBehavior, interval},
};

use crate::{
    authority::Authority,
    comparison::RolloutComparisons,
    config::Limits,
    endpoints::EndpointSnapshot,
    lease::LeaseState,
    order::{self, OrderReply},
    plan::{Difference, PlanInput, plan},
    tracker::{OpenOrder, OrderState, OrderTracker, Release},
};

const EVERY: Duration = Duration::from_millis(200);

/// What the loop knows and remembers.
#[derive(Debug)]
pub(crate) struct Reconciler {
    pub(crate) limits: Limits,
    pub(crate) lease: watch::Receiver<LeaseState>,
    pub(crate) declared: watch::Receiver<Option<Arc<ActiveDeclaration>>>,
    pub(crate) snapshot: watch::Receiver<EndpointSnapshot>,
    state: Mutex<Working>,
}

/// What changes from turn to turn.
#[derive(Debug, Default)]
pub(crate) struct Working {
    pub(crate) tracker: OrderTracker,
    pub(crate) differences: Vec<Difference>,
    /// What gates tell of calls to versions that are being rolled out.
    pub(crate) comparisons: RolloutComparisons,
    /// Orders answered, by kind of answer: taken, lost, refused, stale, refused by the weight store,
    /// no room.
    pub(crate) answers: [u64; 6],
    fencing: Option<u64>,
    revision: u64,
    in_force_since: Option<Instant>,
}

impl Reconciler {
    pub(crate) fn new(
        limits: Limits,
        lease: watch::Receiver<LeaseState>,
        declared: watch::Receiver<Option<Arc<ActiveDeclaration>>>,
        snapshot: watch::Receiver<EndpointSnapshot>,
    ) -> Self {
        Self {
            limits,
            lease,
            declared,
            snapshot,
            state: Mutex::default(),
        }
    }

    pub(crate) fn working(&self) -> MutexGuard<'_, Working> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// The right to give orders, where it is held now.
    pub(crate) fn authority(&self, now: Instant) -> Option<Authority> {
        let authority = self.lease.borrow().authority;
        authority.filter(|authority| !authority.remaining(now).is_zero())
    }

    /// Runs until the order to stop, and until the orders under way are answered.
    pub(crate) async fn run(self: Arc<Self>, mut stopped: Stopped) {
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
    pub(crate) fn all_deliveries_known(&self) -> bool {
        let working = self.working();
        working
            .tracker
            .open_orders()
            .values()
            .all(OpenOrder::is_delivery_known)
    }

    /// Compares, enters new orders, and returns those that are due.
    fn turn(&self) -> Vec<OpenOrder> {
        let now = Instant::now();
        let Some(in_force) = self.declared.borrow().clone() else {
            return Vec::new();
        };
        let snapshot = self.snapshot.borrow();
        let mut working = self.working();
        working.note_revision(in_force.revision, now);
        let since = working.in_force_since.unwrap_or(now);
        let input = PlanInput {
            services: &in_force.declaration.services,
            endpoints: &snapshot.endpoints,
            declaration_age: now.saturating_duration_since(since),
            now,
        };
        let services = &in_force.declaration.services;
        working
            .tracker
            .retain_releases(|release| is_wanted(services, release));
        if !snapshot.is_reliable(now) {
            // What is known is too old, or too new to be whole.
            return Vec::new();
        }
        let Some(authority) = self.authority(now) else {
            working.lose_authority();
            let differences = plan(&input, &working.tracker, &self.limits).differences;
            working.note_differences(differences, services);
            return Vec::new();
        };
        working.gain_authority(authority.fencing());
        working
            .tracker
            .close_finished(&snapshot.endpoints, &self.limits, now);
        let planned = plan(&input, &working.tracker, &self.limits);
        working.note_differences(planned.differences, services);
        working.tracker.set_draining(planned.drains, now);
        for (service, task) in planned.tasks {
            let attempt = working.tracker.attempt(&task);
            let order = task.order_id(in_force.revision, attempt);
            working.tracker.add(task, order, &service, now);
        }
        let may = |open: &OpenOrder| {
            let endpoint = snapshot.endpoints.get(&open.task.endpoint);
            endpoint.is_some_and(|e| authority.send_window(e.checks_fencing, now).is_some())
        };
        working.tracker.claim_due(now, may)
    }

    /// Takes what gates told about calls to `asked`, and halts rollouts with which attainment fell.
    pub(crate) fn record_call_counts<'a>(
        &self,
        services: &[String],
        replies: impl Iterator<Item = (&'a str, CallsReply)>,
    ) {
        let mut working = self.working();
        for (gate, reply) in replies {
            working.comparisons.record_reply(gate, services, reply);
        }
        for (release, regression) in working.comparisons.check() {
            let (service, version) = (release.service.clone(), release.version);
            let why = format!("{regression}; probability {:.4}", regression.probability);
            let halted = Event::RolloutHalted {
                service,
                version,
                why,
            };
            logs::write(None, &halted);
            working.tracker.halt(release, regression);
        }
    }

    /// Sends one order within what is left of the lease, and takes its answer.
    async fn send(self: Arc<Self>, open: OpenOrder) {
        let endpoint = {
            let snapshot = self.snapshot.borrow();
            snapshot.endpoints.get(&open.task.endpoint).cloned()
        };
        let now = Instant::now();
        let window = match (&endpoint, self.authority(now)) {
            (Some(endpoint), Some(authority)) => authority
                .send_window(endpoint.checks_fencing, now)
                .map(|remaining| (endpoint, authority.fencing(), remaining)),
            _ => None,
        };
        let answer = match window {
            None => OrderReply::Unconfirmed("the lease ended before it was sent".to_owned()),
            Some((endpoint, fencing, remaining)) => {
                let deadline = now + remaining.min(self.limits.order_timeout);
                let order = open.order;
                order::send(&endpoint.address, &open.task, order, fencing, deadline).await
            }
        };
        let mut working = self.working();
        // The answer to a repeat tells only of an order that came to an end.
        let is_repeat = open.state == OrderState::Accepted;
        if !is_repeat
            || !matches!(
                answer,
                OrderReply::Accepted | OrderReply::Unconfirmed(_) | OrderReply::StaleFencing(_)
            )
        {
            working.count(&open, &answer);
        }
        working
            .tracker
            .record_reply(open.order, answer, Instant::now());
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
        let rollouts = differing.filter_map(|d| release(&d.service, services.get(&d.service)?));
        let rollouts = rollouts.map(|release| (release.service.clone(), release));
        self.comparisons.set_rollouts(rollouts.collect());
        self.differences = differences;
    }

    fn lose_authority(&mut self) {
        if self.fencing.take().is_some() {
            self.tracker.set_draining(Vec::new(), Instant::now());
            self.tracker.clear_orders();
        }
    }

    fn gain_authority(&mut self, fencing: u64) {
        if self.fencing.replace(fencing) != Some(fencing) {
            self.tracker.clear_orders();
        }
    }

    fn count(&mut self, open: &OpenOrder, answer: &OrderReply) {
        let (kind, why) = match answer {
            OrderReply::Accepted => (0, None),
            OrderReply::Unconfirmed(why) => (1, Some(why)),
            OrderReply::Refused(why) => (2, Some(why)),
            OrderReply::StaleFencing(why) => (3, Some(why)),
            OrderReply::StoreRefused(why) => (4, Some(why)),
            OrderReply::OutOfMemory(why) => (5, Some(why)),
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
