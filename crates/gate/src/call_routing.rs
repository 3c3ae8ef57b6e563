//! Endpoint selection, admission and retry budgets. The only module on the request path that calls
//! the crates `membership` and `routing`.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use declaration::{Pipeline, Priority, Service};
use link::calls::{CallsReply, CallsRequest};
use logs::Event;
use membership::{Endpoint, Table};
use outbound::{NamedRate, Notice};
use routing::{
    Admission, AdmissionConfig, AdmissionGuard, AdmissionRequest, AdmissionStats, CacheUsage,
    CallOutcome, Latencies, ModelRequirement, NoEndpoint, Observation, Pick, Refusal, RetryBudget,
    RetryBudgetConfig, Router, RouterConfig, SizeClass,
};
use tokio::time::Instant;

use crate::{
    call_counters::{CallCounter, CallCounters, CallEnd},
    draining::DrainingEndpoints,
    engine::PromptCacheUsage,
    evacuations::EvacuatedZones,
    rollout::Rollouts,
};

/// `Retry-After` where no endpoint is ready.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Decides whether calls may be made, and to which endpoint.
#[derive(Debug)]
pub(crate) struct CallRouting {
    table: Table,
    router: Router,
    admission: Admission,
    retry_budget: RetryBudget,
    /// Latencies of whole stages, from which admission estimates durations.
    stage_latencies: Arc<Latencies>,
    /// Services that changed so recently that endpoints may still serve the previous version.
    rollouts: Rollouts,
    /// Call results by model version, reported to controllers.
    calls: CallCounters,
    /// Endpoints that controllers are draining.
    draining: DrainingEndpoints,
    /// Availability zones that operators evacuate.
    evacuated: EvacuatedZones,
    /// Time to the first part of a response, which sets the delay of hedges.
    first_part_latencies: Latencies,
}

/// Requirements that an endpoint must meet for a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PickRequest<'a> {
    /// Name of the service.
    pub(crate) name: &'a str,
    pub(crate) service: &'a Service,
    /// Availability zones that the workspace may use.
    pub(crate) azs: &'a [String],
    /// Prompt, for engines only; routing prefers endpoints that have it cached.
    pub(crate) prompt: Option<&'a str>,
    /// Endpoints that failed for this stage.
    pub(crate) avoid: &'a [String],
    /// Time remaining until the request's deadline.
    pub(crate) remaining: Option<Duration>,
}

/// Result of a call as reported to routing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallVerdict {
    /// The endpoint returned a complete response.
    Succeeded,
    /// The endpoint refused the call without running it.
    Refused,
    /// The call failed at the endpoint.
    Failed,
    /// The endpoint sent nothing, on a new connection either.
    Stalled,
    /// The endpoint rejected the call as invalid.
    Rejected,
    /// Another endpoint answered first, or the deadline passed.
    Late,
    /// The gate ended the call for reasons unrelated to the endpoint.
    Cancelled,
}

/// A service and the size of its input.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StageInput<'a> {
    /// Name of the service.
    pub(crate) name: &'a str,
    /// Size of the input in bytes.
    pub(crate) bytes: usize,
}

impl<'a> StageInput<'a> {
    fn stage(self) -> routing::Stage<'a> {
        routing::Stage {
            service: self.name,
            size: SizeClass::of(self.bytes),
        }
    }
}

impl CallRouting {
    /// Creates the routing state of the gate on VM `gate` in availability zone `az`; `gates` are
    /// the gates of that zone.
    pub(crate) fn new(gate: &str, az: &str, gates: Vec<String>, table: Table) -> Self {
        let stage_latencies = Arc::new(Latencies::new());
        let cfg = RouterConfig {
            seed: rand::random(),
            ..RouterConfig::new(gate, az, gates)
        };
        Self {
            router: Router::new(cfg, table.clone()),
            admission: Admission::new(AdmissionConfig::default(), Arc::clone(&stage_latencies)),
            retry_budget: RetryBudget::new(RetryBudgetConfig::default()),
            first_part_latencies: Latencies::new(),
            stage_latencies,
            rollouts: Rollouts::default(),
            calls: CallCounters::default(),
            draining: DrainingEndpoints::default(),
            evacuated: EvacuatedZones::default(),
            table,
        }
    }

