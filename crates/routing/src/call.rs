//! Requirements of a call and what was observed of its result.

use std::time::Duration;

use derives::{record, value};
use membership::{Announcement, Load, StageRole};
use thiserror::Error;
use uuid::Uuid;

/// Model that an engine must have loaded.
#[value]
#[derive(Copy)]
pub struct ModelRequirement<'a> {
    /// Model name.
    pub model: &'a str,
    /// Model version.
    pub version: u32,
    /// Adapters that must all be loaded with the model.
    pub adapters: &'a [String],
}

/// Requirements that an endpoint must meet to be picked for a call.
#[value]
#[derive(Copy, Default)]
pub struct CallRequirements<'a> {
    /// Name of the service to call.
    pub service: &'a str,
    /// Model that the endpoint must have loaded; `None` if the service is not an engine.
    pub model: Option<ModelRequirement<'a>>,
    /// Generation phase that the endpoint must serve; `None` accepts all roles.
    pub role: Option<StageRole>,
    /// Availability zones that the workspace may use. Empty allows all.
    pub azs: &'a [String],
    /// Availability zones that are evacuated: their endpoints are excluded.
    pub evacuated_azs: &'a [String],
    /// Prompt, used for affinity to endpoints that have its prefix cached.
    pub prompt: Option<&'a [u8]>,
    /// Names of endpoints that were already tried for this stage.
    pub avoid: &'a [String],
    /// Time remaining for the response. Endpoints where calls wait longer are excluded.
    pub remaining: Option<Duration>,
}

/// Versions of a required model that are accepted.
#[value]
#[derive(Copy)]
pub(crate) enum Versions {
    /// Only the required version.
    Required,
    /// Any version.
    Any,
}

impl CallRequirements<'_> {
    /// Returns true if an endpoint that announced `a` has the model and serves the role.
    pub(crate) fn are_met_by(&self, a: &Announcement, versions: Versions) -> bool {
        let has_model = self.model.is_none_or(|model| {
            a.models.iter().any(|loaded| {
                loaded.model == model.model
                    && (versions == Versions::Any || loaded.version == model.version)
                    && model
                        .adapters
                        .iter()
                        .all(|adapter| loaded.adapters.contains(adapter))
            })
        });
        let has_role = match self.role {
            None => true,
            Some(role) => a.role == role || a.role == StageRole::Both,
        };
        has_model && has_role
    }
}

/// Reason why no endpoint can take a call.
#[value]
#[derive(Copy, Error)]
pub enum NoEndpoint {
    /// The service has no endpoint that accepts new calls.
    #[error("pick endpoint: the service has none that is ready")]
    NoneReady,
    /// No ready endpoint is in an availability zone that the workspace may use.
    #[error("pick endpoint: none in an allowed availability zone")]
    NotAllowed,
    /// Every ready endpoint that the workspace may use is in an evacuated availability zone.
    #[error("pick endpoint: all are in evacuated availability zones")]
    Evacuated,
    /// No ready endpoint has the model, version, adapters and role.
    #[error("pick endpoint: none has the model, version, adapters and role")]
    NoModel,
    /// Every suitable endpoint requested a pause.
    #[error("pick endpoint: all asked for a pause; try again in {retry_after:?}")]
    Paused {
        /// Time until the first pause ends.
        retry_after: Duration,
    },
    /// Every suitable endpoint requested a pause, or its request rate is used up.
    #[error("pick endpoint: their request rates are used up; try again in {retry_after:?}")]
    Limited {
        /// Time until the first endpoint takes a call of this gate.
        retry_after: Duration,
    },
    /// Every suitable endpoint was tried or is ejected.
    #[error("pick endpoint: all were tried or are ejected after failures")]
    AllTried,
    /// Every suitable endpoint is at its limit of calls in flight.
    #[error("pick endpoint: all are at their limits; try again in {retry_after:?}")]
    Busy {
        /// Time until an endpoint is likely to have capacity.
        retry_after: Duration,
    },
}

/// Outcome of a call, as a signal about its endpoint.
#[value]
#[derive(Copy)]
pub enum CallOutcome {
    /// The endpoint answered.
    Answered,
    /// The endpoint refused the call without running it, which signals load, not failure.
    Refused,
    /// The connection was refused or lost, or the endpoint answered with an error of its own.
    Failed,
    /// The endpoint did not answer in time.
    Stalled,
    /// The gate cancelled the call. Carries no information about the endpoint.
    Cancelled,
}

/// What a call revealed about its endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Outcome of the call.
    pub outcome: CallOutcome,
    /// Time to the first byte of the response.
    pub first_byte: Option<Duration>,
    /// Time to the end of the response.
    pub elapsed: Duration,
    /// Cache usage reported by an engine.
    pub cache_usage: Option<CacheUsage>,
    /// Load reported with the response.
    pub load: Option<Load>,
}

impl Observation {
    /// Creates an observation of only the outcome and the elapsed time.
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

/// How much of a prompt was found in an engine's prefix cache.
#[value]
#[derive(Copy)]
pub struct CacheUsage {
    /// Prompt tokens found in the cache.
    pub cached: u32,
    /// Prompt tokens in total.
    pub prompt: u32,
}

/// Body of `POST /v1/cache-events`.
#[record]
pub struct CacheEvents {
    /// Name of the endpoint whose cache changed.
    pub endpoint: String,
    /// Incarnation of the endpoint.
    pub incarnation: Uuid,
    /// Sequence number. Increases by 1 with each batch, so that a jump reveals lost batches.
    pub seq: u64,
    /// Hashes of prompt blocks added to the cache.
    #[serde(default)]
    pub stored: Vec<u64>,
    /// Hashes of prompt blocks evicted from the cache.
    #[serde(default)]
    pub removed: Vec<u64>,
}
