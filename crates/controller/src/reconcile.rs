//! The reconcile loop: compares endpoints with the declaration, plans orders and sends them.

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
    comparison::RolloutComparisons,
    config::Limits,
    endpoints::EndpointSnapshot,
    lease::LeaseState,
    order::{self, OrderReply},
    plan::{Difference, PlanInput, plan},
    tracker::{OpenOrder, OrderState, OrderTracker, Release},
};

const RECONCILE_INTERVAL: Duration = Duration::from_millis(200);

/// Inputs and state of the reconcile loop.
#[derive(Debug)]
pub(crate) struct Reconciler {
    pub(crate) limits: Limits,
    pub(crate) lease: watch::Receiver<LeaseState>,
    pub(crate) declared: watch::Receiver<Option<Arc<ActiveDeclaration>>>,
    pub(crate) snapshot: watch::Receiver<EndpointSnapshot>,
    state: Mutex<ReconcileState>,
}

/// State that changes from cycle to cycle.
#[derive(Debug, Default)]
pub(crate) struct ReconcileState {
    pub(crate) tracker: OrderTracker,
    pub(crate) differences: Vec<Difference>,
    /// Call counts that gates report for versions being rolled out.
    pub(crate) comparisons: RolloutComparisons,
    /// Replies to orders by kind: accepted, unconfirmed, refused, stale fencing token, refused by
    /// the weight store, out of memory.
    pub(crate) reply_counts: [u64; 6],
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

    pub(crate) fn lock_state(&self) -> MutexGuard<'_, ReconcileState> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Returns the right to send orders if the lease is held at `now`.
    pub(crate) fn authority(&self, now: Instant) -> Option<Authority> {
        let authority = self.lease.borrow().authority;
        authority.filter(|authority| !authority.remaining(now).is_zero())
    }

    /// Runs until shutdown, then waits for the replies to the orders in flight.
    pub(crate) async fn run(self: Arc<Self>, mut stopped: StopSignal) {
        let mut tick = interval(RECONCILE_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut sending = JoinSet::new();
        while !stopped.is_stopped() {
            tokio::select! {
                () = stopped.wait() => break,
                _ = tick.tick() => {}
            }
            while sending.try_join_next().is_some() {}
            for open in self.run_cycle() {
                sending.spawn(Arc::clone(&self).send(open));
            }
        }
        while sending.join_next().await.is_some() {}
    }

    /// Returns true if for every open order it is known whether the endpoint accepted it.
    pub(crate) fn all_deliveries_known(&self) -> bool {
        let state = self.lock_state();
        state
            .tracker
            .open_orders()
            .values()
            .all(OpenOrder::is_delivery_known)
    }

    /// Runs one cycle: plans and records new orders, and returns the orders that are due.
    fn run_cycle(&self) -> Vec<OpenOrder> {
        let now = Instant::now();
        let Some(in_force) = self.declared.borrow().clone() else {
            return Vec::new();
        };
        let snapshot = self.snapshot.borrow();
        let mut state = self.lock_state();
        state.record_revision(in_force.revision, now);
        let since = state.in_force_since.unwrap_or(now);
        let input = PlanInput {
            services: &in_force.declaration.services,
            endpoints: &snapshot.endpoints,
            declaration_age: now.saturating_duration_since(since),
            now,
        };
        let services = &in_force.declaration.services;
        state
            .tracker
            .retain_releases(|release| is_declared_release(services, release));
        if !snapshot.is_reliable(now) {
            // The snapshot is too old, or too new to be complete.
            return Vec::new();
        }
        let Some(authority) = self.authority(now) else {
            state.clear_authority();
            let differences = plan(&input, &state.tracker, &self.limits).differences;
            state.record_differences(differences, services);
            return Vec::new();
        };
        state.set_authority(authority.fencing());
        state
            .tracker
            .close_finished(&snapshot.endpoints, &self.limits, now);
        let planned = plan(&input, &state.tracker, &self.limits);
        state.record_differences(planned.differences, services);
        state.tracker.set_draining(planned.drains, now);
        for (service, task) in planned.tasks {
            let attempt = state.tracker.attempt(&task);
            let order = task.order_id(in_force.revision, attempt);
            state.tracker.add(task, order, &service, now);
        }
        let can_send = |open: &OpenOrder| {
            let endpoint = snapshot.endpoints.get(&open.task.endpoint);
            endpoint.is_some_and(|e| authority.send_window(e.checks_fencing, now).is_some())
        };
        state.tracker.claim_due(now, can_send)
    }

    /// Records call counts of `services` from gates, and halts rollouts that lowered attainment.
    pub(crate) fn record_call_counts<'a>(
        &self,
        services: &[String],
        replies: impl Iterator<Item = (&'a str, CallsReply)>,
    ) {
        let mut state = self.lock_state();
        for (gate, reply) in replies {
            state.comparisons.record_reply(gate, services, reply);
        }
        for (release, regression) in state.comparisons.check() {
            let (service, version) = (release.service.clone(), release.version);
            let why = format!("{regression}; probability {:.4}", regression.probability);
            let event = Event::RolloutHalted {
                service,
                version,
                why,
            };
            logs::write(None, &event);
            state.tracker.halt(release, regression);
        }
    }

    /// Sends one order within the remaining lease time and records the reply.
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
        let reply = match window {
            None => {
                OrderReply::Unconfirmed("the lease expired before the order was sent".to_owned())
            }
            Some((endpoint, fencing, remaining)) => {
                let deadline = now + remaining.min(self.limits.order_timeout);
                let order = open.order;
                order::send(&endpoint.address, &open.task, order, fencing, deadline).await
            }
        };
        let mut state = self.lock_state();
        // The reply to a repeat counts only if it reports that the order ended.
        let is_repeat = open.state == OrderState::Accepted;
        if !is_repeat
            || !matches!(
                reply,
                OrderReply::Accepted | OrderReply::Unconfirmed(_) | OrderReply::StaleFencing(_)
            )
        {
            state.count_reply(&open, &reply);
        }
        state
            .tracker
            .record_reply(open.order, reply, Instant::now());
    }
}

