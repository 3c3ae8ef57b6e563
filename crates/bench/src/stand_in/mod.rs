//! Stand-ins for endpoints: engines, pools and plain services, with a journal of what they ran.

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
mod server;
mod settings;
mod shared;
mod stage;
pub mod weight_store;
mod whole;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eyre::WrapErr;
use membership::{LoadedModel, StageRole};
use tokio::{net::TcpListener, task::JoinSet, time::sleep};

pub use self::{
    config::{EngineConfig, Kind, StandInConfig},
    fault::Fault,
    journal::{Event, JournalEntry, now_ms},
    prefix_cache::{BLOCK_BYTES, block_hashes},
    settings::run_file,
    whole::STREAM_EVENTS,
};
use self::{journal::CallName, shared::Shared};

/// How often a stop looks whether calls are still in flight.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// A running stand-in; dropping it ends it at once.
#[derive(Debug)]
pub struct StandIn {
    shared: Arc<Shared>,
    address: SocketAddr,
    tasks: JoinSet<()>,
}

/// Listens and announces itself.
pub async fn start(cfg: StandInConfig) -> eyre::Result<StandIn> {
    let bound = TcpListener::bind(cfg.listen).await;
    let listener = bound.wrap_err_with(|| format!("{}: bind {}", cfg.name, cfg.listen))?;
    let address = listener.local_addr()?;
    let shared = Arc::new(Shared::new(cfg, address)?);
    let mut tasks = JoinSet::new();
    tasks.spawn(server::accept(Arc::clone(&shared), listener));
    tasks.spawn(announce::run(Arc::clone(&shared)));
    if shared.engine.is_some() {
        tasks.spawn(decode(Arc::clone(&shared)));
        tasks.spawn(cache_events::run(Arc::clone(&shared)));
    }
    Ok(StandIn {
        shared,
        address,
        tasks,
    })
}

async fn decode(shared: Arc<Shared>) {
    if let Some(engine) = &shared.engine {
        engine.run(&shared.faults).await;
    }
}

impl StandIn {
    /// Where it takes calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.shared.cfg.name
    }

    /// Its availability zone.
    pub fn az(&self) -> &str {
        &self.shared.cfg.az
    }

    /// What it ran so far.
    pub fn journal(&self) -> Vec<JournalEntry> {
        self.shared.journal.entries()
    }

    /// The part of a generation that it does now.
    pub fn role(&self) -> StageRole {
        self.shared.orders.role()
    }

    /// Models that it has loaded.
    pub fn models(&self) -> Vec<LoadedModel> {
        self.shared.orders.models()
    }

    /// Shows `fault` from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.faults.set(fault);
    }

    /// Announces to these gates from now on.
    pub fn set_gates(&self, gates: Vec<String>) {
        self.shared.set_gates(gates);
    }

    /// Announces `leaving`; returns once a gate took it or each was tried.
    pub async fn leave(&self) {
        self.shared.set_leaving();
        self.shared
            .journal
            .add(&CallName::default(), Event::Leaving);
        announce::once(&self.shared).await;
    }

    /// Leaves, waits up to `limit` until nothing is in flight, and ends.
    pub async fn stop(self, limit: Duration) {
        self.leave().await;
        let drained = async {
            while self.shared.in_flight() > 0 {
                sleep(DRAIN_POLL).await;
            }
        };
        // What is still in flight after the limit is cut off, as a process that ends would.
        let _ = tokio::time::timeout(limit, drained).await;
        self.kill();
    }

    /// Ends at once, without a word; connections are cut.
    pub fn kill(mut self) {
        self.tasks.abort_all();
    }
}
