//! What endpoints announce of themselves.

use derives::{record, token};
use uuid::Uuid;

/// Whether an endpoint takes new work.
#[token]
#[serde(rename_all = "lowercase")]
pub enum Readiness {
    /// It takes new work.
    Ready,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// What part of a generation an engine does.
#[token]
#[derive(Default)]
#[serde(rename_all = "lowercase")]
pub enum StageRole {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only; it exports its KV cache.
    Prefill,
    /// Decode only; it imports a KV cache.
    Decode,
}

/// A model that an engine has loaded.
#[record]
#[derive(Eq)]
pub struct LoadedModel {
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: u32,
    /// Adapters loaded with it.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// Load as the endpoint saw it some time ago.
#[record]
#[derive(Default)]
pub struct Load {
    /// Calls that run.
    #[serde(default)]
    pub running: u32,
    /// Calls that wait.
    #[serde(default)]
    pub queued: u32,
    /// Share of the KV cache in use, 0 to 1.
    #[serde(default)]
    pub kv_used: f64,
    /// When it was measured, in milliseconds since the Unix epoch by the endpoint's clock.
    #[serde(default)]
    pub as_of_ms: u64,
}

/// The body of `POST /v1/announce`; unknown members are ignored.
#[record]
pub struct Announcement {
    /// The endpoint's name, unique in the fleet.
    pub endpoint: String,
    /// The service of which it is a worker.
    pub service: String,
    /// Its availability zone.
    pub az: String,
    /// `http://IP:PORT` at which it takes calls.
    pub address: String,
    /// Distinguishes restarts; a UUIDv7, so that a later one is greater.
    pub incarnation: Uuid,
    /// Grows with each announcement of one incarnation.
    pub seq: u64,
    /// Whether it takes new work.
    pub state: Readiness,
    /// Models loaded, for an engine.
    #[serde(default)]
    pub models: Vec<LoadedModel>,
    /// What part of a generation it does, for an engine.
    #[serde(default)]
    pub role: StageRole,
    /// Whether it refuses orders that carry an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Calls that it runs at once, where it says so.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Its load.
    #[serde(default)]
    pub load: Load,
}

/// The answer to an announcement.
#[record]
pub struct AnnounceResponse {
    /// When to announce again, in milliseconds.
    pub next_ms: u64,
}
