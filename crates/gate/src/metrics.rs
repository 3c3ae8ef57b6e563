//! Prometheus metrics of the gate. All label values come from bounded sets.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex},
    time::Duration,
};

use host::problem::Outcome;
use prometheus::{
    CounterVec, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, core::Collector,
};

use crate::engine::PromptCacheUsage;

/// Most values of one label; further ones are counted as [`OTHER`].
const MAX_LABEL_VALUES: usize = 256;
const OTHER: &str = "other";

/// Upper bounds of the histogram buckets in seconds.
const BUCKETS: [f64; 14] = [
    0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// Whether the time and tokens of an endpoint contributed to a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CostKind {
    /// Part of the response.
    Useful,
    /// Cancelled, late, repeated or failed.
    Wasted,
}

impl CostKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Useful => "useful",
            Self::Wasted => "wasted",
        }
    }
}

/// Values seen for one label, bounded by [`MAX_LABEL_VALUES`].
#[derive(Debug, Default)]
struct LabelValues(Mutex<HashSet<String>>);

impl LabelValues {
    fn bounded<'a>(&self, name: &'a str) -> &'a str {
        let mut names = self.0.lock().expect("no holder of this lock panics");
        if names.contains(name) {
            return name;
        }
        match names.len() < MAX_LABEL_VALUES {
            true => {
                names.insert(name.to_owned());
                name
            }
            false => OTHER,
        }
    }
}

/// Metrics of the gate; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Metrics(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    registry: Registry,
    pipelines: LabelValues,
    workspaces: LabelValues,
    services: LabelValues,
    by_request: RequestMetrics,
    by_service: ServiceMetrics,
    gauges: Gauges,
}

/// Metrics by pipeline and workspace.
#[derive(Debug)]
struct RequestMetrics {
    requests: IntCounterVec,
    attained: IntCounterVec,
    request_seconds: HistogramVec,
    queue_seconds: HistogramVec,
    hangups: IntCounter,
}

/// Metrics by service.
#[derive(Debug)]
struct ServiceMetrics {
    stage_seconds: HistogramVec,
    endpoint_seconds: CounterVec,
    tokens: IntCounterVec,
    calls: IntCounterVec,
    retries: IntCounterVec,
    prompt_tokens: IntCounterVec,
    hedges: IntCounterVec,
    resumptions: IntCounterVec,
    retry_budget: GaugeVec,
}

/// Metrics of the current state.
#[derive(Debug)]
struct Gauges {
    in_flight: IntGauge,
    revision: IntGauge,
    ejections: IntGauge,
    admission_limit: IntGauge,
    admission_waiting: IntGauge,
}

/// Current values of the gauges.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GaugeValues {
    /// Requests and settlements in flight.
    pub(crate) in_flight: usize,
    /// Revision of the declaration in force.
    pub(crate) revision: u64,
    /// Endpoints ejected since the start.
    pub(crate) ejections: u64,
    /// Most requests that are admitted at one time.
    pub(crate) admission_limit: u32,
    /// Requests waiting for admission.
    pub(crate) admission_waiting: usize,
}

/// Creates metrics and registers them.
struct MetricFactory<'a>(&'a Registry);

impl MetricFactory<'_> {
    fn register<C: Collector + Clone + 'static>(&self, created: prometheus::Result<C>) -> C {
        let metric = created.expect("metric names and labels are valid");
        let registered = self.0.register(Box::new(metric.clone()));
        registered.expect("every metric is registered once");
        metric
    }

    fn counter(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        self.register(IntCounterVec::new(Opts::new(name, help), labels))
    }

    fn histogram(&self, name: &str, help: &str, label: &str) -> HistogramVec {
        let opts = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
        self.register(HistogramVec::new(opts, &[label]))
    }

    fn gauge(&self, name: &str, help: &str) -> IntGauge {
        self.register(IntGauge::new(name, help))
    }
}

impl RequestMetrics {
    fn new(m: &MetricFactory<'_>) -> Self {
        let attained = "Requests answered completely within their deadline";
        let request = "Time from a request's head to its answer";
        let queue = "Time that a request waited for admission";
        let labels = ["pipeline", "workspace"];
        let by_outcome = ["pipeline", "workspace", "outcome"];
        let hangups = IntCounter::new("jujube_hangups_total", "Callers that hung up early");
        Self {
            requests: m.counter("jujube_requests_total", "Requests by outcome", &by_outcome),
            attained: m.counter("jujube_attained_total", attained, &labels),
            request_seconds: m.histogram("jujube_request_seconds", request, "pipeline"),
            queue_seconds: m.histogram("jujube_queue_seconds", queue, "workspace"),
            hangups: m.register(hangups),
        }
    }
}

impl ServiceMetrics {
    fn new(m: &MetricFactory<'_>) -> Self {
        let service = ["service"];
        let by_use = ["service", "use"];
        let by_result = ["service", "result"];
        let by_outcome = ["service", "fate"];
        let prompt = "Tokens of prompts, kept and read, as endpoints tell";
        let stage = "Time of a stage with all its tries";
        let resumed = "Streams that went on over another connection";
        let seconds = Opts::new("jujube_endpoint_seconds_total", "Endpoint time by use");
        let budget = Opts::new("jujube_retry_budget", "Retries and hedges left");
        Self {
            stage_seconds: m.histogram("jujube_stage_seconds", stage, "service"),
            endpoint_seconds: m.register(CounterVec::new(seconds, &by_use)),
            tokens: m.counter("jujube_tokens_total", "Tokens by use", &by_use),
            calls: m.counter("jujube_calls_total", "Calls by result", &by_result),
            prompt_tokens: m.counter("jujube_prompt_tokens_total", prompt, &by_outcome),
            retries: m.counter("jujube_retries_total", "Tries after the first", &service),
            hedges: m.counter("jujube_hedges_total", "Hedges sent", &service),
            resumptions: m.counter("jujube_resumptions_total", resumed, &service),
            retry_budget: m.register(GaugeVec::new(budget, &service)),
        }
    }
}

