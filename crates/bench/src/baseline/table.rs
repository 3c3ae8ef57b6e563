//! Endpoints by name, as they announced themselves.

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

use super::Policy;

/// How long an endpoint counts as there after its last announcement.
const SILENCE: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Seen {
    announcement: Announcement,
    at: Instant,
    in_flight: Arc<AtomicUsize>,
}

/// The endpoints that baseline gates know.
#[derive(Debug, Default)]
pub struct Table {
    endpoints: Mutex<BTreeMap<String, Seen>>,
    turn: AtomicUsize,
}

/// An endpoint picked for one call; dropping it ends the call's count.
#[derive(Debug)]
pub(super) struct Picked {
    pub(super) name: String,
    pub(super) address: String,
    in_flight: Arc<AtomicUsize>,
}

impl Drop for Picked {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Table {
    /// Takes an announcement in.
    pub(super) fn announce(&self, announcement: Announcement) {
        let mut endpoints = self.endpoints.lock().expect("no panic under this lock");
        let name = announcement.endpoint.clone();
        let before = endpoints.remove(&name);
        let in_flight = before.map(|seen| seen.in_flight).unwrap_or_default();
        let seen = Seen {
            announcement,
            at: Instant::now(),
            in_flight,
        };
        endpoints.insert(name, seen);
    }

    /// Picks an endpoint of `service` in `az`.
    pub(super) fn pick(&self, service: &str, az: &str, policy: Policy) -> Option<Picked> {
        let endpoints = self.endpoints.lock().expect("no panic under this lock");
        let is_fit = |seen: &&Seen| {
            let a = &seen.announcement;
            let is_ready = a.state == Readiness::Ready && seen.at.elapsed() < SILENCE;
            is_ready && a.service == service && a.az == az
        };
        let fit: Vec<&Seen> = endpoints.values().filter(is_fit).collect();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let load = |seen: &&&Seen| seen.in_flight.load(Ordering::SeqCst);
        let seen = match policy {
            Policy::RoundRobin => fit.get(turn % fit.len().max(1)),
            Policy::LeastInFlight => fit.iter().min_by_key(load),
        }?;
        seen.in_flight.fetch_add(1, Ordering::SeqCst);
        Some(Picked {
            name: seen.announcement.endpoint.clone(),
            address: seen.announcement.address.clone(),
            in_flight: Arc::clone(&seen.in_flight),
        })
    }
}