    /// The table of known endpoints.
    pub(crate) fn table(&self) -> &Table {
        &self.table
    }

    /// The router, for cache events.
    pub(crate) fn router(&self) -> &Router {
        &self.router
    }

    /// The availability zones that operators evacuate.
    pub(crate) fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// Returns true if the endpoint `picked` is in an evacuated availability zone.
    pub(crate) fn is_evacuated(&self, picked: &PickedEndpoint) -> bool {
        let az = picked.with_pick(|pick| pick.endpoint().announced.az.clone());
        az.is_some_and(|az| self.evacuated.names().contains(&az))
    }

    /// Admits a request with an input of `bytes`, or refuses it.
    pub(crate) async fn admit(
        &self,
        workspace: (&str, &declaration::Workspace),
        pipeline: &Pipeline,
        bytes: usize,
        deadline: Instant,
    ) -> Result<AdmissionGuard, Refusal> {
        let (name, workspace) = workspace;
        let stages = pipeline.stages.iter();
        let stages: Vec<_> = stages
            .map(|name| StageInput { name, bytes }.stage())
            .collect();
        let applicant = AdmissionRequest {
            workspace: name,
            priority: Priority(workspace.priority.0),
            max_in_flight: workspace.max_in_flight,
            stages: &stages,
            deadline,
        };
        self.admission.admit(applicant).await
    }

    /// Returns true if `stages`, each with an input of `bytes`, are expected to finish within
    /// `remaining`.
    pub(crate) fn fits(
        &self,
        stages: &[crate::stage::Stage<'_>],
        bytes: usize,
        remaining: Duration,
    ) -> bool {
        let estimate = |stage: &crate::stage::Stage<'_>| {
            let name = stage.name;
            self.stage_latencies
                .estimate(&[StageInput { name, bytes }.stage()])
        };
        stages.iter().map(estimate).sum::<Duration>() <= remaining
    }

    /// Selects an endpoint for a call.
    pub(crate) fn pick(&self, req: &PickRequest<'_>) -> Result<PickedEndpoint, NoEndpoint> {
        let Some(avoid) = self.draining.with_draining(req.avoid) else {
            return self.pick_ignoring_drains(req);
        };
        let without_draining = PickRequest {
            avoid: &avoid,
            ..*req
        };
        match self.pick_ignoring_drains(&without_draining) {
            // Falls back to a draining endpoint if there is no other.
            Err(NoEndpoint::AllTried) => self.pick_ignoring_drains(req),
            picked => picked,
        }
    }

    fn pick_ignoring_drains(&self, req: &PickRequest<'_>) -> Result<PickedEndpoint, NoEndpoint> {
        let (service, evacuated) = (req.service, self.evacuated.names());
        let model = service.model.as_deref().zip(service.version);
        let need = routing::CallRequirements {
            service: req.name,
            model: model.map(|(model, version)| ModelRequirement {
                model,
                version,
                adapters: &service.adapters,
            }),
            role: None,
            azs: req.azs,
            evacuated_azs: &evacuated,
            prompt: req.prompt.map(str::as_bytes),
            avoid: req.avoid,
            remaining: req.remaining,
        };
        let is_rolling_out = self.rollouts.is_in_progress(req.name, service);
        // During a rollout, the few engines that already have the new version must not take all of
        // the load.
        let exact = (!is_rolling_out).then(|| self.router.pick(&need));
        let pick = match exact {
            // Falls back to an older version; the controller's status reports it.
            None | Some(Err(NoEndpoint::NoModel)) => self.router.pick_in_rollout(&need),
            Some(picked) => picked,
        }?;
        let counter = model.and_then(|(model, version)| {
            let models = &pick.endpoint().announced.models;
            self.calls.counter(req.name, (model, version), models)
        });
        PickedEndpoint::new(pick, counter, req.remaining).ok_or(NoEndpoint::NoneReady)
    }

