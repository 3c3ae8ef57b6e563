//! What readers of the table see.

use std::{sync::Arc, time::Duration};

use derives::{record, token};
use tokio::time::Instant;
use uuid::Uuid;

use crate::{Announcement, LiveState, Readiness};

/// An endpoint in the table: what it announced last and what changes all the time.
#[derive(Debug)]
pub struct Endpoint {
    /// What it announced; load and sequence number may be older than what is known.
    pub announced: Announcement,
    /// Last sign of life and load.
    pub live: Arc<LiveState>,
    /// Silence after which it gets no new work.
    pub suspect_after: Duration,
}

/// What the table thinks of an endpoint.
#[token]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// It takes new work.
    Ready,
    /// It said that it is leaving.
    Leaving,
    /// It has been silent for too long.
    Suspect,
}

impl Endpoint {
    /// What to think of it at `now`.
    pub fn state(&self, now: Instant) -> EndpointState {
        match self.announced.state {
            Readiness::Leaving => EndpointState::Leaving,
            Readiness::Ready if self.live.silence(now) >= self.suspect_after => {
                EndpointState::Suspect
            }
            Readiness::Ready => EndpointState::Ready,
        }
    }

    /// Whether it takes new work at `now`.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.state(now) == EndpointState::Ready
    }
}

/// The endpoints of one service.
#[derive(Debug, Default)]
pub struct ServiceSnapshot {
    /// Grows with each change but load and signs of life; unique in one table.
    pub version: u64,
    /// The endpoints by name, leaving and suspect ones included.
    pub endpoints: Vec<Arc<Endpoint>>,
}

/// An endpoint as `GET /v1/endpoints` and controllers see it.
#[record]
pub struct EndpointView {
    /// Its name.
    pub endpoint: String,
    /// The service of which it is a worker.
    pub service: String,
    /// Its availability zone.
    pub az: String,
    /// `http://IP:PORT` at which it takes calls and orders.
    pub address: String,
    /// Distinguishes restarts.
    pub incarnation: Uuid,
    /// What the table thinks of it.
    pub state: EndpointState,
    /// Models loaded, for an engine.
    pub models: Vec<crate::LoadedModel>,
    /// What part of a generation it does, for an engine.
    pub role: crate::StageRole,
    /// Whether it refuses orders that carry an old fencing number.
    pub checks_fencing: bool,
    /// Calls that it runs at once, where it says so.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Calls that run or wait, as last reported.
    pub calls: u32,
    /// Time since its last announcement in milliseconds.
    pub silent_ms: u64,
}

impl EndpointView {
    /// The view of `endpoint` at `now`.
    pub(crate) fn of(endpoint: &Endpoint, now: Instant) -> Self {
        let a = &endpoint.announced;
        Self {
            endpoint: a.endpoint.clone(),
            service: a.service.clone(),
            az: a.az.clone(),
            address: a.address.clone(),
            incarnation: a.incarnation,
            state: endpoint.state(now),
            models: a.models.clone(),
            role: a.role,
            checks_fencing: a.checks_fencing,
            slots: a.slots,
            calls: endpoint.live.reported_load(now).calls,
            silent_ms: endpoint.live.silence(now).as_millis() as u64,
        }
    }
}
