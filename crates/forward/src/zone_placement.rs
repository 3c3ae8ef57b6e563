//! Asks the placement coordinator of a service for the engines of calls with prompts, reports the
//! calls to it, and answers other gates where this gate is the coordinator.
//!
//! The choice itself is made by [`routing::EngineTable`], the state is in `engine-placement`. `docs/design/zone-placement.md` gives the
//! reasons for this design.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock, Weak,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use engine_placement::{
    Call, Coordinator, EnginePlacement, Outbox, Placed, PlacementReply, PlacementRequest, Reports,
    Sender,
};
use link::{Channel, Incoming, Peer};
use routing::{EngineCandidate, TableSizes};
use spdlog::{debug, info};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep},
};

use crate::{
    dialect::LoadReport,
    fleet::Fleet,
    gates::{Gates, LimiterChoice},
    metrics::Metrics,
    requirements::Requirements,
    rules::Rules,
};

/// Timeout of a query, after which the gate chooses itself.
const QUERY_TIMEOUT: Duration = Duration::from_millis(30);
/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time between two reports without a query.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Time without queries after one that was not answered.
const QUERY_PAUSE: Duration = Duration::from_millis(250);

/// Places calls with prompts by the coordinators of their services. Clones share state.
#[derive(Clone, Debug)]
pub(crate) struct ZonePlacement {
    shared: Arc<Shared>,
}

/// What the placement of calls depends on.
#[derive(Debug)]
pub(crate) struct Dependencies {
    pub(crate) mode: EnginePlacement,
    pub(crate) vm: String,
    pub(crate) az: String,
    pub(crate) fleet: Fleet,
    pub(crate) gates: Gates,
    pub(crate) rules: watch::Receiver<Arc<Rules>>,
    pub(crate) metrics: Metrics,
}

#[derive(Debug)]
struct Shared {
    cx: Dependencies,
    coordinator: Coordinator,
    outboxes: Mutex<HashMap<String, Outbox>>,
    /// Services whose endpoints report their slowdown.
    reporting: RwLock<HashSet<String>>,
    next_id: AtomicU64,
    /// Notified when there is something to report.
    report: Notify,
}

/// A call that is reported to the placement coordinator until it is dropped.
#[derive(Debug)]
pub(crate) struct ZoneCall {
    shared: Arc<Shared>,
    service: String,
    id: u64,
    /// The endpoint that the coordinator chose.
    placed: Option<Placed>,
    load: Option<LoadReport>,
}

impl ZonePlacement {
    /// Creates the state of a gate that has just started.
    pub(crate) fn new(cx: Dependencies) -> Self {
        Self {
            shared: Arc::new(Shared {
                cx,
                coordinator: Coordinator::default(),
                outboxes: Mutex::default(),
                reporting: RwLock::default(),
                // Differs from the ids of the gate's process before.
                next_id: AtomicU64::new(rand::random::<u64>() >> 1),
                report: Notify::new(),
            }),
        }
    }

    /// Asks for the endpoint of a call with a prompt. `None` if the gate places it alone.
    pub(crate) async fn query(&self, requirements: &Requirements<'_>) -> Option<ZoneCall> {
        let shared = &self.shared;
        let prompt = requirements.prompt?;
        let service = requirements.service;
        if !shared.is_placed_by_zone(service) {
            return None;
        }
        let call = Call {
            id: shared.next_id.fetch_add(1, Ordering::Relaxed),
            parts: prompt.prefixes().collect(),
            tokens: prompt.tokens,
            max_generated: prompt.max_generated,
        };
        let mut zone_call = ZoneCall {
            shared: Arc::clone(shared),
            service: service.to_owned(),
            id: call.id,
            placed: None,
            load: None,
        };
        let is_paused = shared.with_outbox(service, |outbox| {
            outbox.open(call.clone());
            let until = outbox.paused_until;
            until.is_some_and(|until| Instant::now() < until)
        });
        let started_at = Instant::now();
        zone_call.placed = match shared.cx.gates.placer_for(service) {
            _ if is_paused => None,
            LimiterChoice::Local => shared.query_local(requirements, &call),
            LimiterChoice::Remote(peer) if peer.is_connected() => {
                shared.query_remote(&peer, requirements, call).await
            }
            LimiterChoice::Remote(_) | LimiterChoice::Unavailable => None,
        };
        if zone_call.placed.is_some() {
            let metrics = &shared.cx.metrics;
            metrics.record_placement_query(service, started_at.elapsed());
        }
        Some(zone_call)
    }

