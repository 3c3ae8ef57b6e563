//! Configuration of stand-ins.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use derives::token;
use membership::{LoadedModel, StageRole};

/// Kind of back end that a stand-in simulates.
#[token]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A worker of an encoder, retriever or reranker pool.
    Pool,
    /// A plain service: it completes a call even if the caller disconnects, and the checks count its
    /// executions by idempotency key.
    Plain,
}

/// Batching, caching and loading of a simulated engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Maximum number of sequences in a batch.
    pub max_batch: usize,
    /// Number of queued sequences at which further calls are refused.
    pub queue_limit: usize,
    /// Duration of a decode step with one sequence.
    pub decode_step: Duration,
    /// Time that each further sequence adds to a decode step.
    pub extra_step_per_sequence: Duration,
    /// Prefill time per prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Time that a generation without a reader keeps running, so that it can be resumed.
    pub resume_window: Duration,
    /// Interval at which cache events are published.
    pub event_delay: Duration,
    /// One of this many batches of cache events is lost; 0 for none.
    pub event_loss_interval: u64,
    /// Time to load a model without a weight store.
    pub load_time: Duration,
    /// Base URL of the weight store, `http://IP:PORT`; `None` to simulate loads by `load_time`.
    pub weight_store: Option<String>,
    /// Maximum number of models loaded at once; `None` for no limit.
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

/// Configuration of one stand-in.
#[derive(Clone, Debug)]
pub struct StandInConfig {
    /// Endpoint name, unique in the fleet.
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Availability zone.
    pub az: String,
    /// Kind of back end.
    pub kind: Kind,
    /// Base URLs of the gates, `http://IP:PORT`, tried in order for each announcement.
    pub gates: Vec<String>,
    /// Models loaded at the start, for an engine; if empty, any model is accepted.
    pub models: Vec<LoadedModel>,
    /// Initial role, for an engine: prefill, decode or both.
    pub role: StageRole,
    /// Refuses orders with an old fencing token if true.
    pub checks_fencing: bool,
    /// Interval of announcements.
    pub announce_interval: Duration,
    /// Age of the load figures in announcements.
    pub load_lag: Duration,
    /// Bearer token for announcements.
    pub token: Option<String>,
    /// Address to listen on; port 0 lets the kernel choose.
    pub listen: SocketAddr,
    /// Base URL to announce instead of its own, for instance that of a proxy.
    pub announced_address: Option<String>,
    /// Mean duration of a call, for pools and plain services.
    pub service_time: Duration,
    /// Maximum number of concurrent calls, for pools and plain services.
    pub concurrency: usize,
    /// Number of waiting calls at which further ones are refused, for pools and plain services.
    pub queue_limit: usize,
    /// Settings of the engine, if it is one.
    pub engine: EngineConfig,
    /// File to which the journal is appended as JSON lines.
    pub journal_file: Option<PathBuf>,
    /// Seed of the random service times.
    pub seed: u64,
}

impl StandInConfig {
    /// Returns a configuration with short service times on loopback and no gates.
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
