//! What operators declare, as types.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use derives::{record, token};
use imbl::OrdMap;

use crate::{CallerLimits, Capacity, Route};

/// A workspace's priority from 0 (first to be shed) to [`Priority::MAX`] (last to be shed).
#[token]
pub struct Priority(pub u8);

impl Priority {
    /// The highest priority.
    pub const MAX: u8 = 9;
}

/// The whole intent of the operators. A clone shares its workspaces and routes with the original.
#[record]
#[derive(Default)]
pub struct Declaration {
    /// Availability zones by name.
    pub availability_zones: BTreeMap<String, AvailabilityZone>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Pipelines by name.
    pub pipelines: BTreeMap<String, Pipeline>,
    /// Workspaces by name.
    pub workspaces: OrdMap<String, Workspace>,
    /// Routes by name.
    pub routes: OrdMap<String, Arc<Route>>,
    /// What callers of routes may send.
    pub callers: CallerLimits,
}

/// An availability zone.
#[record]
pub struct AvailabilityZone {
    /// The region in which it lies.
    pub region: String,
}

/// What kind of back end a service is.
#[token]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// A model engine that streams tokens and takes orders.
    Engine,
    /// A pool of encoders.
    Encoder,
    /// A pool of retrievers.
    Retriever,
    /// A pool of rerankers.
    Reranker,
    /// A plain service.
    Plain,
    /// Model engines that others operate: they are served and get no orders.
    #[serde(rename = "hosted-engine")]
    HostedEngine,
    /// Endpoints that do items of many requests in one call and keep the results.
    #[serde(rename = "batch-pool")]
    BatchPool,
}

/// A service: what a stage calls.
#[record]
pub struct Service {
    /// Kind of back end.
    pub kind: ServiceKind,
    /// Whether a call may be made again after it may have run.
    pub repeatable: bool,
    /// The model, for an engine.
    pub model: Option<String>,
    /// The model's version, for an engine.
    pub version: Option<u32>,
    /// Adapters that endpoints must have loaded, for an engine.
    pub adapters: Vec<String>,
    /// Most tokens generated for one request, for an engine.
    pub max_tokens: u32,
    /// How many endpoints take which role, for an engine; none leaves roles as they are.
    pub roles: Option<RoleShares>,
    /// Memory that one version of the model takes at an endpoint, in MB.
    pub model_mb: Option<u32>,
    /// Memory for models at each endpoint, in MB.
    pub endpoint_mb: Option<u32>,
    /// What one endpoint can carry.
    pub capacity: Capacity,
}

/// Shares of a service's endpoints in an availability zone by role, in percent; the rest do both.
#[token]
pub struct RoleShares {
    /// Prefill only.
    pub prefill: u8,
    /// Decode only.
    pub decode: u8,
}

/// A pipeline: stages in turn.
#[record]
pub struct Pipeline {
    /// Names of the services called, first to last.
    pub stages: Vec<String>,
    /// Deadline of a request that names none.
    pub deadline: Duration,
}

/// A workspace: on whose behalf requests come.
#[record]
pub struct Workspace {
    /// Priority against other workspaces.
    pub priority: Priority,
    /// Pipelines it may call.
    pub pipelines: Vec<String>,
    /// Availability zones it may use.
    pub availability_zones: Vec<String>,
    /// Most requests in flight at one gate.
    pub max_in_flight: u32,
    /// Digests of the access keys that stand for it on routes.
    pub keys: Vec<KeyDigest>,
}

/// SHA-256 of an access key in hexadecimal; the key itself is never declared.
#[record]
#[derive(Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(pub String);

impl KeyDigest {
    /// Characters of a digest.
    const CHARS: usize = 64;

    /// Whether it has the form of a digest.
    pub fn is_well_formed(&self) -> bool {
        let is_hex = |c: char| matches!(c, '0'..='9' | 'a'..='f');
        self.0.len() == Self::CHARS && self.0.chars().all(is_hex)
    }
}

impl Declaration {
    /// Whether any stage of `pipeline` may run at most once.
    pub fn has_unrepeatable_stage(&self, pipeline: &Pipeline) -> bool {
        let is_unrepeatable =
            |name: &String| self.services.get(name).is_some_and(|s| !s.repeatable);
        pipeline.stages.iter().any(is_unrepeatable)
    }
}
