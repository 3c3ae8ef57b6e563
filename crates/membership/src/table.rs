//! The endpoint table of one gate.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard, RwLock},
};

use thiserror::Error;
use tokio::{
    sync::{broadcast, watch},
    time::Instant,
};

use crate::{
    AnnounceResponse, Announcement, Endpoint, EndpointView, RateReport, Readiness, ServiceSnapshot,
    TableConfig,
    live_state::{load_age, total_calls},
    message::{Request, respond},
    state::{Applied, State},
};

/// Why an announcement was refused.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum AnnounceError {
    /// A field is empty, too long or malformed.
    #[error("announce endpoint: {member} {what}")]
    Invalid {
        /// The JSON field.
        member: &'static str,
        /// Description of the fault.
        what: String,
    },
    /// The table is full.
    #[error("announce endpoint {endpoint}: the table holds {limit} endpoints and takes no more")]
    Full {
        /// The endpoint's name.
        endpoint: String,
        /// Maximum number of endpoints.
        limit: usize,
    },
    /// A later incarnation of the endpoint is known.
    #[error("announce endpoint {endpoint}: a later incarnation is known; end this process")]
    Superseded {
        /// The endpoint's name.
        endpoint: String,
    },
}

impl AnnounceError {
    /// Returns HTTP status, kind and title of the problem document for this error.
    pub fn heading(&self) -> (u16, &'static str, &'static str) {
        match self {
            Self::Invalid { .. } => (400, "bad-announcement", "Bad announcement"),
            Self::Full { .. } => (503, "table-full", "Table full"),
            Self::Superseded { .. } => (409, "superseded", "Superseded"),
        }
    }
}

