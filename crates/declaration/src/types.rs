//! Types of the declaration.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use derives::{record, token};
use imbl::OrdMap;

use crate::{CallerLimits, Capacity, Route};

/// Priority from 0, whose requests are shed first, to [`Priority::MAX`], whose are shed last.
#[token]
pub struct Priority(pub u8);

impl Priority {
    /// The highest priority.
    pub const MAX: u8 = 9;
}

/// The whole declaration. A clone shares its workspaces and routes with the original.
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
    /// Limits for callers of routes.
    pub callers: CallerLimits,
}

/// An availability zone.
#[record]
pub struct AvailabilityZone {
    /// Region of the zone.
    pub region: String,
}

/// Kind of back end.
#[token]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Model engines that stream tokens and accept the controller's orders.
    Engine,
    /// A pool of encoders.
    Encoder,
    /// A pool of retrievers.
    Retriever,
    /// A pool of rerankers.
    Reranker,
    /// A plain service.
    Plain,
    /// Model engines operated by others: requests are forwarded to them, but no orders.
    #[serde(rename = "hosted-engine")]
    HostedEngine,
    /// Endpoints that process items of many requests in one call and store the results.
    #[serde(rename = "batch-pool")]
    BatchPool,
}

/// A service, called by the stages of pipelines and by routes.
#[record]
pub struct Service {
    /// Kind of back end.
    pub kind: ServiceKind,
    /// True if a call may be repeated after it may have run.
    pub repeatable: bool,
    /// The model, for an engine.
    pub model: Option<String>,
    /// The model's version, for an engine.
    pub version: Option<u32>,
    /// Adapters that endpoints must have loaded, for an engine.
    pub adapters: Vec<String>,
    /// Maximum number of tokens generated for one request, for an engine.
    pub max_tokens: u32,
    /// Shares of endpoints by role, for an engine; `None` leaves the roles unchanged.
    pub roles: Option<RoleShares>,
    /// Memory that one version of the model occupies at an endpoint, in MB.
    pub model_mb: Option<u32>,
    /// Memory available for models at each endpoint, in MB.
    pub endpoint_mb: Option<u32>,
    /// Capacity of one endpoint.
    pub capacity: Capacity,
}

/// Percentages of a service's endpoints in an availability zone by role; the others have both roles.
#[token]
pub struct RoleShares {
    /// Percentage with the prefill role only.
    pub prefill: u8,
    /// Percentage with the decode role only.
    pub decode: u8,
}

/// A pipeline: stages that run one after the other.
#[record]
pub struct Pipeline {
    /// Names of the called services, in order.
    pub stages: Vec<String>,
    /// Default deadline of a request.
    pub deadline: Duration,
}

/// A workspace, on whose behalf requests are made.
#[record]
pub struct Workspace {
    /// Priority relative to other workspaces.
    pub priority: Priority,
    /// Names of the pipelines that it may call.
    pub pipelines: Vec<String>,
    /// Names of the availability zones that it may use.
    pub availability_zones: Vec<String>,
    /// Maximum number of requests in flight at one gate.
    pub max_in_flight: u32,
    /// Digests of the access keys that identify the workspace on routes.
    pub keys: Vec<KeyDigest>,
    /// Name by which endpoints are told of the workspace, if it differs from the section's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
}

/// SHA-256 of an access key in lowercase hexadecimal; the key itself is never declared.
#[record]
#[derive(Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(pub String);

impl KeyDigest {
    /// Number of hexadecimal digits of a digest.
    const CHARS: usize = 64;

    /// Returns true if it has the form of a digest.
    pub fn is_well_formed(&self) -> bool {
        let is_hex = |c: char| matches!(c, '0'..='9' | 'a'..='f');
        self.0.len() == Self::CHARS && self.0.chars().all(is_hex)
    }
}

impl Declaration {
    /// Returns true if any stage of `pipeline` must not be repeated.
    pub fn has_unrepeatable_stage(&self, pipeline: &Pipeline) -> bool {
        let is_unrepeatable =
            |name: &String| self.services.get(name).is_some_and(|s| !s.repeatable);
        pipeline.stages.iter().any(is_unrepeatable)
    }
}
