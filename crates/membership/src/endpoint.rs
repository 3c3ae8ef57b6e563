//! The announcement that an endpoint sends about itself.

use derives::{record, token};
use uuid::Uuid;

/// Readiness that an endpoint announces.
#[token]
#[serde(rename_all = "lowercase")]
pub enum Readiness {
    /// The endpoint takes new work.
    Ready,
    /// The endpoint finishes its calls and takes no new ones.
    Leaving,
}

/// The phases of a generation that an engine runs.
#[token]
#[derive(Default)]
#[serde(rename_all = "lowercase")]
pub enum StageRole {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only; the engine exports its KV cache.
    Prefill,
    /// Decode only; the engine imports a KV cache.
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

/// Load as measured by the endpoint at `as_of_ms`.
#[record]
#[derive(Default)]
pub struct Load {
    /// Calls in progress.
    #[serde(default)]
    pub running: u32,
    /// Calls waiting in the endpoint's queue.
    #[serde(default)]
    pub queued: u32,
    /// Share of the KV cache in use, 0 to 1.
    #[serde(default)]
    pub kv_used: f64,
    /// Time of measurement by the endpoint's clock, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub as_of_ms: u64,
}

/// The body of `POST /v1/announce`; unknown fields are ignored.
#[record]
pub struct Announcement {
    /// The endpoint's name, unique in the fleet.
    pub endpoint: String,
    /// The service that the endpoint belongs to.
    pub service: String,
    /// The endpoint's availability zone.
    pub az: String,
    /// `http://IP:PORT` on which the endpoint accepts calls.
    pub address: String,
    /// UUIDv7 of this run of the process; a restart has a greater one.
    pub incarnation: Uuid,
    /// Sequence number; increases with each announcement of one incarnation.
    pub seq: u64,
    /// Whether the endpoint takes new work.
    pub state: Readiness,
    /// Models that an engine has loaded; empty for other endpoints.
    #[serde(default)]
    pub models: Vec<LoadedModel>,
    /// The phases that an engine runs; `Both` for other endpoints.
    #[serde(default)]
    pub role: StageRole,
    /// True if the endpoint rejects orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Number of calls that the endpoint runs at once, if it announces one.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Time for which the endpoint stays cold, in milliseconds; 0 if it is warm.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_left_ms: u64,
    /// Load at the time of the announcement.
    #[serde(default)]
    pub load: Load,
}

/// The response to an announcement.
#[record]
pub struct AnnounceResponse {
    /// Time until the next announcement, in milliseconds.
    pub next_ms: u64,
}

/// Leaves the field out for warm endpoints, so that their announcements have the same hash in
/// processes that don't know it.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
fn is_zero(ms: &u64) -> bool {
    *ms == 0
}