    /// Records that an endpoint of `service` reported `load`.
    pub(crate) fn record_load(&self, service: &str, load: &LoadReport) {
        let shared = &self.shared;
        if shared.cx.mode == EnginePlacement::Auto
            && load.slowdown_percent.is_some()
            && !shared.is_placed_by_zone(service)
        {
            let mut reporting = shared.reporting.write();
            let reporting = reporting.as_mut();
            reporting
                .expect("no holder of this lock panics")
                .insert(service.to_owned());
        }
    }

    /// Answers another gate. Returns `None` if the message is not about placement.
    pub(crate) fn answer(&self, incoming: &Incoming) -> Option<Vec<u8>> {
        let req: PlacementRequest = link::decode(&incoming.body).ok()?;
        let from = Sender {
            gate: &incoming.from.vm,
            connection: Some(Weak::clone(&incoming.connection)),
        };
        let shared = &self.shared;
        let reply = match req {
            _ if shared.cx.mode == EnginePlacement::Gate => PlacementReply {
                placed: None,
                needs_list: false,
            },
            PlacementRequest::Query {
                service,
                call,
                inputs,
                avoid,
                reports,
            } => {
                let requirements = Requirements {
                    service: &service,
                    az: &shared.cx.az,
                    prompt: None,
                    inputs: &inputs,
                    avoid: &avoid,
                };
                shared.answer_query(&from, &requirements, &reports, &call)
            }
            PlacementRequest::Report { service, reports } => {
                let coordinator = &shared.coordinator;
                coordinator.answer(&from, &service, &reports, None)
            }
        };
        Some(link::encode(&reply))
    }

    /// Sends reports that no query carries; runs until dropped.
    pub(crate) async fn report(self) {
        loop {
            self.shared.report.notified().await;
            sleep(REPORT_INTERVAL).await;
            for service in self.shared.services_to_report() {
                self.shared.report_service(&service).await;
            }
        }
    }

    /// Returns the sizes of the tables of the services that this gate coordinates.
    pub(crate) fn table_sizes(&self) -> Vec<(String, TableSizes)> {
        self.shared.coordinator.sizes()
    }
}

impl Shared {
    fn is_placed_by_zone(&self, service: &str) -> bool {
        match self.cx.mode {
            EnginePlacement::Gate => false,
            EnginePlacement::Zone => true,
            EnginePlacement::Auto => {
                let reporting = self.reporting.read();
                reporting
                    .expect("no holder of this lock panics")
                    .contains(service)
            }
        }
    }

    fn outboxes(&self) -> MutexGuard<'_, HashMap<String, Outbox>> {
        self.outboxes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with_outbox<T>(&self, service: &str, f: impl FnOnce(&mut Outbox) -> T) -> T {
        let mut outboxes = self.outboxes();
        if let Some(outbox) = outboxes.get_mut(service) {
            return f(outbox);
        }
        f(outboxes.entry(service.to_owned()).or_default())
    }