impl ReconcileState {
    fn record_revision(&mut self, revision: u64, now: Instant) {
        if self.in_force_since.is_none() || revision != self.revision {
            self.revision = revision;
            self.in_force_since = Some(now);
        }
    }

    /// Stores the differences; a service with a differing endpoint counts as being rolled out.
    fn record_differences(
        &mut self,
        differences: Vec<Difference>,
        services: &BTreeMap<String, Service>,
    ) {
        let differing = differences.iter().filter(|d| !d.endpoint.is_empty());
        let rollouts =
            differing.filter_map(|d| declared_release(&d.service, services.get(&d.service)?));
        let rollouts = rollouts.map(|release| (release.service.clone(), release));
        self.comparisons.set_rollouts(rollouts.collect());
        self.differences = differences;
    }

    fn clear_authority(&mut self) {
        if self.fencing.take().is_some() {
            self.tracker.set_draining(Vec::new(), Instant::now());
            self.tracker.clear_orders();
        }
    }

    fn set_authority(&mut self, fencing: u64) {
        if self.fencing.replace(fencing) != Some(fencing) {
            self.tracker.clear_orders();
        }
    }

    fn count_reply(&mut self, open: &OpenOrder, reply: &OrderReply) {
        let (kind, why) = match reply {
            OrderReply::Accepted => (0, None),
            OrderReply::Unconfirmed(why) => (1, Some(why)),
            OrderReply::Refused(why) => (2, Some(why)),
            OrderReply::StaleFencing(why) => (3, Some(why)),
            OrderReply::StoreRefused(why) => (4, Some(why)),
            OrderReply::OutOfMemory(why) => (5, Some(why)),
        };
        self.reply_counts[kind] += 1;
        let event = Event::Order {
            order: open.order.to_string(),
            endpoint: open.task.endpoint.clone(),
            action: open.task.action.name().to_owned(),
            version: open.task.version,
            why: why.cloned(),
        };
        logs::write(None, &event);
    }
}

/// Returns the release that `service` declares, if it declares a model.
fn declared_release(name: &str, service: &Service) -> Option<Release> {
    Some(Release {
        service: name.to_owned(),
        model: service.model.clone()?,
        version: service.version?,
    })
}

fn is_declared_release(services: &BTreeMap<String, Service>, failed: &Release) -> bool {
    let service = services.get(&failed.service);
    service.is_some_and(|s| declared_release(&failed.service, s).as_ref() == Some(failed))
}
