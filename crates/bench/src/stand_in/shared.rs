//! State shared by the tasks of a stand-in.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use membership::Load;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::{
    sync::{Notify, Semaphore},
    time::Instant,
};
use uuid::Uuid;

use super::{
    config::{Kind, StandInConfig},
    engine::Engine,
    fault::FaultState,
    journal::{Journal, now_ms},
    orders::Orders,
};
use crate::client::Client;

/// Maximum number of load samples kept to announce the load with a lag.
const MAX_LOAD_SAMPLES: usize = 64;

/// State shared by the tasks of a stand-in.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) cfg: StandInConfig,
    pub(crate) url: String,
    pub(crate) incarnation: Uuid,
    pub(crate) journal: Journal,
    pub(crate) faults: FaultState,
    pub(crate) orders: Orders,
    pub(crate) client: Client,
    pub(crate) slots: Semaphore,
    pub(crate) waiting: AtomicUsize,
    pub(crate) announce_now: Notify,
    /// Present for `Kind::Engine` only.
    pub(crate) engine: Option<Engine>,
    pub(crate) seq: AtomicU64,
    gates: Mutex<Vec<String>>,
    /// Request rate that every response names.
    limit: Mutex<Option<String>>,
    /// When calls of gates arrived.
    arrivals: Mutex<Vec<Instant>>,
    leaving: AtomicBool,
    in_flight: AtomicUsize,
    samples: Mutex<VecDeque<(Instant, Load)>>,
    rng: Mutex<SmallRng>,
}

impl Shared {
    pub(crate) fn new(cfg: StandInConfig, address: SocketAddr) -> eyre::Result<Self> {
        let journal = Journal::new(&cfg.name, &cfg.service, cfg.journal_file.as_deref())?;
        let is_engine = cfg.kind == Kind::Engine;
        let own_url = format!("http://{address}");
        Ok(Self {
            url: cfg.announced_address.clone().unwrap_or(own_url),
            incarnation: Uuid::now_v7(),
            faults: FaultState::default(),
            orders: Orders::new(cfg.models.clone(), cfg.role),
            client: Client::default(),
            slots: Semaphore::new(cfg.concurrency.max(1)),
            waiting: AtomicUsize::new(0),
            announce_now: Notify::new(),
            engine: is_engine
                .then(|| Engine::new(&cfg.service, cfg.engine.clone(), journal.clone())),
            seq: AtomicU64::new(0),
            gates: Mutex::new(cfg.gates.clone()),
            limit: Mutex::default(),
            arrivals: Mutex::default(),
            leaving: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            samples: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(cfg.seed)),
            journal,
            cfg,
        })
    }

    pub(crate) fn gates(&self) -> Vec<String> {
        self.gates.lock().expect("no panic under this lock").clone()
    }

    pub(crate) fn set_gates(&self, gates: Vec<String>) {
        *self.gates.lock().expect("no panic under this lock") = gates;
        self.announce_now.notify_one();
    }

    pub(crate) fn set_limit(&self, limit: Option<&str>) {
        *self.limit.lock().expect("no panic under this lock") = limit.map(str::to_owned);
    }

    pub(crate) fn limit(&self) -> Option<String> {
        self.limit.lock().expect("no panic under this lock").clone()
    }

    pub(crate) fn record_arrival(&self) {
        let mut arrivals = self.arrivals.lock().expect("no panic under this lock");
        arrivals.push(Instant::now());
    }

    pub(crate) fn arrivals(&self) -> Vec<Instant> {
        let arrivals = self.arrivals.lock().expect("no panic under this lock");
        arrivals.clone()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    pub(crate) fn set_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Counts a call as in flight until the returned guard is dropped.
    pub(crate) fn track_call(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(Arc::clone(self))
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Returns a random duration for a call of a pool or plain service: the configured mean ±40 %,
    /// times the slowdown of the injected fault.
    pub(crate) fn service_time(&self) -> Duration {
        let mut rng = self.rng.lock().expect("no panic under this lock");
        let factor = rng.random_range(0.6..1.4) * self.faults.slowdown();
        self.cfg.service_time.mul_f64(factor)
    }

    /// Returns the current load.
    pub(crate) fn current_load(&self) -> Load {
        let as_of_ms = now_ms();
        if let Some(engine) = &self.engine {
            let load = engine.load();
            return Load {
                running: load.running as u32,
                queued: load.queued as u32,
                kv_used: load.kv_used,
                as_of_ms,
            };
        }
        let waiting = self.waiting.load(Ordering::SeqCst);
        Load {
            running: self.in_flight().saturating_sub(waiting) as u32,
            queued: waiting as u32,
            kv_used: 0.0,
            as_of_ms,
        }
    }

    /// Records the current load and returns the load of about `load_lag` ago.
    pub(crate) fn delayed_load(&self) -> Load {
        let now = Instant::now();
        let current = self.current_load();
        let mut samples = self.samples.lock().expect("no panic under this lock");
        samples.push_back((now, current));
        samples.truncate(MAX_LOAD_SAMPLES);
        let is_old_enough = |(at, _): &(Instant, Load)| now - *at >= self.cfg.load_lag;
        while samples.len() > 1 && samples.get(1).is_some_and(is_old_enough) {
            samples.pop_front();
        }
        samples
            .front()
            .map(|(_, load)| load.clone())
            .unwrap_or_default()
    }
}

/// Counts a call as in flight until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<Shared>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
