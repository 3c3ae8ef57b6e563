//! How a stand-in behaves.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use derives::token;
use membership::{LoadedModel, StageRole};

/// What kind of back end a stand-in plays.
#[token]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A worker of an encoder, retriever or reranker pool.
    Pool,
    /// A plain service whose executions by idempotency key are counted.
    Plain,
}

/// How an engine stand-in batches and caches.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Sequences in one batch.
    pub max_batch: usize,
    /// Sequences that wait beyond the batch before calls are refused.
    pub queue_limit: usize,
    /// Time of one decode step with one sequence.
    pub decode_step: Duration,
    /// What each further sequence adds to a step.
    pub extra_step_per_sequence: Duration,
    /// Prefill time for each prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// How long a generation without reader goes on, awaiting a resume.
    pub resume_window: Duration,
    /// How late cache events are published.
    pub event_delay: Duration,
    /// Every how many cache events one is lost; 0 for none.
    pub event_loss_interval: u64,
    /// Time to load a model without a weight store.
    pub load_time: Duration,
    /// Weight store from which models are fetched, `http://IP:PORT`.
    pub weight_store: Option<String>,
    /// Models for which it has memory at one time; `None` for any number.
    pub max_models: Option<usize>,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            max_batch: 16,
            queue_limit: 64,
            decode_step: Duration::from_millis(4),
            extra_step_per_sequence: Duration::from_micros(200),
            prefill_per_token: Duration::from_micros(20),
            cache_blocks: 512,
            resume_window: Duration::from_secs(2),
            event_delay: Duration::from_millis(200),
            event_loss_interval: 17,
            load_time: Duration::from_millis(300),
            weight_store: None,
            max_models: None,
        }
    }
}

/// A stand-in for one endpoint.
#[derive(Clone, Debug)]
pub struct StandInConfig {
    /// Name, unique in the fleet.
    pub name: String,
    /// The service of which it is a worker.
    pub service: String,
    /// Availability zone.
    pub az: String,
    /// Kind of back end.
    pub kind: Kind,
    /// `http://IP:PORT` of gates to announce to; the next when one fails.
    pub gates: Vec<String>,
    /// Models loaded at the start, for an engine; empty accepts any.
    pub models: Vec<LoadedModel>,
    /// Part of a generation that it does, for an engine.
    pub role: StageRole,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Interval of announcements.
    pub announce_interval: Duration,
    /// Age of the load that it announces.
    pub load_lag: Duration,
    /// Bearer token for announcements.
    pub token: Option<String>,
    /// Where it listens; port 0 is given by the kernel.
    pub listen: SocketAddr,
    /// Base URL to announce in place of its own, such as a proxy's.
    pub announced_address: Option<String>,
    /// Mean time of one call, for pools and plain services.
    pub service_time: Duration,
    /// Calls run at once, for pools and plain services.
    pub concurrency: usize,
    /// Calls that wait before further ones are refused, for pools and plain services.
    pub queue_limit: usize,
    /// Batching and cache, for an engine.
    pub engine: EngineConfig,
    /// File to which the journal is appended as JSON lines.
    pub journal_file: Option<PathBuf>,
    /// Seed of its random choices.
    pub seed: u64,
}

impl StandInConfig {
    /// A quick stand-in on loopback that announces to nobody.
    pub fn new(name: &str, service: &str, az: &str, kind: Kind) -> Self {
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            az: az.to_owned(),
            kind,
            gates: Vec::new(),
            models: Vec::new(),
            role: StageRole::Both,
            checks_fencing: true,
            announce_interval: Duration::from_millis(500),
            load_lag: Duration::from_millis(200),
            token: None,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            announced_address: None,
            service_time: Duration::from_millis(5),
            concurrency: 8,
            queue_limit: 64,
            engine: EngineConfig::default(),
            journal_file: None,
            seed: 1,
        }
    }
}
