//! Table of announced endpoints.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use membership::{Announcement, Readiness};
use tokio::time::Instant;

use super::PickPolicy;

/// Time after its last announcement during which an endpoint gets calls.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct KnownEndpoint {
    announcement: Announcement,
    at: Instant,
    in_flight: Arc<AtomicUsize>,
}

/// Endpoints by name, shared by all baseline gates of a run.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: Mutex<BTreeMap<String, KnownEndpoint>>,
    next: AtomicUsize,
}

/// An endpoint picked for one call; dropping it decrements its calls in flight.
#[derive(Debug)]
pub(super) struct PickedEndpoint {
    pub(super) name: String,
    pub(super) address: String,
    in_flight: Arc<AtomicUsize>,
}

impl Drop for PickedEndpoint {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl EndpointTable {
    /// Records an announcement, which replaces the endpoint's previous one.
    pub(super) fn announce(&self, announcement: Announcement) {
        let mut endpoints = self.endpoints.lock().expect("no panic under this lock");
        let name = announcement.endpoint.clone();
        let previous = endpoints.remove(&name);
        let in_flight = previous.map(|known| known.in_flight).unwrap_or_default();
        let known = KnownEndpoint {
            announcement,
            at: Instant::now(),
            in_flight,
        };
        endpoints.insert(name, known);
    }

    /// Picks a ready endpoint of `service` in `az` and counts a call in flight.
    pub(super) fn pick(
        &self,
        service: &str,
        az: &str,
        policy: PickPolicy,
    ) -> Option<PickedEndpoint> {
        let endpoints = self.endpoints.lock().expect("no panic under this lock");
        let is_candidate = |known: &&KnownEndpoint| {
            let a = &known.announcement;
            let is_ready = a.state == Readiness::Ready && known.at.elapsed() < ANNOUNCEMENT_TTL;
            is_ready && a.service == service && a.az == az
        };
        let candidates: Vec<&KnownEndpoint> = endpoints.values().filter(is_candidate).collect();
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        let load = |known: &&&KnownEndpoint| known.in_flight.load(Ordering::SeqCst);
        let known = match policy {
            PickPolicy::RoundRobin => candidates.get(next % candidates.len().max(1)),
            PickPolicy::LeastInFlight => candidates.iter().min_by_key(load),
        }?;
        known.in_flight.fetch_add(1, Ordering::SeqCst);
        Some(PickedEndpoint {
            name: known.announcement.endpoint.clone(),
            address: known.announcement.address.clone(),
            in_flight: Arc::clone(&known.in_flight),
        })
    }
}
