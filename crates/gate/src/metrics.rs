//! What the gate measures; every label comes from a bounded set of names.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex},
    time::Duration,
};

use host::problem::Outcome;
use prometheus::{
    CounterVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

/// Most names that one kind of label takes before further ones count as [`OTHER`].
const MAX_NAMES: usize = 256;
const OTHER: &str = "other";

/// Upper bounds of the histograms' buckets in seconds.
const BUCKETS: [f64; 14] = [
    0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// Whether endpoint time and tokens served the answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Use {
    /// They are part of the answer.
    Useful,
    /// They were cancelled, late, repeated or failed.
    Wasted,
}

impl Use {
    fn as_str(self) -> &'static str {
        match self {
            Self::Useful => "useful",
            Self::Wasted => "wasted",
        }
    }
}

/// Names seen as one kind of label, bounded.
#[derive(Debug, Default)]
struct Names(Mutex<HashSet<String>>);

impl Names {
    fn bounded<'a>(&self, name: &'a str) -> &'a str {
        let mut names = self.0.lock().expect("no holder of this lock panics");
        if names.contains(name) {
            return name;
        }
        match names.len() < MAX_NAMES {
            true => {
                names.insert(name.to_owned());
                name
            }
            false => OTHER,
        }
    }
}

/// The gate's metrics; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Metrics(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    registry: Registry,
    pipelines: Names,
    workspaces: Names,
    services: Names,
    requests: IntCounterVec,
    attained: IntCounterVec,
    request_seconds: HistogramVec,
    queue_seconds: HistogramVec,
    stage_seconds: HistogramVec,
    endpoint_seconds: CounterVec,
    tokens: IntCounterVec,
    calls: IntCounterVec,
    retries: IntCounterVec,
    hedges: IntCounterVec,
    resumptions: IntCounterVec,
    hangups: IntCounter,
    in_flight: IntGauge,
    revision: IntGauge,
    ejections: IntGauge,
}

fn counter(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let made = IntCounterVec::new(Opts::new(name, help), labels);
    let counter = made.expect("metric names and labels are valid");
    let registered = registry.register(Box::new(counter.clone()));
    registered.expect("every metric is registered once");
    counter
}

fn histogram(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
    let histogram = HistogramVec::new(opts, labels).expect("metric names and labels are valid");
    let registered = registry.register(Box::new(histogram.clone()));
    registered.expect("every metric is registered once");
    histogram
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("metric names are valid");
    let registered = registry.register(Box::new(gauge.clone()));
    registered.expect("every metric is registered once");
    gauge
}