    /// Answers a controller's query for the call results of services that it is rolling out.
    pub(crate) fn handle_calls_request(&self, body: &[u8]) -> Vec<u8> {
        let Ok(req) = link::decode::<CallsRequest>(body) else {
            return Vec::new();
        };
        self.rollouts.record_query(&req.services);
        self.draining.record(req.draining);
        let reply: CallsReply = self.calls.report(&req.services);
        link::encode(&reply)
    }

    /// Records the first try of a stage, which adds a share of a retry to the budget.
    pub(crate) fn record_first_attempt(&self, service: &str) {
        self.retry_budget.record_first_attempt(service);
    }

    /// Takes one retry or hedge from the service's budget. Returns false if the budget is
    /// exhausted.
    pub(crate) fn try_spend_retry(&self, service: &str) -> bool {
        self.retry_budget.try_spend(service)
    }

    /// Time to wait for the first part of a response before sending a hedge.
    pub(crate) fn hedge_after(&self, input: StageInput<'_>) -> Option<Duration> {
        self.first_part_latencies.hedge_after(input.stage())
    }

    /// Records the time to a stage's first part and its total duration.
    pub(crate) fn observe(&self, input: StageInput<'_>, first: Duration, total: Duration) {
        self.first_part_latencies.observe(input.stage(), first);
        self.stage_latencies.observe(input.stage(), total);
    }

    /// Retries and hedges remaining in the budget of `service`.
    pub(crate) fn retries_remaining(&self, service: &str) -> f64 {
        self.retry_budget.remaining(service)
    }

    /// Admitted and waiting requests, and the admission limit.
    pub(crate) fn admission(&self) -> AdmissionStats {
        self.admission.stats()
    }

    /// Endpoint ejections since the start.
    pub(crate) fn ejections(&self) -> u64 {
        self.router.ejections()
    }

    /// Returns true if the endpoint `picked` of `service` still accepts new calls. It may have
    /// started to leave while a call to it was waiting.
    pub(crate) fn accepts_new_calls(&self, service: &str, picked: &PickedEndpoint) -> bool {
        let now = Instant::now();
        let is_picked = |e: &Endpoint| e.announced.endpoint == picked.name();
        let snapshot = self.table.service(service);
        let mut endpoints = snapshot.iter().flat_map(|s| &s.endpoints);
        endpoints.any(|e| is_picked(e) && e.is_ready(now))
    }

    /// Number of known endpoints of `service`.
    pub(crate) fn endpoint_count(&self, service: &str) -> usize {
        self.table.service(service).map_or(0, |s| s.endpoints.len())
    }
}

/// `Retry-After` for the error `none`.
pub(crate) fn retry_after(none: NoEndpoint) -> Duration {
    match none {
        NoEndpoint::Busy { retry_after }
        | NoEndpoint::Paused { retry_after }
        | NoEndpoint::Limited { retry_after } => retry_after,
        _ => NO_ENDPOINT_RETRY_AFTER,
    }
}

/// An endpoint selected for a call. Its slot is released when the call finishes or this is dropped.
#[derive(Debug)]
pub(crate) struct PickedEndpoint {
    name: String,
    address: SocketAddr,
    picked_at: Instant,
    deadline: Option<Instant>,
    counter: Option<Arc<CallCounter>>,
    pick: Mutex<Option<Pick>>,
}

