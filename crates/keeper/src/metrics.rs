//! Prometheus metrics of a keeper.

use std::time::Duration;

use link::keeper::KeeperReply;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, exponential_buckets,
};
use replica::{Role, Status};

use crate::state::State;

/// The registered metrics.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    latency: HistogramVec,
    term: IntGauge,
    is_leader: IntGauge,
    commit: IntGauge,
    applied: IntGauge,
    revision: IntGauge,
    audit_bytes: IntGauge,
    oldest_audit: IntGauge,
    ledger_keys: IntGauge,
    ledger_bytes: IntGauge,
    blocked_parts: IntGauge,
    evacuated_zones: IntGauge,
    evacuations_version: IntGauge,
}

impl Metrics {
    /// Registers all metrics in a new registry.
    pub fn new() -> eyre::Result<Self> {
        let registry = Registry::new();
        let gauge = |name: &str, help: &str| -> eyre::Result<IntGauge> {
            let gauge = IntGauge::new(format!("jujube_keeper_{name}"), help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let requests = IntCounterVec::new(
            Opts::new(
                "jujube_keeper_requests_total",
                "Requests of clients by kind and reply.",
            ),
            &["kind", "reply"],
        )?;
        registry.register(Box::new(requests.clone()))?;
        let buckets = exponential_buckets(0.000_25, 2.0, 14)?;
        let latency = HistogramVec::new(
            HistogramOpts::new(
                "jujube_keeper_request_seconds",
                "Time to the reply by kind of request.",
            )
            .buckets(buckets),
            &["kind"],
        )?;
        registry.register(Box::new(latency.clone()))?;
        Ok(Self {
            requests,
            latency,
            term: gauge("term", "Term of the log.")?,
            is_leader: gauge("is_leader", "1 while this keeper leads.")?,
            commit: gauge("commit_index", "Last committed index known here.")?,
            applied: gauge("applied_index", "Last index applied here.")?,
            revision: gauge("revision", "Revision of the declaration here.")?,
            audit_bytes: gauge(
                "audit_bytes",
                "Estimated memory of the audit records in bytes.",
            )?,
            oldest_audit: gauge(
                "audit_oldest_revision",
                "Oldest revision with an audit record; the records before it were dropped.",
            )?,
            ledger_keys: gauge("ledger_keys", "Keys in the ledger.")?,
            ledger_bytes: gauge("ledger_output_bytes", "Bytes of outputs in the ledger.")?,
            blocked_parts: gauge("blocked_parts", "Blocked parts of prompts.")?,
            evacuated_zones: gauge("evacuated_zones", "Evacuated availability zones.")?,
            evacuations_version: gauge("evacuations_version", "Version of the evacuations.")?,
            registry,
        })
    }

    /// Records one request's kind, reply and latency.
    pub fn record_reply(&self, kind: &str, reply: &KeeperReply, elapsed: Duration) {
        let label = match reply {
            KeeperReply::NoQuorum => "no_quorum",
            KeeperReply::Invalid(_) => "invalid",
            _ => "answered",
        };
        self.requests.with_label_values(&[kind, label]).inc();
        let latency = self.latency.with_label_values(&[kind]);
        latency.observe(elapsed.as_secs_f64());
    }

    /// Updates the gauges and returns all metrics in the Prometheus text format.
    pub fn text(&self, status: &Status, state: &State) -> String {
        self.term.set(status.term as i64);
        self.is_leader.set(i64::from(status.role == Role::Leader));
        self.commit.set(status.commit as i64);
        self.applied.set(status.applied as i64);
        self.revision.set(state.declaration.revision() as i64);
        let declaration = &state.declaration;
        self.audit_bytes.set(declaration.history_bytes() as i64);
        self.oldest_audit.set(declaration.oldest_audit() as i64);
        self.ledger_keys.set(state.ledger.len() as i64);
        self.ledger_bytes.set(state.ledger.output_bytes() as i64);
        self.blocked_parts
            .set(state.blocked_parts.blocks().len() as i64);
        let evacuations = &state.evacuations;
        self.evacuated_zones
            .set(evacuations.evacuated().count() as i64);
        self.evacuations_version.set(evacuations.version() as i64);
        host::http::metrics_text(&self.registry)
    }
}