impl Metrics {
    /// Metrics in a registry of their own.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let r = &registry;
        let seconds = CounterVec::new(
            Opts::new(
                "jujube_endpoint_seconds_total",
                "Endpoint time by service and use",
            ),
            &["service", "use"],
        );
        let endpoint_seconds = seconds.expect("metric names and labels are valid");
        let registered = r.register(Box::new(endpoint_seconds.clone()));
        registered.expect("every metric is registered once");
        let hangups = IntCounter::new("jujube_hangups_total", "Callers that hung up early");
        let hangups = hangups.expect("metric names are valid");
        let registered = r.register(Box::new(hangups.clone()));
        registered.expect("every metric is registered once");
        let by_request = ["pipeline", "workspace"];
        let by_outcome = ["pipeline", "workspace", "outcome"];
        Self(Arc::new(Inner {
            requests: counter(
                r,
                "jujube_requests_total",
                "Requests by outcome",
                &by_outcome,
            ),
            attained: counter(
                r,
                "jujube_attained_total",
                "Requests answered completely within their deadline",
                &by_request,
            ),
            request_seconds: histogram(
                r,
                "jujube_request_seconds",
                "Time from a request's head to its answer",
                &["pipeline"],
            ),
            queue_seconds: histogram(
                r,
                "jujube_queue_seconds",
                "Time that a request waited for admission",
                &["workspace"],
            ),
            stage_seconds: histogram(
                r,
                "jujube_stage_seconds",
                "Time of a stage with all its tries",
                &["service"],
            ),
            endpoint_seconds,
            tokens: counter(
                r,
                "jujube_tokens_total",
                "Tokens by service and use",
                &["service", "use"],
            ),
            calls: counter(
                r,
                "jujube_calls_total",
                "Calls by result",
                &["service", "result"],
            ),
            retries: counter(
                r,
                "jujube_retries_total",
                "Tries after the first",
                &["service"],
            ),
            hedges: counter(r, "jujube_hedges_total", "Hedges sent", &["service"]),
            resumptions: counter(
                r,
                "jujube_resumptions_total",
                "Streams that went on over another connection",
                &["service"],
            ),
            hangups,
            in_flight: gauge(r, "jujube_in_flight", "Requests and settlements in flight"),
            revision: gauge(r, "jujube_revision", "Revision of the declaration in force"),
            ejections: gauge(r, "jujube_ejections", "Endpoints ejected since the start"),
            pipelines: Names::default(),
            workspaces: Names::default(),
            services: Names::default(),
            registry,
        }))
    }

    /// The registry, for the metrics page and for metrics of other crates.
    pub(crate) fn registry(&self) -> &Registry {
        &self.0.registry
    }

    /// A request ended.
    pub(crate) fn request(
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
        m.requests.with_label_values(&labels).inc();
        m.request_seconds
            .with_label_values(&[pipeline])
            .observe(elapsed.as_secs_f64());
        if outcome == Outcome::Completed && is_in_time {
            m.attained.with_label_values(&[pipeline, workspace]).inc();
        }
    }

    /// A request waited `waited` for admission.
    pub(crate) fn queued(&self, workspace: &str, waited: Duration) {
        let workspace = self.0.workspaces.bounded(workspace);
        let histogram = self.0.queue_seconds.with_label_values(&[workspace]);
        histogram.observe(waited.as_secs_f64());
    }

    /// A stage gave its result.
    pub(crate) fn stage(&self, service: &str, elapsed: Duration) {
        let service = self.0.services.bounded(service);
        let histogram = self.0.stage_seconds.with_label_values(&[service]);
        histogram.observe(elapsed.as_secs_f64());
    }

    /// An endpoint spent time and tokens on a call.
    pub(crate) fn cost(&self, service: &str, use_: Use, elapsed: Duration, tokens: u64) {
        let labels = [self.0.services.bounded(service), use_.as_str()];
        let seconds = self.0.endpoint_seconds.with_label_values(&labels);
        seconds.inc_by(elapsed.as_secs_f64());
        self.0.tokens.with_label_values(&labels).inc_by(tokens);
    }

    /// A call ended with `result`, one of a fixed set of names.
    pub(crate) fn call(&self, service: &str, result: &'static str) {
        let labels = [self.0.services.bounded(service), result];
        self.0.calls.with_label_values(&labels).inc();
    }

    /// A stage is tried again.
    pub(crate) fn retry(&self, service: &str) {
        let service = self.0.services.bounded(service);
        self.0.retries.with_label_values(&[service]).inc();
    }

    /// A hedge is sent.
    pub(crate) fn hedge(&self, service: &str) {
        let service = self.0.services.bounded(service);
        self.0.hedges.with_label_values(&[service]).inc();
    }

    /// A stream goes on over another connection.
    pub(crate) fn resumption(&self, service: &str) {
        let service = self.0.services.bounded(service);
        self.0.resumptions.with_label_values(&[service]).inc();
    }

    /// A caller hung up before its answer.
    pub(crate) fn hangup(&self) {
        self.0.hangups.inc();
    }

    /// The state of the moment, for the metrics page.
    pub(crate) fn now(&self, in_flight: usize, revision: u64, ejections: u64) {
        self.0.ejections.set(ejections as i64);
        self.0.in_flight.set(in_flight as i64);
        self.0.revision.set(revision as i64);
    }
}