impl PickedEndpoint {
    fn new(
        pick: Pick,
        counter: Option<Arc<CallCounter>>,
        remaining: Option<Duration>,
    ) -> Option<Self> {
        let address = pick.address().strip_prefix("http://")?.parse().ok()?;
        let picked_at = Instant::now();
        Some(Self {
            name: pick.name().to_owned(),
            address,
            picked_at,
            deadline: remaining.map(|remaining| picked_at + remaining),
            counter,
            pick: Mutex::new(Some(pick)),
        })
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Applies what the response said about the endpoint: that it is leaving, requests a pause, or
    /// names a request rate.
    pub(crate) fn record_notice(&self, notice: Notice) {
        if notice.is_leaving {
            self.with_pick(Pick::note_leaving);
        }
        match notice.rate {
            NamedRate::PerSecond(per_second) => {
                self.with_pick(|pick| pick.record_rate(Some(per_second)));
            }
            NamedRate::Unlimited => {
                self.with_pick(|pick| pick.record_rate(None));
            }
            NamedRate::Unknown => {}
        }
        if let Some(pause) = notice.pause {
            self.with_pick(|pick| pick.pause(pause));
        }
    }

    /// Records that the first part of the response arrived.
    pub(crate) fn record_first_byte(&self) {
        self.with_pick(Pick::record_first_byte);
    }

    /// How long the oldest pending call to the endpoint has waited for the first part of its
    /// response.
    pub(crate) fn oldest_wait(&self) -> Duration {
        self.with_pick(Pick::oldest_wait).unwrap_or_default()
    }

    /// Returns true if the endpoint has answered any call since it was picked for this one.
    pub(crate) fn has_answered_others(&self) -> bool {
        self.with_pick(Pick::has_answered_others).unwrap_or(true)
    }

    /// Log event for the selection, with the reasons for it.
    pub(crate) fn chosen_event(&self) -> Event {
        let (az, reasons, cached) = self
            .with_pick(|pick| {
                let az = pick.endpoint().announced.az.clone();
                (az, *pick.reasons(), pick.cached_share())
            })
            .unwrap_or_default();
        Event::Chosen {
            endpoint: self.name.clone(),
            az,
            expected_ms: reasons.mean_latency.unwrap_or_default().as_millis() as u64,
            in_flight: reasons.in_flight,
            others: reasons.others,
            others_ms: Some(reasons.others_age.as_millis() as u64),
            unread_tokens: None,
            cached_percent: Some((cached * 100.0) as u64),
            slowness_percent: (reasons.slowness * 100.0) as u64,
            candidates: reasons.candidates,
        }
    }

    fn with_pick<T>(&self, f: impl FnOnce(&Pick) -> T) -> Option<T> {
        let pick = self.pick.lock();
        pick.expect("no holder of this lock panics").as_ref().map(f)
    }

    pub(crate) fn picked_at(&self) -> Instant {
        self.picked_at
    }

    /// Releases the slot and reports the call's result to the router. Only the first call has an
    /// effect.
    pub(crate) fn finish(
        &self,
        verdict: CallVerdict,
        first: Option<Instant>,
        cached: Option<PromptCacheUsage>,
    ) {
        let pick = self
            .pick
            .lock()
            .expect("no holder of this lock panics")
            .take();
        let Some(pick) = pick else {
            return;
        };
        let (outcome, ended) = match verdict {
            CallVerdict::Succeeded => (CallOutcome::Answered, Some(CallEnd::Answered)),
            CallVerdict::Rejected => (CallOutcome::Answered, Some(CallEnd::Failed)),
            CallVerdict::Refused => (CallOutcome::Refused, Some(CallEnd::Failed)),
            CallVerdict::Failed => (CallOutcome::Failed, Some(CallEnd::Failed)),
            CallVerdict::Stalled => (CallOutcome::Stalled, Some(CallEnd::Failed)),
            CallVerdict::Late => (CallOutcome::Cancelled, Some(CallEnd::Late)),
            CallVerdict::Cancelled => (CallOutcome::Cancelled, None),
        };
        if let (Some(counter), Some(ended)) = (&self.counter, ended) {
            counter.record(ended);
        }
        pick.finish(Observation {
            first_byte: first.map(|at| at.saturating_duration_since(self.picked_at)),
            cache_usage: cached.map(|c| CacheUsage {
                cached: c.cached_tokens,
                prompt: c.prompt_tokens,
            }),
            ..Observation::new(outcome, self.picked_at.elapsed())
        });
    }
}

impl Drop for PickedEndpoint {
    /// Reports the endpoint as late if the call was dropped at its deadline.
    fn drop(&mut self) {
        let is_past_deadline = self
            .deadline
            .is_some_and(|deadline| Instant::now() >= deadline);
        if is_past_deadline {
            self.finish(CallVerdict::Late, None, None);
        }
    }
}
