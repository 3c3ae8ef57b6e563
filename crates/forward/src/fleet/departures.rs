//! Applies leaving and pause notices of endpoints and of other gates.

use std::{
    collections::BTreeMap,
    sync::{Arc, MutexGuard, PoisonError, atomic::Ordering},
};

use link::keeper;
use logs::Event;
use membership::{EndpointState, LeavingNotice, Mirror};
use outbound::Notice;
use tokio::{sync::watch, time::Instant};

use super::{Fleet, Target};
use crate::availability::Departure;

/// Maximum number of remembered departures; the oldest one is dropped.
const MAX_DEPARTURES: usize = 16_384;

impl Target {
    /// Name of this incarnation of the endpoint.
    pub(crate) fn incarnation_name(&self) -> String {
        format!("{}/{}", self.name, self.incarnation)
    }

    /// Returns true if the endpoint is known to be shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        let stats = self.stats();
        stats.state == EndpointState::Leaving || stats.availability.is_leaving()
    }
}

impl Fleet {
    pub(super) fn departures(&self) -> MutexGuard<'_, BTreeMap<String, Departure>> {
        self.departures
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the notice of a response from `target` to the gate `vm`. `sent_at` is when the request
    /// was sent, if the response would name a limit that is in effect.
    pub(crate) fn apply_notice(
        &self,
        target: &Target,
        notice: Notice,
        vm: &str,
        sent_at: Option<Instant>,
    ) {
        let now = Instant::now();
        target.stats().availability.record_response();
        if notice.is_leaving {
            let departure = Departure {
                incarnation: target.incarnation,
                source: vm.to_owned(),
                since: now,
            };
            if self.record_departure(&target.name, departure) {
                self.notice_updates.send_modify(|count| *count += 1);
            }
        }
        self.record_named_rate(target, notice.rate, sent_at, vm);
        let pause = notice
            .pause
            .and_then(|pause| target.stats().availability.pause(pause, now));
        if let Some(pause) = pause {
            logs::write(
                None,
                &Event::EndpointPaused {
                    endpoint: target.name.clone(),
                    service: target.service.clone(),
                    for_ms: pause.as_millis() as u64,
                },
            );
        }
    }

    /// Records a departure reported by another gate.
    pub(crate) fn record_reported_departure(&self, leaving: LeavingNotice) {
        let departure = Departure {
            incarnation: leaving.incarnation,
            source: leaving.source,
            since: Instant::now()
                .checked_sub(leaving.age)
                .unwrap_or_else(Instant::now),
        };
        self.record_departure(&leaving.endpoint, departure);
    }

    /// Returns the version of the keepers' departures up to which this gate has read them.
    pub(crate) fn departures_version(&self) -> u64 {
        self.departures_version.load(Ordering::Relaxed)
    }

    /// Records `departures`, which the keeper `source` knows to be committed up to `version`.
    pub(crate) fn record_departures(
        &self,
        version: u64,
        departures: Vec<keeper::Departure>,
        source: &str,
    ) {
        for departed in departures {
            let departure = Departure {
                incarnation: departed.incarnation,
                source: source.to_owned(),
                since: Instant::now(),
            };
            self.record_departure(&departed.endpoint, departure);
        }
        self.departures_version.store(version, Ordering::Relaxed);
    }

    /// Records that an incarnation is leaving. Returns true if this was not known before.
    fn record_departure(&self, endpoint: &str, departure: Departure) -> bool {
        let now = Instant::now();
        let mut departures = self.departures();
        if departures
            .get(endpoint)
            .is_some_and(|known| known.covers(departure.incarnation))
        {
            return false;
        }
        if departures.len() >= MAX_DEPARTURES {
            let oldest = departures
                .iter()
                .min_by_key(|(_, departure)| departure.since);
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.and_then(|name| departures.remove(&name));
        }
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        let targets = pools.values().flat_map(|pool| &pool.targets);
        let is_covered = |t: &&Arc<Target>| t.name == endpoint && departure.covers(t.incarnation);
        let mut is_new = false;
        for target in targets.filter(is_covered) {
            is_new |= !target.is_leaving();
            target.stats().availability.mark_leaving();
        }
        if is_new {
            logs::write(None, &departure.log_event(endpoint, now));
        }
        departures.insert(endpoint.to_owned(), departure);
        true
    }

    /// Returns a counter that changes whenever an endpoint reports to this gate that it is leaving,
    /// or another request rate.
    pub(crate) fn notice_updates(&self) -> watch::Receiver<u64> {
        self.notice_updates.subscribe()
    }

    /// Returns endpoints that reported that they are leaving while the keepers list them as ready.
    pub(crate) fn unconfirmed_departures(&self, mirror: &Mirror) -> Vec<LeavingNotice> {
        let now = Instant::now();
        let departures = self.departures();
        let unconfirmed = departures.iter().filter(|(name, departure)| {
            let view = mirror.endpoints.get(*name);
            view.is_some_and(|v| v.state == EndpointState::Ready && departure.covers(v.incarnation))
        });
        let leaving = unconfirmed.map(|(name, departure)| LeavingNotice {
            endpoint: name.clone(),
            incarnation: departure.incarnation,
            source: departure.source.clone(),
            age: now.saturating_duration_since(departure.since),
        });
        leaving.collect()
    }
}
