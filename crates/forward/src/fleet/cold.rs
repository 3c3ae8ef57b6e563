//! Cold times of endpoints: announced ones, and those that are assumed while the keepers' table is not
//! current.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLockReadGuard},
};

use call_permits::{ColdChange, ColdLimit};
use logs::Event;
use membership::{ColdState, RateReport};
use routing::TableContact;
use tokio::time::Instant;

use super::{Fleet, Target};
use crate::call::CallError;

impl Target {
    /// Records the endpoint's cold time, if keepers list one, and the rate that its service declares
    /// for cold endpoints.
    pub(super) fn record_cold(&self, cold: Option<ColdState>, rate: Option<f64>, now: Instant) {
        self.stats().permits.record_cold(cold, rate, now);
        self.log_cold_change(now);
    }

    fn log_cold_change(&self, now: Instant) {
        let change = self.stats().permits.take_cold_change(now);
        let (endpoint, service) = (self.name.clone(), self.service.clone());
        let event = match change {
            None => return,
            Some(ColdChange::Warm) => Event::EndpointWarm { endpoint, service },
            Some(ColdChange::Cold { until, is_assumed }) => Event::EndpointCold {
                endpoint,
                service,
                left_ms: until.saturating_duration_since(now).as_millis() as u64,
                is_assumed,
            },
        };
        logs::write(None, &event);
    }
}

impl Fleet {
    /// Records that keepers confirmed what this gate knows, as requested at `requested_at`.
    pub(crate) fn record_table_contact(&self, requested_at: Instant) {
        let now = Instant::now();
        let contact = {
            let mut contact = self.contact.lock().unwrap_or_else(PoisonError::into_inner);
            contact.record_confirmation(requested_at, now);
            *contact
        };
        for target in self.cold_capable_targets() {
            target.stats().permits.apply_contact(contact, now);
        }
    }

    fn contact(&self) -> TableContact {
        *self.contact.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns true if the keepers' table has the cold times of all endpoints, or no service declares a
    /// rate of cold endpoints.
    pub(crate) fn is_informed_of_cold(&self) -> bool {
        self.cold_rates().is_empty() || self.contact().is_current(Instant::now())
    }

    /// Records an error of a call to `target` as a sign of a restart if its connection ended or was
    /// refused.
    pub(crate) fn record_call_error(&self, target: &Target, e: &CallError) {
        if e.is_connection_end() {
            self.record_restart_sign(target);
        }
    }

    /// Records that connections to `addresses` ended while they were idle.
    pub(crate) fn record_closed_connections(&self, addresses: &BTreeSet<SocketAddr>) {
        let targets = self.cold_capable_targets();
        let closed = targets.iter().filter(|t| addresses.contains(&t.address));
        closed.for_each(|target| self.record_restart_sign(target));
    }

    fn record_restart_sign(&self, target: &Target) {
        let now = Instant::now();
        let contact = self.contact();
        target.stats().permits.record_restart_sign(contact, now);
        target.log_cold_change(now);
    }

    /// Records that another gate that requests permits treats the endpoint as cold. The endpoint may have
    /// restarted without this gate hearing of it.
    pub(crate) fn record_reported_cold(&self, report: &RateReport, cold: ColdLimit) {
        let (now, contact) = (Instant::now(), self.contact());
        let Some(pool) = self.pool(&report.service) else {
            return;
        };
        let is_meant =
            |t: &&Arc<Target>| t.name == report.endpoint && t.incarnation <= report.incarnation;
        if let Some(target) = pool.targets.iter().find(is_meant) {
            let mut stats = target.stats();
            stats.permits.record_reported_cold(cold.left, contact, now);
            drop(stats);
            target.log_cold_change(now);
        }
    }

    /// Logs endpoints whose cold time is over.
    pub(crate) fn log_cold_changes(&self) {
        let now = Instant::now();
        for target in self.cold_capable_targets() {
            target.log_cold_change(now);
        }
    }

    /// Returns the endpoints of the services that declare a rate of cold endpoints.
    fn cold_capable_targets(&self) -> Vec<Arc<Target>> {
        let services: Vec<String> = self.cold_rates().keys().cloned().collect();
        let pools = services.iter().filter_map(|service| self.pool(service));
        pools.flat_map(|pool| pool.targets.clone()).collect()
    }

    /// Returns the limit of a cold endpoint and until when it holds, as this gate knows it.
    pub(crate) fn cold_limit(&self, report: &RateReport, now: Instant) -> Option<(f64, Instant)> {
        let target = self.target_of(report)?;
        target.stats().permits.cold_limit(now)
    }

    /// Sets the requests per second of cold endpoints, by service. They apply from the next update.
    pub(crate) fn set_cold_rates(&self, rates: HashMap<String, f64>) {
        let known = self.cold_rates.write();
        *known.unwrap_or_else(PoisonError::into_inner) = rates;
    }

    pub(super) fn cold_rates(&self) -> RwLockReadGuard<'_, HashMap<String, f64>> {
        let rates = self.cold_rates.read();
        rates.unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
