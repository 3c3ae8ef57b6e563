//! The counters of a gate that passes requests on.

use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry, exponential_buckets};

/// The registered metrics.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    seconds: HistogramVec,
}

impl Metrics {
    /// Registers all metrics in a registry of their own.
    pub(crate) fn new() -> eyre::Result<Self> {
        let registry = Registry::new();
        let requests = IntCounterVec::new(
            Opts::new("jujube_forward_requests_total", "Requests by outcome."),
            &["outcome"],
        )?;
        let seconds = HistogramVec::new(
            HistogramOpts::new(
                "jujube_forward_answer_seconds",
                "Time to the head of the answer by outcome.",
            )
            .buckets(exponential_buckets(0.002, 2.0, 13)?),
            &["outcome"],
        )?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(seconds.clone()))?;
        Ok(Self {
            registry,
            requests,
            seconds,
        })
    }

    /// Counts a request.
    pub(crate) fn answered(&self, outcome: &str, took: Duration) {
        self.requests.with_label_values(&[outcome]).inc();
        let seconds = self.seconds.with_label_values(&[outcome]);
        seconds.observe(took.as_secs_f64());
    }

    /// The text of the metrics page.
    pub(crate) fn text(&self) -> String {
        host::http::metrics_text(&self.registry)
    }
}
