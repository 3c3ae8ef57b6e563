//! Request rates that endpoints name, from this gate's responses, other gates and the keepers.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use call_permits::ColdLimit;
use logs::Event;
use membership::{Mirror, ObservedRate, RateReport, ReportedRate};
use outbound::NamedRate;
use tokio::time::Instant;

use super::{Fleet, PoisonError, Target};

/// Time for which a rate is remembered of an endpoint that keepers no longer list.
const RETENTION: Duration = Duration::from_mins(1);
/// Relative difference up to which other processes are not told of a new rate.
const MAX_DRIFT: f64 = 0.05;

impl Target {
    /// Records the request rate that a response of the endpoint named, as reported by `source`.
    /// Returns true if the rate changed.
    pub(crate) fn record_rate(&self, observed: ObservedRate, source: &str) -> bool {
        let is_changed = self.stats().permits.record_rate(observed);
        if is_changed {
            logs::write(
                None,
                &Event::EndpointLimited {
                    endpoint: self.name.clone(),
                    service: self.service.clone(),
                    per_second: observed.per_second,
                    source: source.to_owned(),
                },
            );
        }
        is_changed
    }

    /// Returns the report of the endpoint's rate by the gate `vm`; `None` if it never named a limit.
    pub(crate) fn rate_report(&self, vm: &str) -> Option<RateReport> {
        let observed = self.stats().permits.observed()?;
        Some(RateReport {
            endpoint: self.name.clone(),
            service: self.service.clone(),
            incarnation: self.incarnation,
            source: vm.to_owned(),
            rate: observed.report(Instant::now()),
        })
    }

    /// Returns what a gate that requests permits knows: the endpoint's rate, with none if it named
    /// none, and its limit while it is cold. `None` if it has no limit.
    pub(crate) fn permit_report(
        &self,
        vm: &str,
        now: Instant,
    ) -> Option<(RateReport, Option<ColdLimit>)> {
        let cold = self.stats().permits.cold_limit(now);
        let cold = cold.map(|(per_second, until)| ColdLimit {
            per_second,
            left: until.saturating_duration_since(now),
        });
        let report = self.rate_report(vm);
        if report.is_none() && cold.is_none() {
            return None;
        }
        let report = report.unwrap_or_else(|| RateReport {
            endpoint: self.name.clone(),
            service: self.service.clone(),
            incarnation: self.incarnation,
            source: vm.to_owned(),
            rate: ReportedRate {
                per_second: None,
                age: Duration::ZERO,
            },
        });
        Some((report, cold))
    }

    /// Returns true if a pause or a request rate is to be remembered when keepers no longer list the
    /// endpoint.
    pub(super) fn is_restrained(&self, now: Instant) -> bool {
        let stats = self.stats();
        let observed = stats.permits.observed();
        let is_recent = observed
            .is_some_and(|rate| now.saturating_duration_since(rate.observed_at) < RETENTION);
        is_recent || stats.availability.is_paused(now)
    }
}

impl Fleet {
    /// Records what a response of `target` to the gate `vm` says about the endpoint's request rate.
    /// Only a response that would name a limit proves that there is none; its request was sent at
    /// `sent_at`.
    pub(super) fn record_named_rate(
        &self,
        target: &Target,
        rate: NamedRate,
        sent_at: Option<Instant>,
        vm: &str,
    ) {
        let observed = match (rate, sent_at) {
            (NamedRate::PerSecond(per_second), _) => ObservedRate {
                per_second: Some(per_second),
                observed_at: Instant::now(),
            },
            (NamedRate::Unlimited, Some(observed_at)) => ObservedRate {
                per_second: None,
                observed_at,
            },
            (NamedRate::Unlimited, None) | (NamedRate::Unknown, _) => return,
        };
        if target.record_rate(observed, vm) {
            target.stats().permits.set_reporter(true);
            self.notice_updates.send_modify(|count| *count += 1);
        }
    }

    /// Records request rates reported by other gates.
    pub(crate) fn record_reported_rates(&self, reports: &[RateReport]) {
        let now = Instant::now();
        for report in reports {
            let target = self.target_of(report);
            let observed = report.rate.observed(now);
            if let Some((target, observed)) = target.zip(observed)
                && target.record_rate(observed, &report.source)
            {
                target.stats().permits.set_reporter(false);
            }
        }
    }

    /// Returns the latest observation of the rate in `report`; `None` if it is invalid.
    pub(crate) fn observed_rate(&self, report: &RateReport, now: Instant) -> Option<ObservedRate> {
        let reported = report.rate.observed(now)?;
        let known = self.target_of(report);
        let known = known.and_then(|target| target.stats().permits.observed());
        Some(
            known
                .filter(|known| known.supersedes(Some(reported)))
                .unwrap_or(reported),
        )
    }

    /// Returns the latest observation of the endpoint's rate that this gate has, if any.
    pub(crate) fn known_rate(&self, report: &RateReport) -> Option<ObservedRate> {
        let target = self.target_of(report)?;
        target.stats().permits.observed()
    }

    /// Returns the availability zones with endpoints that have a limit.
    pub(crate) fn limited_zones(&self) -> BTreeSet<String> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        let targets = pools.values().flat_map(|pool| &pool.targets);
        let now = Instant::now();
        let limited = targets.filter(|target| target.stats().permits.limit(now).is_some());
        limited.map(|target| target.az.clone()).collect()
    }

    /// Returns the rates named in responses to this gate, `vm`, that the keepers don't know.
    pub(crate) fn unconfirmed_rates(&self, mirror: &Mirror, vm: &str) -> Vec<RateReport> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        let targets = pools.values().flat_map(|pool| &pool.targets);
        let is_unconfirmed = |target: &Target| {
            let view = mirror.endpoints.get(&target.name);
            let is_listed = view.is_some_and(|view| view.incarnation == target.incarnation);
            let listed = mirror.rates.get(&target.name);
            let stats = target.stats();
            let limit = stats.permits.named_limit();
            is_listed
                && stats.permits.is_reporter()
                && differs(limit, listed.and_then(|rate| rate.per_second))
        };
        let unconfirmed = targets.filter(|target| is_unconfirmed(target));
        unconfirmed
            .filter_map(|target| target.rate_report(vm))
            .collect()
    }

    pub(super) fn target_of(&self, report: &RateReport) -> Option<Arc<Target>> {
        let pool = self.pool(&report.service)?;
        let is_meant =
            |t: &&Arc<Target>| t.name == report.endpoint && t.incarnation == report.incarnation;
        pool.targets.iter().find(is_meant).cloned()
    }
}

/// Returns true if other processes are to be told of the rate `a` where they know `b`.
fn differs(a: Option<f64>, b: Option<f64>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => (a - b).abs() > MAX_DRIFT * a.max(b),
        (a, b) => a.is_some() != b.is_some(),
    }
}

#[cfg(test)]
mod tests;
