//! The table as its readers see it.

use std::{sync::Arc, time::Duration};

use derives::{record, token};
use tokio::time::Instant;
use uuid::Uuid;

use crate::{Announcement, ColdState, LiveState, Readiness, ReportedCold, ReportedRate};

/// An endpoint in the table: its last announcement, and its heartbeat and load.
#[derive(Debug)]
pub struct Endpoint {
    /// Its announcement; the load and sequence number in it may be outdated.
    pub announced: Announcement,
    /// Last heartbeat and load.
    pub live: Arc<LiveState>,
    /// Time without a heartbeat after which it gets no new work.
    pub suspect_after: Duration,
    /// End of the cold time that the announcement names, if it does or an earlier one of this
    /// incarnation did.
    pub cold_until: Option<Instant>,
}

/// State of an endpoint according to the table.
#[token]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// The endpoint takes new work.
    Ready,
    /// The endpoint announced that it is leaving.
    Leaving,
    /// No heartbeat arrived for `suspect_after`.
    Suspect,
}

impl Endpoint {
    /// Returns the state at `now`.
    pub fn state(&self, now: Instant) -> EndpointState {
        match self.announced.state {
            Readiness::Leaving => EndpointState::Leaving,
            Readiness::Ready if self.live.silence(now) >= self.suspect_after => {
                EndpointState::Suspect
            }
            Readiness::Ready => EndpointState::Ready,
        }
    }

    /// Returns true if the endpoint takes new work at `now`.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.state(now) == EndpointState::Ready
    }
}

/// The endpoints of one service.
#[derive(Debug, Default)]
pub struct ServiceSnapshot {
    /// Table version at the last change except load and heartbeats; unique within one table.
    pub version: u64,
    /// The endpoints in order of their names, including leaving and suspect ones.
    pub endpoints: Vec<Arc<Endpoint>>,
}

/// An endpoint as returned by `GET /v1/endpoints` and sent to controllers.
#[record]
pub struct EndpointView {
    /// The endpoint's name.
    pub endpoint: String,
    /// The service that the endpoint belongs to.
    pub service: String,
    /// The endpoint's availability zone.
    pub az: String,
    /// `http://IP:PORT` on which the endpoint accepts calls and orders.
    pub address: String,
    /// UUIDv7 of this run of the process.
    pub incarnation: Uuid,
    /// State of the endpoint according to the table.
    pub state: EndpointState,
    /// Models that an engine has loaded; empty for other endpoints.
    pub models: Vec<crate::LoadedModel>,
    /// The phases that an engine runs; `Both` for other endpoints.
    pub role: crate::StageRole,
    /// True if the endpoint rejects orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Number of calls that the endpoint runs at once, if it announces one.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Calls in progress or queued, as last reported.
    pub calls: u32,
    /// Time since the last announcement, in milliseconds.
    pub silent_ms: u64,
    /// The request rate that it named last, if gates reported one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<ReportedRate>,
    /// Its cold time, if it announced one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ReportedCold>,
}

impl EndpointView {
    /// Creates the view of `endpoint` at `now`.
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
            rate: endpoint.live.rate().map(|rate| rate.report(now)),
            cold: endpoint.cold_until.map(|until| {
                let state = ColdState { seq: a.seq, until };
                state.report(now)
            }),
        }
    }
}