/// The endpoints known to a gate; clones share the content.
#[derive(Clone, Debug)]
pub struct Table {
    pub(crate) shared: Arc<Shared>,
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) cfg: TableConfig,
    /// Distinguishes this table from that of an earlier run.
    pub(crate) id: uuid::Uuid,
    state: Mutex<State>,
    services: RwLock<HashMap<String, Arc<ServiceSnapshot>>>,
    changed: watch::Sender<u64>,
    rate_reports: broadcast::Sender<RateReport>,
    /// Gates that identified themselves as belonging to another availability zone.
    foreign: RwLock<BTreeSet<String>>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(cfg: TableConfig) -> Self {
        let start = Instant::now();
        let shared = Shared {
            state: Mutex::new(State::new(&cfg, start)),
            cfg,
            id: uuid::Uuid::new_v4(),
            services: RwLock::default(),
            changed: watch::Sender::new(0),
            rate_reports: broadcast::Sender::new(MAX_RATE_REPORTS),
            foreign: RwLock::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the timing and limits of the table.
    pub fn config(&self) -> &TableConfig {
        &self.shared.cfg
    }

    /// Applies an announcement received directly from an endpoint.
    pub fn announce(&self, a: Announcement) -> Result<AnnounceResponse, AnnounceError> {
        validate(&a)?;
        let next_ms = self.shared.cfg.announce_interval.as_millis() as u64;
        let now = Instant::now();
        let endpoint = a.endpoint.clone();
        let calls = total_calls(&a.load);
        let measured = now.checked_sub(load_age(&a.load)).unwrap_or(now);
        let mut state = self.lock();
        match state.announce(a, now) {
            Applied::Superseded => return Err(AnnounceError::Superseded { endpoint }),
            Applied::Full => {
                let limit = self.shared.cfg.max_endpoints;
                return Err(AnnounceError::Full { endpoint, limit });
            }
            Applied::Changed | Applied::Unchanged => state.report_load(&endpoint, calls, measured),
            Applied::Stale => {}
        }
        self.publish(state);
        Ok(AnnounceResponse { next_ms })
    }

    /// Marks the endpoints that departed as leaving, each by its name and incarnation, and ignores
    /// later announcements of them and of earlier incarnations that say ready.
    pub fn depart<'a>(&self, departures: impl IntoIterator<Item = (&'a str, uuid::Uuid)>) {
        let now = Instant::now();
        let mut state = self.lock();
        for (endpoint, incarnation) in departures {
            state.depart(endpoint, incarnation, now);
        }
        self.publish(state);
    }

    /// Returns the incarnation of `endpoint` that is known, if any.
    pub fn incarnation(&self, endpoint: &str) -> Option<uuid::Uuid> {
        self.lock().announced(endpoint).map(|a| a.incarnation)
    }

    /// Marks `endpoint` as leaving for the rest of its incarnation; does nothing if `incarnation` is
    /// given and differs.
    pub fn deregister(&self, endpoint: &str, incarnation: Option<uuid::Uuid>) {
        let mut state = self.lock();
        let known = state.announced(endpoint).map(|a| a.incarnation);
        if known.is_some_and(|known| incarnation.is_none_or(|i| i == known)) {
            state.mark_leaving(endpoint, Instant::now());
        }
        self.publish(state);
    }

    /// Marks an incarnation of `endpoint` as leaving after one of its responses said so; its later
    /// announcements don't make it ready again.
    pub fn note_leaving(&self, endpoint: &str, incarnation: uuid::Uuid) {
        let is_ready = {
            let state = self.lock();
            let mut known = state.endpoints().map(|e| &e.announced);
            known.any(|a| a.endpoint == endpoint && a.state == Readiness::Ready)
        };
        if is_ready {
            self.deregister(endpoint, Some(incarnation));
        }
    }

    /// Records request rates that gates report. A rate holds for the incarnation that named it, and
    /// a later observation replaces an earlier one.
    pub fn note_rates(&self, reports: &[RateReport]) {
        let now = Instant::now();
        let mut state = self.lock();
        for report in reports {
            if let Some(observed) = report.rate.observed(now) {
                state.note_rate(&report.endpoint, report.incarnation, observed, now);
            }
        }
        self.publish(state);
    }

    /// Records a request rate that a response to this gate named, and tells the neighbours if it
    /// changed.
    pub fn report_rate(&self, report: RateReport) {
        let now = Instant::now();
        let Some(observed) = report.rate.observed(now) else {
            return;
        };
        let mut state = self.lock();
        let is_changed = state.note_rate(&report.endpoint, report.incarnation, observed, now);
        self.publish(state);
        if is_changed {
            // Without gossip there is nobody to tell.
            let _ = self.shared.rate_reports.send(report);
        }
    }

    /// Subscribes to the request rates that responses to this gate named.
    pub(crate) fn rate_reports(&self) -> broadcast::Receiver<RateReport> {
        self.shared.rate_reports.subscribe()
    }

    /// Returns all known endpoints in order of their names.
    pub fn list(&self) -> Vec<EndpointView> {
        let now = Instant::now();
        let state = self.lock();
        state
            .endpoints()
            .map(|endpoint| EndpointView::of(endpoint, now))
            .collect()
    }

    /// Returns the endpoints of `service`. Cheap; the same `Arc` until something other than load
    /// changes.
    pub fn service(&self, service: &str) -> Option<Arc<ServiceSnapshot>> {
        let services = self.shared.services.read();
        let services = services.expect("no holder of this lock panics");
        services.get(service).map(Arc::clone)
    }

    /// Returns the names of services that have endpoints.
    pub fn services(&self) -> Vec<String> {
        let services = self.shared.services.read();
        let services = services.expect("no holder of this lock panics");
        services.keys().cloned().collect()
    }

    /// Returns the names of gates known to belong to another availability zone.
    pub fn foreign_gates(&self) -> BTreeSet<String> {
        let foreign = self.shared.foreign.read();
        foreign.expect("no holder of this lock panics").clone()
    }

    /// Returns the number of gates known to belong to another availability zone; never decreases.
    pub fn foreign_count(&self) -> usize {
        let foreign = self.shared.foreign.read();
        foreign.expect("no holder of this lock panics").len()
    }

    /// Records that `gate` belongs to another availability zone.
    pub fn note_foreign(&self, gate: &str) {
        let foreign = self.shared.foreign.write();
        let mut foreign = foreign.expect("no holder of this lock panics");
        foreign.insert(gate.to_owned());
    }

    /// Subscribes to the table's version, which increases with each change except load and
    /// heartbeats.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.shared.changed.subscribe()
    }

    /// Handles an encoded request on `Channel::Membership` and returns the encoded reply.
    pub async fn answer(&self, body: &[u8]) -> Vec<u8> {
        match link::decode::<Request>(body) {
            Ok(req) => self.answer_request(req).await,
            Err(e) => link::encode(&crate::message::Reply::Malformed(e.to_string())),
        }
    }

    /// Handles a request on `Channel::Membership` and returns the encoded reply.
    pub async fn answer_request(&self, req: Request) -> Vec<u8> {
        respond(self, req).await
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.expect("no holder of this lock panics")
    }

    /// Rebuilds the snapshots of services that changed, and notifies subscribers.
    pub(crate) fn publish(&self, mut state: MutexGuard<'_, State>) {
        let services_changed = state.take_stale_services();
        let version = state.version();
        if version == *self.shared.changed.borrow() {
            return;
        }
        let services = self.shared.services.write();
        let mut services = services.expect("no holder of this lock panics");
        for service in services_changed {
            let endpoints: Vec<Arc<Endpoint>> = state.endpoints_of_service(&service);
            match endpoints.is_empty() {
                true => services.remove(&service),
                false => services.insert(service, Arc::new(ServiceSnapshot { version, endpoints })),
            };
        }
        drop(services);
        drop(state);
        self.shared.changed.send_replace(version);
    }
}

/// Maximum number of reports of request rates that wait to be sent; the oldest ones are dropped.
const MAX_RATE_REPORTS: usize = 256;
const MAX_NAME_BYTES: usize = 128;
const MAX_MODELS: usize = 64;
const MAX_ADAPTERS: usize = 256;

/// Checks names, address and sizes of an announcement.
pub(crate) fn validate(a: &Announcement) -> Result<(), AnnounceError> {
    let invalid = |member, what: String| Err(AnnounceError::Invalid { member, what });
    let names = [
        ("endpoint", &a.endpoint),
        ("service", &a.service),
        ("az", &a.az),
    ];
    for (member, name) in names {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return invalid(member, format!("must have 1 to {MAX_NAME_BYTES} bytes"));
        }
    }
    let host = a.address.strip_prefix("http://").unwrap_or_default();
    match host.parse::<std::net::SocketAddr>() {
        Err(_) => invalid("address", "must be `http://IP:PORT`".to_owned()),
        Ok(_) if a.models.len() > MAX_MODELS => {
            invalid("models", format!("must be at most {MAX_MODELS}"))
        }
        Ok(_) if a.models.iter().any(|m| m.adapters.len() > MAX_ADAPTERS) => {
            invalid("models", format!("adapters must be at most {MAX_ADAPTERS}"))
        }
        Ok(_) => Ok(()),
    }
}
