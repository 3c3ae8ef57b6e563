//! `GET /v1/status`: the lease, the differences from the declaration with reasons, and open orders.

use std::collections::BTreeSet;

use derives::record;
use membership::StageRole;
use tokio::time::Instant;

use crate::{
    attainment::Regression,
    order::Action,
    plan::Difference,
    reconcile::Reconciler,
    tracker::{OpenOrder, OrderState, OrderTracker, Release},
    weight_store::{ModelVersion, Refusal},
};

/// Body of `GET /v1/status`.
#[record]
pub(crate) struct Status {
    vm: String,
    az: String,
    lease: LeaseStatus,
    /// Revision of the declaration in force in this process.
    revision: Option<u64>,
    /// The gate that last reported the endpoints.
    gate: Option<String>,
    endpoints_age_ms: Option<u64>,
    endpoints: usize,
    differences: Vec<Difference>,
    orders: Vec<OrderStatus>,
    halted: Vec<Halted>,
    /// Model versions that the weight store refused, with the time of the next attempt.
    store_refusals: Vec<StoreRefusal>,
}

#[record]
struct StoreRefusal {
    model: String,
    version: u32,
    refusals: u32,
    next_in_ms: u64,
    why: String,
}

impl StoreRefusal {
    fn of(model_version: &ModelVersion, refusal: &Refusal, now: Instant) -> Self {
        let next_in = refusal.retry_at.saturating_duration_since(now);
        Self {
            model: model_version.model.clone(),
            version: model_version.version,
            refusals: refusal.count,
            next_in_ms: next_in.as_millis() as u64,
            why: refusal.reason.clone(),
        }
    }
}

#[record]
struct LeaseStatus {
    held: bool,
    fencing: Option<u64>,
    ends_in_ms: u64,
    /// Time until orders may go to endpoints that don't check the fencing token.
    waits_ms: u64,
    why: Option<String>,
}

#[record]
struct OrderStatus {
    order: String,
    endpoint: String,
    service: String,
    action: String,
    model: String,
    version: u32,
    role: Option<StageRole>,
    state: String,
    age_ms: u64,
    sent: u32,
    last: Option<String>,
}

#[record]
struct Halted {
    service: String,
    model: String,
    version: u32,
    why: String,
    failures: Vec<String>,
    /// Calls to the new and the previous versions, if attainment fell.
    attainment: Option<Regression>,
}

impl OrderStatus {
    fn of(open: &OpenOrder, now: Instant) -> Self {
        let state = match open.state {
            OrderState::Pending => "to_send",
            OrderState::Sending => "sending",
            OrderState::Accepted => "taken",
        };
        let role = match open.task.action {
            Action::Role(role) => Some(role),
            Action::Load | Action::Unload => None,
        };
        Self {
            order: open.order.to_string(),
            endpoint: open.task.endpoint.clone(),
            service: open.service.clone(),
            action: open.task.action.name().to_owned(),
            model: open.task.model.clone(),
            version: open.task.version,
            role,
            state: state.to_owned(),
            age_ms: now.saturating_duration_since(open.created_at).as_millis() as u64,
            sent: open.send_count,
            last: open.last_reply.clone(),
        }
    }
}

/// Returns the status of the controller of `az` on `vm`.
pub(crate) fn status(vm: &str, az: &str, reconciler: &Reconciler) -> Status {
    let now = Instant::now();
    let authority = reconciler.authority(now);
    let lease = LeaseStatus {
        held: authority.is_some(),
        fencing: authority.map(|a| a.fencing()),
        ends_in_ms: authority.map_or(0, |a| a.remaining(now).as_millis() as u64),
        waits_ms: authority.map_or(0, |a| a.fencing_wait(now).as_millis() as u64),
        why: reconciler.lease.borrow().reason.clone(),
    };
    let snapshot = reconciler.snapshot.borrow().clone();
    let snapshot_age = snapshot
        .last_reply_at
        .map(|at| now.saturating_duration_since(at));
    let revision = reconciler.declared.borrow().as_ref().map(|d| d.revision);
    let state = reconciler.lock_state();
    let refusals = state.tracker.store().refusals().iter();
    Status {
        vm: vm.to_owned(),
        az: az.to_owned(),
        lease,
        revision,
        endpoints_age_ms: snapshot_age.map(|snapshot_age| snapshot_age.as_millis() as u64),
        endpoints: snapshot.endpoints.len(),
        gate: snapshot.gate,
        differences: state.differences.clone(),
        orders: state
            .tracker
            .open_orders()
            .values()
            .map(|open| OrderStatus::of(open, now))
            .collect(),
        halted: halted(&state.tracker, reconciler.limits.halt_after_failures),
        store_refusals: refusals
            .map(|(model_version, refusal)| StoreRefusal::of(model_version, refusal, now))
            .collect(),
    }
}

fn halted(tracker: &OrderTracker, halt_after_failures: u32) -> Vec<Halted> {
    let releases: BTreeSet<&Release> = tracker
        .failures()
        .keys()
        .chain(tracker.regressions().keys())
        .collect();
    let halted = releases.into_iter().filter_map(|release| {
        Some(Halted {
            service: release.service.clone(),
            model: release.model.clone(),
            version: release.version,
            why: tracker.halt_reason(release, halt_after_failures)?,
            failures: tracker.failures().get(release).cloned().unwrap_or_default(),
            attainment: tracker.regressions().get(release).cloned(),
        })
    });
    halted.collect()
}
