//! Keeps all gates together within the request rates that endpoints name in their responses.
//!
//! A gate that calls an endpoint with such a limit needs a permit. One gate of the endpoint's
//! availability zone grants the permits of that zone, from a token bucket for each endpoint, for the
//! shares that the zone's gates lend it ([`call_permits`]). `docs/design/rate-limits.md` gives the reasons
//! for this design.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use call_permits::{
    BorrowedShares, CallPermission, ColdLimit, Grant, LOAN_DURATION, Lender, LimitReply,
    LimitRequest, Limiter,
};
use futures_util::future::join_all;
use link::{Channel, Peer};
use membership::RateReport;
use spdlog::debug;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    fleet::{Fleet, Target},
    freshness::{Freshness, boot_time},
    gates::{Gates, LimiterChoice},
    metrics::Metrics,
};

/// Timeout of a request for permits.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(120);
/// Retry time if the gate that grants permits can't be reached.
const UNREACHABLE_DELAY: Duration = Duration::from_millis(300);
/// Shortest time for which a refusal holds, so that an endpoint does not cost a request for permits
/// for each call that it might get.
const MIN_REFUSAL: Duration = Duration::from_millis(10);
/// Longest time for which a refusal holds: that to the next permit at the lowest rate.
const MAX_REFUSAL: Duration = Duration::from_secs(10);
/// Interval at which shares are borrowed again.
const BORROW_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a request for a share.
const BORROW_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without a confirmation by the keepers after which a gate that borrows from no other gate
/// stops granting permits. It is shorter than the time for which other gates reserve its share.
const MAX_ISOLATION: Duration = Duration::from_secs(10);

/// Requests and grants permits. Clones share state.
#[derive(Clone, Debug)]
pub(crate) struct RateLimits {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    vm: String,
    fleet: Fleet,
    gates: Gates,
    freshness: Freshness,
    metrics: Metrics,
    state: Mutex<State>,
    /// Notified when shares are needed.
    borrow: Notify,
}

#[derive(Debug)]
struct State {
    limiter: Limiter,
    lender: Lender,
    borrowed: BorrowedShares,
}

