//! Simulated endpoints (engines, pools and plain services) that record what they ran in a journal.

mod announce;
mod cache_events;
mod completions;
mod config;
mod engine;
mod fault;
mod journal;
mod kv;
mod orders;
mod prefix_cache;
mod reply;
mod routed;
mod server;
mod settings;
mod shared;
mod stage;
pub mod weight_store;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eyre::WrapErr;
use membership::{LoadedModel, StageRole};
use tokio::{
    net::TcpListener,
    task::JoinSet,
    time::{Instant, sleep},
};

pub use self::{
    config::{EngineConfig, Kind, StandInConfig},
    fault::Fault,
    journal::{Event, JournalEntry, now_ms},
    prefix_cache::{BLOCK_BYTES, block_hashes},
    routed::STREAM_EVENTS,
    settings::run_file,
};
use self::{journal::CallIdentity, shared::Shared};

/// Interval at which `StandIn::stop` checks for calls in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running stand-in; dropping it aborts its tasks and closes its connections.
#[derive(Debug)]
pub struct StandIn {
    shared: Arc<Shared>,
    address: SocketAddr,
    tasks: JoinSet<()>,
}

/// Starts a stand-in that listens for calls and announces itself to the configured gates.
///
/// Fails if the address cannot be bound or the journal file cannot be opened.
pub async fn start(cfg: StandInConfig) -> eyre::Result<StandIn> {
    let bound = TcpListener::bind(cfg.listen).await;
    let listener = bound.wrap_err_with(|| format!("{}: bind {}", cfg.name, cfg.listen))?;
    let address = listener.local_addr()?;
    let shared = Arc::new(Shared::new(cfg, address)?);
    let mut tasks = JoinSet::new();
    tasks.spawn(server::accept(Arc::clone(&shared), listener));
    tasks.spawn(announce::run(Arc::clone(&shared)));
    if shared.engine.is_some() {
        tasks.spawn(run_engine(Arc::clone(&shared)));
        tasks.spawn(cache_events::run(Arc::clone(&shared)));
    }
    Ok(StandIn {
        shared,
        address,
        tasks,
    })
}

async fn run_engine(shared: Arc<Shared>) {
    if let Some(engine) = &shared.engine {
        engine.run(&shared.faults).await;
    }
}

impl StandIn {
    /// Address on which it accepts calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Endpoint name, as announced.
    pub fn name(&self) -> &str {
        &self.shared.cfg.name
    }

    /// Availability zone, as announced.
    pub fn az(&self) -> &str {
        &self.shared.cfg.az
    }

    /// Journal entries so far, oldest first.
    pub fn journal(&self) -> Vec<JournalEntry> {
        self.shared.journal.entries()
    }

    /// Current role: prefill, decode or both.
    pub fn role(&self) -> StageRole {
        self.shared.orders.role()
    }

    /// Models loaded now.
    pub fn models(&self) -> Vec<LoadedModel> {
        self.shared.orders.models()
    }

    /// Replaces the injected fault; `Fault::None` restores normal operation.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.faults.set(fault);
    }

    /// Names `limit` as the request rate in every response from now on, or none.
    pub fn set_limit(&self, limit: Option<&str>) {
        self.shared.set_limit(limit);
    }

    /// Returns when calls of gates arrived so far, oldest first.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.shared.arrivals()
    }

    /// Replaces the gates that it announces to and announces at once.
    pub fn set_gates(&self, gates: Vec<String>) {
        self.shared.set_gates(gates);
    }

    /// Announces `leaving`; returns once a gate has accepted it or every gate was tried.
    pub async fn leave(&self) {
        self.shared.set_leaving();
        self.shared
            .journal
            .add(&CallIdentity::default(), Event::Leaving);
        announce::announce_once(&self.shared).await;
    }

    /// Announces `leaving`, waits up to `timeout` for calls in flight, then stops.
    pub async fn stop(self, timeout: Duration) {
        self.leave().await;
        let drained = async {
            while self.shared.in_flight() > 0 {
                sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        // Calls still in flight after the timeout are cut off, as by the end of a process.
        let _ = tokio::time::timeout(timeout, drained).await;
        self.kill();
    }

    /// Stops at once without announcing `leaving`; connections are closed.
    pub fn kill(mut self) {
        self.tasks.abort_all();
    }
}