    fn local_sender(&self) -> Sender<'_> {
        Sender {
            gate: &self.cx.vm,
            connection: None,
        }
    }

    fn take_reports(&self, service: &str, coordinator: &str) -> Reports {
        self.with_outbox(service, |outbox| {
            if outbox.is_new_coordinator(coordinator) {
                info!("placement coordinator", kv: { service, gate = coordinator });
            }
            outbox.take(coordinator)
        })
    }

    fn query_local(&self, requirements: &Requirements<'_>, call: &Call) -> Option<Placed> {
        let service = requirements.service;
        let reports = self.take_reports(service, &self.cx.vm);
        let sender = self.local_sender();
        let reply = self.answer_query(&sender, requirements, &reports, call);
        self.note_reply(service, &reply);
        reply.placed
    }

    async fn query_remote(
        &self,
        peer: &Peer,
        requirements: &Requirements<'_>,
        call: Call,
    ) -> Option<Placed> {
        let service = requirements.service;
        let req = PlacementRequest::Query {
            service: service.to_owned(),
            call,
            inputs: requirements.inputs.to_vec(),
            avoid: requirements.avoid.to_vec(),
            reports: self.take_reports(service, peer.name()),
        };
        let reply = peer.call::<_, PlacementReply>(Channel::Calls, &req, QUERY_TIMEOUT);
        match reply.await {
            Ok(reply) => {
                self.note_reply(service, &reply);
                reply.placed
            }
            Err(e) => {
                debug!("placement query failed", kv: {
                    service, gate = peer.name(), error = e.to_string()
                });
                self.with_outbox(service, |outbox| {
                    outbox.request_list();
                    outbox.paused_until = Some(Instant::now() + QUERY_PAUSE);
                });
                None
            }
        }
    }

    /// Notes whether the coordinator has to be told of all open calls.
    fn note_reply(&self, service: &str, reply: &PlacementReply) {
        if reply.needs_list {
            self.with_outbox(service, Outbox::request_list);
            self.report.notify_one();
        }
    }

    fn answer_query(
        &self,
        from: &Sender<'_>,
        requirements: &Requirements<'_>,
        reports: &Reports,
        call: &Call,
    ) -> PlacementReply {
        let service = requirements.service;
        let memory_tokens = {
            let rules = self.cx.rules.borrow();
            rules
                .service(service)
                .and_then(|s| s.capacity.memory_tokens)
        };
        let engines = self.cx.fleet.engines(requirements);
        let candidates: Vec<EngineCandidate<'_>> = engines
            .iter()
            .map(|engine| EngineCandidate {
                name: &engine.target.name,
                incarnation: engine.target.incarnation,
                slots: engine.target.running_slots() as u32,
                memory_tokens,
                is_local: engine.target.az == self.cx.az,
                extra_ms: engine.extra_ms,
            })
            .collect();
        let call = Some((call, candidates.as_slice()));
        self.coordinator.answer(from, service, reports, call)
    }

    fn services_to_report(&self) -> Vec<String> {
        let outboxes = self.outboxes();
        let pending = outboxes.iter().filter(|(_, outbox)| outbox.has_reports());
        pending.map(|(service, _)| service.clone()).collect()
    }

    async fn report_service(&self, service: &str) {
        let peer = match self.cx.gates.placer_for(service) {
            LimiterChoice::Local => {
                let reports = self.take_reports(service, &self.cx.vm);
                let sender = self.local_sender();
                let reply = self.coordinator.answer(&sender, service, &reports, None);
                return self.note_reply(service, &reply);
            }
            LimiterChoice::Remote(peer) if peer.is_connected() => peer,
            // The next contact lists the open calls.
            LimiterChoice::Remote(_) | LimiterChoice::Unavailable => {
                return self.with_outbox(service, Outbox::drop_reports);
            }
        };
        let reports = self.take_reports(service, peer.name());
        if reports.is_empty() {
            return;
        }
        let req = PlacementRequest::Report {
            service: service.to_owned(),
            reports,
        };
        let reply = peer.call::<_, PlacementReply>(Channel::Calls, &req, REPORT_TIMEOUT);
        match reply.await {
            Ok(reply) => self.note_reply(service, &reply),
            Err(e) => {
                debug!("report to placement coordinator failed", kv: {
                    service, gate = peer.name(), error = e.to_string()
                });
                self.with_outbox(service, Outbox::request_list);
            }
        }
    }
}

impl ZoneCall {
    /// Returns the endpoint that the coordinator chose, and the prompt tokens to read there.
    pub(crate) fn placed(&self) -> Option<(&str, u64)> {
        let placed = self.placed.as_ref()?;
        Some((&placed.endpoint, placed.unread_tokens))
    }

    /// Records the endpoint that the call is sent to.
    pub(crate) fn start(&self, endpoint: &str) {
        let shared = &self.shared;
        let is_known = self.placed().is_some_and(|(chosen, _)| chosen == endpoint);
        shared.with_outbox(&self.service, |outbox| {
            outbox.start(self.id, endpoint, is_known);
        });
        let by = if is_known { "coordinator" } else { "gate" };
        shared.cx.metrics.record_zone_placement(&self.service, by);
        if !is_known {
            shared.report.notify_one();
        }
    }

    /// Records the load that the endpoint reported with the response.
    pub(crate) fn record_load(&mut self, load: LoadReport) {
        self.load = Some(load);
    }

    /// Records that the first event arrived after `took_ms`.
    pub(crate) fn record_first_event(&self, took_ms: f64) {
        self.shared.with_outbox(&self.service, |outbox| {
            let calls = self.load.map(|l| l.running.saturating_add(l.waiting));
            let slowdown = self.load.and_then(|load| load.slowdown_percent);
            outbox.record_first_event(self.id, took_ms as u32, calls, slowdown);
        });
        self.shared.report.notify_one();
    }
}

impl Drop for ZoneCall {
    fn drop(&mut self) {
        self.shared
            .with_outbox(&self.service, |outbox| outbox.end(self.id));
        self.shared.report.notify_one();
    }
}
