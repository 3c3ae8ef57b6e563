//! What a call needs of an endpoint, and what became of the call.

use std::time::Duration;

use derives::{record, value};
use membership::{Announcement, Load, StageRole};
use thiserror::Error;
use uuid::Uuid;

/// The model that an engine must have loaded.
#[value]
#[derive(Copy)]
pub struct ModelRequirement<'a> {
    /// Model name.
    pub model: &'a str,
    /// Model version.
    pub version: u32,
    /// Adapters, all of which must be loaded with it.
    pub adapters: &'a [String],
}

/// What a call needs.
#[value]
#[derive(Copy, Default)]
pub struct CallRequirements<'a> {
    /// The service to call.
    pub service: &'a str,
    /// The model, for an engine.
    pub model: Option<ModelRequirement<'a>>,
    /// The part of a generation, where only one is wanted.
    pub role: Option<StageRole>,
    /// Availability zones that the workspace may use; empty allows all.
    pub azs: &'a [String],
    /// The prompt, for affinity to endpoints that hold its prefix.
    pub prompt: Option<&'a [u8]>,
    /// Endpoints already tried for this stage.
    pub avoid: &'a [String],
    /// Time left for the answer; endpoints where calls wait for longer are left out.
    pub remaining: Option<Duration>,
}

/// Which versions of a needed model will do.
#[value]
#[derive(Copy)]
pub(crate) enum Versions {
    /// The one that is needed.
    Needed,
    /// Any.
    Any,
}

impl CallRequirements<'_> {
    /// Whether an endpoint that announced `a` has the model and does the part wanted.
    pub(crate) fn are_met_by(&self, a: &Announcement, versions: Versions) -> bool {
        let has_model = self.model.is_none_or(|model| {
            a.models.iter().any(|loaded| {
                loaded.model == model.model
                    && (versions == Versions::Any || loaded.version == model.version)
                    && model.adapters.iter().all(|x| loaded.adapters.contains(x))
            })
        });
        let does_part = match self.role {
            None => true,
            Some(role) => a.role == role || a.role == StageRole::Both,
        };
        has_model && does_part
    }
}

/// Why no endpoint can take a call.
#[value]
#[derive(Copy, Error)]
pub enum NoEndpoint {
    /// The service has no endpoint that takes new work.
    #[error("pick endpoint: the service has none that is ready")]
    NoneReady,
    /// Endpoints are ready, none in an availability zone that the workspace may use.
    #[error("pick endpoint: none in an allowed availability zone")]
    NotAllowed,
    /// Endpoints are ready, none with the model, version, adapters or role.
    #[error("pick endpoint: none has the model, version, adapters and role")]
    NoModel,
    /// Every endpoint that could take it has asked for a pause.
    #[error("pick endpoint: all asked for a pause; try again in {retry_after:?}")]
    Paused {
        /// When the first of them takes work again.
        retry_after: Duration,
    },
    /// Every endpoint that could take it was tried or is ejected.
    #[error("pick endpoint: all were tried or are ejected after failures")]
    AllTried,
    /// Every endpoint that could take it is at its limit of calls in flight.
    #[error("pick endpoint: all are at their limits; try again in {retry_after:?}")]
    Busy {
        /// When a place is likely to be free.
        retry_after: Duration,
    },
}

/// What became of a call, as far as it tells about the endpoint.
#[value]
#[derive(Copy)]
pub enum CallOutcome {
    /// It answered.
    Answered,
    /// It said that it did not take the call; a sign of load, not of failure.
    Refused,
    /// The connection was refused or lost, or the answer was an error of the endpoint.
    Failed,
    /// It did not answer in time.
    Stalled,
    /// We gave up for reasons of our own; tells nothing about the endpoint.
    Cancelled,
}

/// What a call told about its endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// What became of it.
    pub outcome: CallOutcome,
    /// Time until the first byte of the answer.
    pub first_byte: Option<Duration>,
    /// Time until its end.
    pub elapsed: Duration,
    /// Prompt tokens that the engine says it had cached, and prompt tokens in all.
    pub cache_usage: Option<CacheUsage>,
    /// Load that rode on the answer.
    pub load: Option<Load>,
}

impl Observation {
    /// An observation of nothing but the outcome and the time it took.
    pub fn new(outcome: CallOutcome, elapsed: Duration) -> Self {
        Self {
            outcome,
            first_byte: None,
            elapsed,
            cache_usage: None,
            load: None,
        }
    }
}

/// How much of a prompt an engine had cached.
#[value]
#[derive(Copy)]
pub struct CacheUsage {
    /// Tokens found in the cache.
    pub cached: u32,
    /// Tokens of the prompt.
    pub prompt: u32,
}

/// The body of `POST /v1/cache-events`.
#[record]
pub struct CacheEvents {
    /// Whose cache changed.
    pub endpoint: String,
    /// Its incarnation.
    pub incarnation: Uuid,
    /// Grows by one with each batch; a jump shows a gap.
    pub seq: u64,
    /// Hashes of prompt blocks added.
    #[serde(default)]
    pub stored: Vec<u64>,
    /// Hashes of prompt blocks evicted.
    #[serde(default)]
    pub removed: Vec<u64>,
}
