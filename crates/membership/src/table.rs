//! The endpoints' table of one gate.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard, RwLock},
};

use thiserror::Error;
use tokio::{sync::watch, time::Instant};

use crate::{
    AnnounceResponse, Announcement, Endpoint, EndpointView, Readiness, ServiceSnapshot,
    TableConfig,
    live_state::{calls_of, load_age},
    message::{Request, respond},
    state::{Applied, State},
};

/// Why an announcement was refused.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum AnnounceError {
    /// A member is empty, too long or of the wrong form.
    #[error("announce endpoint: {member} {what}")]
    Invalid {
        /// The JSON member.
        member: &'static str,
        /// What is wrong with it.
        what: String,
    },
    /// The table is full.
    #[error("announce endpoint {endpoint}: the table holds {limit} endpoints and takes no more")]
    Full {
        /// Who announced.
        endpoint: String,
        /// The bound.
        limit: usize,
    },
    /// The endpoint was seen with a later incarnation.
    #[error("announce endpoint {endpoint}: a later incarnation is known; end this process")]
    Superseded {
        /// Who announced.
        endpoint: String,
    },
}

impl AnnounceError {
    /// HTTP status, kind and title of the problem document that tells it.
    pub fn heading(&self) -> (u16, &'static str, &'static str) {
        match self {
            Self::Invalid { .. } => (400, "bad-announcement", "Bad announcement"),
            Self::Full { .. } => (503, "table-full", "Table full"),
            Self::Superseded { .. } => (409, "superseded", "Superseded"),
        }
    }
}

/// The endpoints that a gate knows; clones share the content.
#[derive(Clone, Debug)]
pub struct Table {
    pub(crate) shared: Arc<Shared>,
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) cfg: TableConfig,
    /// Distinguishes this table from that of another run.
    pub(crate) id: uuid::Uuid,
    state: Mutex<State>,
    services: RwLock<HashMap<String, Arc<ServiceSnapshot>>>,
    changed: watch::Sender<u64>,
    /// Gates that said that they are of another availability zone.
    foreign: RwLock<BTreeSet<String>>,
}

impl Table {
    /// An empty table.
    pub fn new(cfg: TableConfig) -> Self {
        let start = Instant::now();
        let shared = Shared {
            state: Mutex::new(State::new(&cfg, start)),
            cfg,
            id: uuid::Uuid::new_v4(),
            services: RwLock::default(),
            changed: watch::Sender::new(0),
            foreign: RwLock::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Bounds of the table.
    pub fn config(&self) -> &TableConfig {
        &self.shared.cfg
    }

    /// Takes an announcement that came directly from an endpoint.
    pub fn announce(&self, a: Announcement) -> Result<AnnounceResponse, AnnounceError> {
        check(&a)?;
        let next_ms = self.shared.cfg.announce_interval.as_millis() as u64;
        let now = Instant::now();
        let endpoint = a.endpoint.clone();
        let calls = calls_of(&a.load);
        let measured = now.checked_sub(load_age(&a.load)).unwrap_or(now);
        let mut state = self.lock();
        match state.announce(a, now) {
            Applied::Superseded => return Err(AnnounceError::Superseded { endpoint }),
            Applied::Full => {
                let limit = self.shared.cfg.max_endpoints;
                return Err(AnnounceError::Full { endpoint, limit });
            }
            Applied::Changed | Applied::Unchanged => state.report(&endpoint, calls, measured),
            Applied::Old => {}
        }
        self.publish(state);
        Ok(AnnounceResponse { next_ms })
    }

    /// Notes that `endpoint` is going, of which nothing later comes; one of another incarnation than
    /// the one given stays.
    pub fn deregister(&self, endpoint: &str, incarnation: Option<uuid::Uuid>) {
        let mut state = self.lock();
        let known = state.endpoints().find(|e| e.announced.endpoint == endpoint);
        let known = known.map(|e| e.announced.clone());
        let Some(known) = known.filter(|a| incarnation.is_none_or(|i| i == a.incarnation)) else {
            return;
        };
        let last = Announcement {
            state: Readiness::Leaving,
            // Announcements that are still on their way have lower numbers.
            seq: known.seq.saturating_add(LAST_SEQ_STEP),
            ..known
        };
        state.announce(last, Instant::now());
        self.publish(state);
    }

    /// Notes that an incarnation of `endpoint` leaves, as one of its answers said; nothing that it
    /// announces later makes it ready again.
    pub fn note_leaving(&self, endpoint: &str, incarnation: uuid::Uuid) {
        let is_known = {
            let state = self.lock();
            let mut known = state.endpoints().map(|e| &e.announced);
            known.any(|a| a.endpoint == endpoint && a.state == Readiness::Ready)
        };
        if is_known {
            self.deregister(endpoint, Some(incarnation));
        }
    }

    /// Every endpoint known, by name.
    pub fn list(&self) -> Vec<EndpointView> {
        let now = Instant::now();
        let state = self.lock();
        state
            .endpoints()
            .map(|endpoint| EndpointView::of(endpoint, now))
            .collect()
    }

    /// The endpoints of `service`; cheap, and the same `Arc` until something but load changes.
    pub fn service(&self, service: &str) -> Option<Arc<ServiceSnapshot>> {
        let services = self.shared.services.read();
        let services = services.expect("no holder of this lock panics");
        services.get(service).map(Arc::clone)
    }

    /// Names of the services with endpoints.
    pub fn services(&self) -> Vec<String> {
        let services = self.shared.services.read();
        let services = services.expect("no holder of this lock panics");
        services.keys().cloned().collect()
    }

    /// Names of gates that are of another availability zone, as far as they have said so.
    pub fn foreign_gates(&self) -> BTreeSet<String> {
        let foreign = self.shared.foreign.read();
        foreign.expect("no holder of this lock panics").clone()
    }

    /// How many gates are known to be of another availability zone; it only grows.
    pub fn foreign_count(&self) -> usize {
        let foreign = self.shared.foreign.read();
        foreign.expect("no holder of this lock panics").len()
    }

    /// Notes that `gate` is of another availability zone.
    pub fn note_foreign(&self, gate: &str) {
        let foreign = self.shared.foreign.write();
        let mut foreign = foreign.expect("no holder of this lock panics");
        foreign.insert(gate.to_owned());
    }

    /// The table's version, which grows with each change but load and signs of life.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.shared.changed.subscribe()
    }

    /// Answers a call on `Channel::Membership` from another gate or a controller.
    pub async fn answer(&self, body: &[u8]) -> Vec<u8> {
        match link::decode::<Request>(body) {
            Ok(req) => respond(self, req).await,
            Err(e) => link::encode(&crate::message::Reply::Malformed(e.to_string())),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.expect("no holder of this lock panics")
    }

    /// Rebuilds what readers see of the services that changed, and wakes those who wait.
    pub(crate) fn publish(&self, mut state: MutexGuard<'_, State>) {
        let services_changed = state.take_stale_services();
        let version = state.version();
        if version == *self.shared.changed.borrow() {
            return;
        }
        let services = self.shared.services.write();
        let mut services = services.expect("no holder of this lock panics");
        for service in services_changed {
            let endpoints: Vec<Arc<Endpoint>> = state.of_service(&service);
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

/// By how much the number of a departure exceeds those of announcements before it.
const LAST_SEQ_STEP: u64 = 1 << 32;
const MAX_NAME_BYTES: usize = 128;
const MAX_MODELS: usize = 64;
const MAX_ADAPTERS: usize = 256;

fn check(a: &Announcement) -> Result<(), AnnounceError> {
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