impl Gauges {
    fn new(m: &MetricFactory<'_>) -> Self {
        let limit = "Most requests admitted at one time";
        let waiting = "Requests that wait for admission";
        Self {
            in_flight: m.gauge("jujube_in_flight", "Requests and settlements in flight"),
            revision: m.gauge("jujube_revision", "Revision of the declaration in force"),
            ejections: m.gauge("jujube_ejections", "Endpoints ejected since the start"),
            admission_limit: m.gauge("jujube_admission_limit", limit),
            admission_waiting: m.gauge("jujube_admission_waiting", waiting),
        }
    }
}

impl Metrics {
    /// Creates the metrics in their own registry.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let factory = MetricFactory(&registry);
        Self(Arc::new(Inner {
            by_request: RequestMetrics::new(&factory),
            by_service: ServiceMetrics::new(&factory),
            gauges: Gauges::new(&factory),
            pipelines: LabelValues::default(),
            workspaces: LabelValues::default(),
            services: LabelValues::default(),
            registry,
        }))
    }

    /// The registry, for the metrics page and for metrics of other crates.
    pub(crate) fn registry(&self) -> &Registry {
        &self.0.registry
    }

    pub(crate) fn record_request(
        &self,
        pipeline: &str,
        workspace: &str,
        outcome: Outcome,
        elapsed: Duration,
        is_in_time: bool,
    ) {
        let m = &*self.0;
        let pipeline = m.pipelines.bounded(pipeline);
        let workspace = m.workspaces.bounded(workspace);
        let labels = [pipeline, workspace, outcome.as_str()];
        m.by_request.requests.with_label_values(&labels).inc();
        m.by_request
            .request_seconds
            .with_label_values(&[pipeline])
            .observe(elapsed.as_secs_f64());
        if outcome == Outcome::Completed && is_in_time {
            m.by_request
                .attained
                .with_label_values(&[pipeline, workspace])
                .inc();
        }
    }

    /// Records that a request waited for admission.
    pub(crate) fn record_queue_wait(&self, workspace: &str, waited: Duration) {
        let workspace = self.0.workspaces.bounded(workspace);
        let histogram = self
            .0
            .by_request
            .queue_seconds
            .with_label_values(&[workspace]);
        histogram.observe(waited.as_secs_f64());
    }

    /// Records the duration of a completed stage.
    pub(crate) fn record_stage(&self, service: &str, elapsed: Duration) {
        let service = self.0.services.bounded(service);
        let histogram = self
            .0
            .by_service
            .stage_seconds
            .with_label_values(&[service]);
        histogram.observe(elapsed.as_secs_f64());
    }

    /// Records time and tokens that an endpoint spent on a call.
    pub(crate) fn record_cost(
        &self,
        service: &str,
        kind: CostKind,
        elapsed: Duration,
        tokens: u64,
    ) {
        let labels = [self.0.services.bounded(service), kind.as_str()];
        let seconds = self
            .0
            .by_service
            .endpoint_seconds
            .with_label_values(&labels);
        seconds.inc_by(elapsed.as_secs_f64());
        self.0
            .by_service
            .tokens
            .with_label_values(&labels)
            .inc_by(tokens);
    }

    /// Counts a call by its `result`, one of a fixed set of labels.
    pub(crate) fn record_call(&self, service: &str, result: &'static str) {
        let labels = [self.0.services.bounded(service), result];
        self.0.by_service.calls.with_label_values(&labels).inc();
    }

    /// Records how much of a prompt an endpoint had cached.
    pub(crate) fn record_prompt(&self, service: &str, cached: PromptCacheUsage) {
        let service = self.0.services.bounded(service);
        let read = cached.prompt_tokens.saturating_sub(cached.cached_tokens);
        for (outcome, tokens) in [("kept", cached.cached_tokens), ("read", read)] {
            let counter = &self.0.by_service.prompt_tokens;
            let counter = counter.with_label_values(&[service, outcome]);
            counter.inc_by(u64::from(tokens));
        }
    }

    pub(crate) fn record_retry(&self, service: &str) {
        let service = self.0.services.bounded(service);
        self.0
            .by_service
            .retries
            .with_label_values(&[service])
            .inc();
    }

    pub(crate) fn record_hedge(&self, service: &str) {
        let service = self.0.services.bounded(service);
        self.0.by_service.hedges.with_label_values(&[service]).inc();
    }

    /// Counts a stream resumed over another connection.
    pub(crate) fn record_resumption(&self, service: &str) {
        let service = self.0.services.bounded(service);
        self.0
            .by_service
            .resumptions
            .with_label_values(&[service])
            .inc();
    }

    /// Counts a caller that disconnected before its response.
    pub(crate) fn record_hangup(&self) {
        self.0.by_request.hangups.inc();
    }

    /// Updates the gauges for the metrics page.
    pub(crate) fn set_gauges(&self, values: &GaugeValues) {
        let m = &self.0.gauges;
        m.in_flight.set(values.in_flight as i64);
        m.revision.set(values.revision as i64);
        m.ejections.set(values.ejections as i64);
        m.admission_limit.set(i64::from(values.admission_limit));
        m.admission_waiting.set(values.admission_waiting as i64);
    }

    /// Updates the remaining retry budget of a service for the metrics page.
    pub(crate) fn retry_budget(&self, service: &str, remaining: f64) {
        let service = self.0.services.bounded(service);
        self.0
            .by_service
            .retry_budget
            .with_label_values(&[service])
            .set(remaining);
    }
}
