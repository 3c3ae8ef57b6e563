//! What the tasks of one stand-in share.

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
    fault::Faults,
    journal::{Journal, now_ms},
    orders::Orders,
};
use crate::client::Client;

/// Load samples kept for the lag of announcements.
const SAMPLES: usize = 64;

/// What the tasks of one stand-in share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) cfg: StandInConfig,
    pub(crate) url: String,
    pub(crate) incarnation: Uuid,
    pub(crate) journal: Journal,
    pub(crate) faults: Faults,
    pub(crate) orders: Orders,
    pub(crate) client: Client,
    pub(crate) slots: Semaphore,
    pub(crate) waiting: AtomicUsize,
    pub(crate) announce_now: Notify,
    /// The engine, for a stand-in that is one.
    pub(crate) engine: Option<Engine>,
    pub(crate) seq: AtomicU64,
    gates: Mutex<Vec<String>>,
    leaving: AtomicBool,
    running: AtomicUsize,
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
            faults: Faults::default(),
            orders: Orders::new(cfg.models.clone(), cfg.role),
            client: Client::default(),
            slots: Semaphore::new(cfg.concurrency.max(1)),
            waiting: AtomicUsize::new(0),
            announce_now: Notify::new(),
            engine: is_engine
                .then(|| Engine::new(&cfg.service, cfg.engine.clone(), journal.clone())),
            seq: AtomicU64::new(0),
            gates: Mutex::new(cfg.gates.clone()),
            leaving: AtomicBool::new(false),
            running: AtomicUsize::new(0),
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

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    pub(crate) fn set_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Counts one call as running until dropped.
    pub(crate) fn enter(self: &Arc<Self>) -> InFlight {
        self.running.fetch_add(1, Ordering::SeqCst);
        InFlight(Arc::clone(self))
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    /// Time of one call of a pool or plain service: the mean within ±40 %, slowed by faults.
    pub(crate) fn service_time(&self) -> Duration {
        let mut rng = self.rng.lock().expect("no panic under this lock");
        let share = rng.random_range(0.6..1.4) * self.faults.slowness();
        self.cfg.service_time.mul_f64(share)
    }

    /// The load as it is now.
    pub(crate) fn load_now(&self) -> Load {
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

    /// The load as it was one lag ago.
    pub(crate) fn load_with_lag(&self) -> Load {
        let now = Instant::now();
        let current = self.load_now();
        let mut samples = self.samples.lock().expect("no panic under this lock");
        samples.push_back((now, current));
        samples.truncate(SAMPLES);
        let is_old = |(at, _): &(Instant, Load)| now - *at >= self.cfg.load_lag;
        while samples.len() > 1 && samples.get(1).is_some_and(is_old) {
            samples.pop_front();
        }
        samples
            .front()
            .map(|(_, load)| load.clone())
            .unwrap_or_default()
    }
}

/// One call in flight.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<Shared>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}