impl RateLimits {
    /// Creates the state of the gate `vm`, which has just started.
    pub(crate) fn new(
        vm: &str,
        fleet: Fleet,
        gates: Gates,
        freshness: Freshness,
        metrics: Metrics,
    ) -> Self {
        let state = State {
            limiter: Limiter::default(),
            lender: Lender::new(boot_time()),
            borrowed: BorrowedShares::default(),
        };
        Self {
            shared: Arc::new(Shared {
                vm: vm.to_owned(),
                fleet,
                gates,
                freshness,
                metrics,
                state: Mutex::new(state),
                borrow: Notify::new(),
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = &self.shared.state;
        state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests permits for calls to an endpoint and records them, or their refusal, there.
    pub(crate) async fn request_permits(&self, request: PermitRequest) {
        let requested_at = Instant::now();
        let target = Arc::clone(&request.target);
        let Some((report, cold)) = target.permit_report(&self.shared.vm, requested_at) else {
            return;
        };
        let grant = match self.shared.gates.limiter_for(&target.az) {
            LimiterChoice::Local => self.grant(&target.az, &report, cold),
            LimiterChoice::Remote(peer) => self.request_from(&peer, &target.az, report, cold).await,
            LimiterChoice::Unavailable => Grant::Refused(UNREACHABLE_DELAY),
        };
        let outcome = match grant {
            Grant::Permits(_) => "granted",
            Grant::Refused(_) => "refused",
        };
        self.shared.metrics.record_permit(&target.service, outcome);
        request.finish(grant, requested_at);
    }

    /// Waits until a call to `target` is permitted, and takes the permit.
    pub(crate) async fn await_permit(&self, target: &Arc<Target>) {
        loop {
            match target.try_take_permit(Instant::now()) {
                CallPermission::Granted => return,
                CallPermission::Needed => self.request_permits(PermitRequest::new(target)).await,
                CallPermission::Refused(until) => sleep_until(until).await,
            }
        }
    }

    async fn request_from(
        &self,
        peer: &Peer,
        az: &str,
        report: RateReport,
        cold: Option<ColdLimit>,
    ) -> Grant {
        let req = LimitRequest::Permits {
            az: az.to_owned(),
            report,
            cold,
        };
        match peer.call(Channel::Calls, &req, PERMIT_TIMEOUT).await {
            Ok(LimitReply::Granted(permits)) => Grant::Permits(permits),
            Ok(LimitReply::Refused(retry_after)) => Grant::Refused(retry_after),
            reply => {
                debug!("request for permits failed", kv: {
                    gate = peer.name(), reply = format!("{reply:?}")
                });
                Grant::Refused(UNREACHABLE_DELAY)
            }
        }
    }

    /// Grants permits with the shares in the rates of `az` that this gate may use.
    fn grant(&self, az: &str, report: &RateReport, cold: Option<ColdLimit>) -> Grant {
        let (now, boot) = (Instant::now(), boot_time());
        let fleet = &self.shared.fleet;
        let observed = match names_no_rate(report, cold) {
            true => fleet.known_rate(report),
            false => match fleet.observed_rate(report, now) {
                Some(observed) => Some(observed),
                None => return Grant::Refused(UNREACHABLE_DELAY),
            },
        };
        // The lower rate and the later end hold, whichever gate knows of them.
        let reported = cold.and_then(|cold| cold.at(now));
        let known = fleet.cold_limit(report, now);
        let cold = match (reported, known) {
            (Some((a, a_until)), Some((b, b_until))) => Some((a.min(b), a_until.max(b_until))),
            (a, b) => a.or(b),
        };
        let holders = self.shared.gates.share_holders(az);
        let mut state = self.state();
        if let Some(observed) = observed {
            state
                .limiter
                .observe(&report.endpoint, report.incarnation, observed, now);
        }
        state
            .limiter
            .set_cold(&report.endpoint, report.incarnation, cold, now);
        let is_holder = holders.contains(&self.shared.vm);
        let has_own = is_holder && state.lender.lend(az, &self.shared.vm, boot);
        let mut fraction = state.borrowed.fraction(az, &holders, has_own, boot);
        if fraction < 1.0 {
            self.shared.borrow.notify_one();
        }
        let is_alone = (fraction * holders.len() as f64).round() <= 1.0 && holders.len() > 1;
        if is_alone && self.is_isolated() {
            fraction = 0.0;
        }
        state.limiter.grant(&report.endpoint, fraction, now)
    }

    /// Returns true if the keepers, and so the other gates, may no longer count on this gate.
    fn is_isolated(&self) -> bool {
        let age = self.shared.freshness.age();
        age.is_none_or(|age| age > MAX_ISOLATION)
    }

    /// Handles a request from another gate. Returns `None` if it is not about request rates.
    pub(crate) fn answer(&self, body: &[u8]) -> Option<Vec<u8>> {
        let reply = match link::decode::<LimitRequest>(body) {
            Ok(LimitRequest::Permits { az, report, cold }) => {
                if !names_no_rate(&report, cold) {
                    let reports = std::slice::from_ref(&report);
                    self.shared.fleet.record_reported_rates(reports);
                }
                if let Some(cold) = cold {
                    self.shared.fleet.record_reported_cold(&report, cold);
                }
                match self.grant(&az, &report, cold) {
                    Grant::Permits(permits) => LimitReply::Granted(permits),
                    Grant::Refused(retry_after) => LimitReply::Refused(retry_after),
                }
            }
            Ok(LimitRequest::Share { az, borrower }) => {
                LimitReply::Share(self.state().lender.lend(&az, &borrower, boot_time()))
            }
            Err(_) => return None,
        };
        Some(link::encode(&reply))
    }

    /// Borrows shares for the zones with limited endpoints for which this gate grants permits, while
    /// there are any; runs until dropped.
    pub(crate) async fn borrow_shares(self) {
        loop {
            let zones = self.shared.fleet.limited_zones();
            if zones.is_empty() {
                self.shared.borrow.notified().await;
                continue;
            }
            let is_local =
                |az: &&String| matches!(self.shared.gates.limiter_for(az), LimiterChoice::Local);
            let zones: Vec<&String> = zones.iter().filter(is_local).collect();
            join_all(zones.iter().map(|az| self.borrow_for(az))).await;
            sleep(BORROW_INTERVAL).await;
        }
    }

    /// Borrows the shares of all holders in the rates of `az`.
    async fn borrow_for(&self, az: &str) {
        let requests = self.shared.gates.linked_share_holders(az);
        let requests = requests.into_iter().map(async |peer| {
            let requested_at = boot_time();
            let req = LimitRequest::Share {
                az: az.to_owned(),
                borrower: self.shared.vm.clone(),
            };
            let reply = peer.call(Channel::Calls, &req, BORROW_TIMEOUT).await;
            match reply {
                Ok(LimitReply::Share(true)) => {
                    self.state().borrowed.record(az, peer.name(), requested_at);
                }
                reply => debug!("share not lent", kv: {
                    gate = peer.name(), az, reply = format!("{reply:?}")
                }),
            }
        });
        join_all(requests).await;
    }
}

/// Returns true if a request for permits says nothing about the rate that the endpoint names.
fn names_no_rate(report: &RateReport, cold: Option<ColdLimit>) -> bool {
    cold.is_some() && report.rate.per_second.is_none()
}

/// A request for permits, counted at its endpoint until it is finished or dropped.
#[derive(Debug)]
pub(crate) struct PermitRequest {
    target: Arc<Target>,
}

impl PermitRequest {
    /// Counts a request for permits for calls to `target`.
    pub(crate) fn new(target: &Arc<Target>) -> Self {
        target.stats().permits.start_request();
        Self {
            target: Arc::clone(target),
        }
    }

    fn finish(self, grant: Grant, requested_at: Instant) {
        let now = Instant::now();
        let mut stats = self.target.stats();
        match grant {
            Grant::Permits(permits) => stats.permits.grant(permits, requested_at, now),
            Grant::Refused(retry_after) => {
                let pause = retry_after.clamp(MIN_REFUSAL, MAX_REFUSAL);
                stats.permits.refuse(now + pause);
            }
        }
    }
}

impl Drop for PermitRequest {
    fn drop(&mut self) {
        self.target.stats().permits.end_request();
    }
}

// The lender's reply and the borrower's next request fit into a loan.
const _: () =
    assert!(BORROW_INTERVAL.as_millis() + BORROW_TIMEOUT.as_millis() < LOAN_DURATION.as_millis());

#[cfg(test)]
mod tests;
