//! Metrics of a forwarding gate.

use std::{collections::BTreeMap, time::Duration};

use ingress::{BodyBudgets, Listener, Reason};
use logs::SilenceOutcome;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    exponential_buckets,
};
use routing::TableSizes;

use crate::{availability::UnavailableReason, fleet::Fleet};

/// Histogram buckets for the number of items in a call.
const ITEMS: [f64; 8] = [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0];

/// The registered metrics. Clones share them. Label values are outcomes, which are few, and
/// services, whose number the declaration limits.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    seconds: HistogramVec,
    first_part: HistogramVec,
    stages: HistogramVec,
    calls: HistogramVec,
    items: HistogramVec,
    retries: IntCounterVec,
    silences: IntCounterVec,
    prompt_seconds: HistogramVec,
    prompt_tokens: IntCounterVec,
    cross_zone_bytes: IntCounterVec,
    batch_bounds: IntCounterVec,
    limited_calls: IntCounterVec,
    permits: IntCounterVec,
    placement: PlacementMetrics,
    items_without_result: IntCounterVec,
    admissions: AdmissionCounters,
    endpoints: IntGaugeVec,
    ejections: IntCounter,
    crashes: IntCounterVec,
    blocked_parts: IntGauge,
    evacuations: EvacuationGauges,
    confirmed: IntGauge,
    in_flight: IntGauge,
    callers: CallerGauges,
}

/// What the listener for callers holds, and its limits.
#[derive(Clone, Debug)]
struct CallerGauges {
    connections: IntGaugeVec,
    bytes: IntGaugeVec,
    refused: IntGaugeVec,
    closed: IntGaugeVec,
}

/// Requests that were checked before their first stage, and work of refused ones.
#[derive(Clone, Debug)]
struct AdmissionCounters {
    checked: IntCounterVec,
    wasted_ms: IntCounterVec,
}

impl AdmissionCounters {
    fn new(registrar: &Registrar) -> eyre::Result<Self> {
        Ok(Self {
            checked: registrar.counters(
                "stage_admissions_total",
                "Requests whose pools were asked for their waits before the first stage: admitted, admitted because one did not reply (unanswered), or refused because of a pool.",
                &["outcome", "pool"],
            )?,
            wasted_ms: registrar.counters(
                "wasted_ms_total",
                "Endpoint time of stages, as declared, whose request was refused afterwards.",
                &["service"],
            )?,
        })
    }
}

impl CallerGauges {
    fn new(registrar: &Registrar) -> eyre::Result<Self> {
        Ok(Self {
            connections: registrar.gauges(
                "caller_connections",
                "Callers' connections and their limit.",
                &["state"],
            )?,
            bytes: registrar.gauges(
                "caller_bytes",
                "Bytes held for callers and their limit: heads and bodies up to 32 KiB (small), larger bodies (large).",
                &["budget", "state"],
            )?,
            refused: registrar.gauges(
                "caller_bytes_refused",
                "Heads and bodies since the start that did not fit into their budget.",
                &["budget"],
            )?,
            closed: registrar.gauges(
                "caller_connections_closed",
                "Callers' connections closed or refused since the start, by reason.",
                &["reason"],
            )?,
        })
    }
}

/// Placement of calls with prompts by one gate of the zone.
#[derive(Clone, Debug)]
struct PlacementMetrics {
    calls: IntCounterVec,
    seconds: HistogramVec,
    table: IntGaugeVec,
}

impl PlacementMetrics {
    fn new(registrar: &Registrar) -> eyre::Result<Self> {
        Ok(Self {
            calls: registrar.counters(
                "placements_total",
                "Calls with prompts by who chose the endpoint, if one gate of the zone does: coordinator or gate.",
                &["service", "by"],
            )?,
            seconds: registrar.histograms(
                "placement_seconds",
                "Time of queries to the placement coordinator that were answered with an endpoint.",
                &["service"],
                exponential_buckets(0.000_25, 2.0, 8)?,
            )?,
            table: registrar.gauges(
                "placement_table",
                "Engines, open calls and cached parts in the tables of the services that this gate places.",
                &["service", "of"],
            )?,
        })
    }
}

/// Evacuations of availability zones.
#[derive(Clone, Debug)]
struct EvacuationGauges {
    zones: IntGauge,
    version: IntGauge,
}

impl EvacuationGauges {
    fn new(registrar: &Registrar) -> eyre::Result<Self> {
        Ok(Self {
            zones: registrar.gauge(
                "evacuated_zones",
                "Availability zones that get no requests because operators evacuated them.",
            )?,
            version: registrar.gauge(
                "evacuations_version",
                "Version of the keepers' evacuations that is applied here.",
            )?,
        })
    }
}

/// Creates metrics and registers them in one registry.
struct Registrar(Registry);

impl Registrar {
    fn counters(&self, name: &str, help: &str, labels: &[&str]) -> eyre::Result<IntCounterVec> {
        let counters = IntCounterVec::new(Opts::new(metric_name(name), help), labels)?;
        self.0.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    fn times(&self, name: &str, help: &str, labels: &[&str]) -> eyre::Result<HistogramVec> {
        self.histograms(name, help, labels, exponential_buckets(0.002, 2.0, 13)?)
    }

    fn histograms(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
        buckets: Vec<f64>,
    ) -> eyre::Result<HistogramVec> {
        let opts = HistogramOpts::new(metric_name(name), help).buckets(buckets);
        let histograms = HistogramVec::new(opts, labels)?;
        self.0.register(Box::new(histograms.clone()))?;
        Ok(histograms)
    }

    fn gauge(&self, name: &str, help: &str) -> eyre::Result<IntGauge> {
        let gauge = IntGauge::new(metric_name(name), help)?;
        self.0.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> eyre::Result<IntGaugeVec> {
        let gauges = IntGaugeVec::new(Opts::new(metric_name(name), help), labels)?;
        self.0.register(Box::new(gauges.clone()))?;
        Ok(gauges)
    }

    fn counter(&self, name: &str, help: &str) -> eyre::Result<IntCounter> {
        let counter = IntCounter::new(metric_name(name), help)?;
        self.0.register(Box::new(counter.clone()))?;
        Ok(counter)
    }
}

fn metric_name(name: &str) -> String {
    format!("jujube_forward_{name}")
}

/// Returns the size class of a prompt.
fn prompt_size(tokens: u32) -> &'static str {
    match tokens {
        0..=1_024 => "to_1k",
        1_025..=4_096 => "to_4k",
        4_097..=16_384 => "to_16k",
        _ => "more",
    }
}

fn outcome(is_good: bool) -> &'static str {
    if is_good { "good" } else { "failed" }
}

impl Metrics {
    /// Registers all metrics in a new registry.
    pub(crate) fn new() -> eyre::Result<Self> {
        let registrar = Registrar(Registry::new());
        let by = &["service", "outcome"];
        Ok(Self {
            requests: registrar.counters("requests_total", "Requests by outcome.", &["outcome"])?,
            seconds: registrar.times(
                "answer_seconds",
                "Time to the head of the answer by outcome.",
                &["outcome"],
            )?,
            first_part: registrar.times(
                "first_part_seconds",
                "Time from the call to the first part of its answer.",
                &["service"],
            )?,
            stages: registrar.times("stage_seconds", "Time of a request's stage.", by)?,
            calls: registrar.times("batch_seconds", "Time of a batched call.", by)?,
            items: registrar.histograms(
                "batch_items",
                "Items of a batched call.",
                &["service"],
                ITEMS.to_vec(),
            )?,
            retries: registrar.counters(
                "retries_total",
                "Retries that the budget allowed or refused.",
                &["service", "budget"],
            )?,
            silences: registrar.counters(
                "silences_total",
                "Responses whose endpoint fell silent: kept, overtaken by another endpoint, or silent until the deadline.",
                &["service", "outcome"],
            )?,
            prompt_seconds: registrar.times(
                "prompt_seconds",
                "Time from the arrival of a request to its first event or to a choice of an endpoint, by tokens of its prompt.",
                &["service", "size", "to"],
            )?,
            prompt_tokens: registrar.counters(
                "prompt_tokens_total",
                "Tokens of prompts that the endpoint was thought to keep, and those that it read.",
                &["service", "fate"],
            )?,
            cross_zone_bytes: registrar.counters(
                "crossing_bytes_total",
                "Bytes of results, as declared, that calls fetch from other availability zones.",
                &["service"],
            )?,
            batch_bounds: registrar.counters(
                "batch_bounds_total",
                "Batched calls by what kept them from holding more: batch, room or items.",
                &["service", "by"],
            )?,
            limited_calls: registrar.counters(
                "limited_calls_total",
                "Calls sent to endpoints that name a request rate: requests, batches or releases.",
                &["service", "call"],
            )?,
            permits: registrar.counters(
                "permits_total",
                "Requests for permits to call endpoints that name a request rate: granted or refused.",
                &["service", "outcome"],
            )?,
            placement: PlacementMetrics::new(&registrar)?,
            items_without_result: registrar.counters(
                "items_unmade_total",
                "Items of batched calls without a result, by cause; many are called again.",
                &["service", "cause"],
            )?,
            admissions: AdmissionCounters::new(&registrar)?,
            endpoints: registrar.gauges(
                "endpoints",
                "Endpoints known, those that take new work, and the others by reason.",
                &["service", "state"],
            )?,
            ejections: registrar.counter("ejections_total", "Endpoints ejected.")?,
            crashes: registrar.counters(
                "endpoint_crashes_total",
                "Endpoints that broke off calls of this gate and refused connections.",
                &["service"],
            )?,
            blocked_parts: registrar.gauge(
                "blocked_parts",
                "Parts of prompts that are blocked because endpoints crashed under them.",
            )?,
            evacuations: EvacuationGauges::new(&registrar)?,
            confirmed: registrar.gauge(
                "confirmed_age_ms",
                "Age of the last confirmation of the declaration; -1 for none.",
            )?,
            callers: CallerGauges::new(&registrar)?,
            in_flight: registrar
                .gauge("requests_in_flight", "Requests that are being answered.")?,
            registry: registrar.0,
        })
    }

    /// Records a handled request.
    pub(crate) fn record_answer(&self, outcome: &str, took: Duration) {
        self.requests.with_label_values(&[outcome]).inc();
        let seconds = self.seconds.with_label_values(&[outcome]);
        seconds.observe(took.as_secs_f64());
    }

    /// Records the time to the first part of a response.
    pub(crate) fn record_first_part(&self, service: &str, took: Duration) {
        let seconds = self.first_part.with_label_values(&[service]);
        seconds.observe(took.as_secs_f64());
    }

    /// Records the time from the arrival of a request with a prompt to its first event
    /// (`first_event`) or to a choice of an endpoint (`choice`).
    pub(crate) fn record_prompt_time(&self, service: &str, tokens: u32, to: &str, took: Duration) {
        let labels = [service, prompt_size(tokens), to];
        let seconds = self.prompt_seconds.with_label_values(&labels);
        seconds.observe(took.as_secs_f64());
    }

    /// Counts prompt tokens that the endpoint was expected to have cached or to read.
    pub(crate) fn record_prompt(&self, service: &str, kept: u64, read: u64) {
        for (outcome, tokens) in [("kept", kept), ("read", read)] {
            let counter = self.prompt_tokens.with_label_values(&[service, outcome]);
            counter.inc_by(tokens);
        }
    }

    /// Counts bytes of results that a call fetches from other availability zones.
    pub(crate) fn record_cross_zone_bytes(&self, service: &str, bytes: u64) {
        if bytes > 0 {
            self.cross_zone_bytes
                .with_label_values(&[service])
                .inc_by(bytes);
        }
    }

    /// Counts a batched call by what kept it from including more items.
    pub(crate) fn record_batch_bound(&self, service: &str, by: &str) {
        self.batch_bounds.with_label_values(&[service, by]).inc();
    }

    /// Counts a call to an endpoint that names a request rate.
    pub(crate) fn record_limited_call(&self, service: &str, call: &str) {
        self.limited_calls.with_label_values(&[service, call]).inc();
    }

    /// Counts a request for permits.
    pub(crate) fn record_permit(&self, service: &str, outcome: &str) {
        self.permits.with_label_values(&[service, outcome]).inc();
    }

    /// Records the time of a query to the placement coordinator.
    pub(crate) fn record_placement_query(&self, service: &str, took: Duration) {
        let seconds = self.placement.seconds.with_label_values(&[service]);
        seconds.observe(took.as_secs_f64());
    }

    /// Counts a call with a prompt by who chose its endpoint.
    pub(crate) fn record_zone_placement(&self, service: &str, by: &str) {
        self.placement.calls.with_label_values(&[service, by]).inc();
    }

    /// Records the sizes of the tables of the services that this gate places.
    pub(crate) fn set_placement_tables(&self, tables: &[(String, TableSizes)]) {
        self.placement.table.reset();
        for (service, sizes) in tables {
            for (of, size) in [
                ("engines", sizes.engines),
                ("calls", sizes.calls),
                ("parts", sizes.parts),
            ] {
                let gauge = self.placement.table.with_label_values(&[service, of]);
                gauge.set(size as i64);
            }
        }
    }

    /// Counts a crash of an endpoint.
    pub(crate) fn record_crash(&self, service: &str) {
        self.crashes.with_label_values(&[service]).inc();
    }

    /// Sets the number of blocked parts.
    pub(crate) fn set_blocked_parts(&self, parts: usize) {
        self.blocked_parts.set(parts as i64);
    }

    /// Counts items of a call that have no result, by cause.
    pub(crate) fn record_items_without_result(
        &self,
        service: &str,
        causes: &BTreeMap<&'static str, u64>,
    ) {
        for (cause, items) in causes {
            let counter = self
                .items_without_result
                .with_label_values(&[service, cause]);
            counter.inc_by(*items);
        }
    }

    /// Counts a request whose pools were asked for their waits. `pool` is the one for which it was
    /// refused.
    pub(crate) fn record_stage_admission(&self, outcome: &str, pool: &str) {
        let counter = self.admissions.checked.with_label_values(&[outcome, pool]);
        counter.inc();
    }

    /// Counts endpoint time of a stage whose request was refused afterwards.
    pub(crate) fn record_wasted(&self, service: &str, time: Duration) {
        let counter = self.admissions.wasted_ms.with_label_values(&[service]);
        counter.inc_by(time.as_millis() as u64);
    }

    /// Records a stage of a request.
    pub(crate) fn record_stage(&self, service: &str, is_good: bool, took: Duration) {
        let labels = [service, outcome(is_good)];
        let seconds = self.stages.with_label_values(&labels);
        seconds.observe(took.as_secs_f64());
    }

    /// Records a batched call.
    pub(crate) fn record_batch(&self, service: &str, items: usize, is_good: bool, took: Duration) {
        let labels = [service, outcome(is_good)];
        let seconds = self.calls.with_label_values(&labels);
        seconds.observe(took.as_secs_f64());
        let fill = self.items.with_label_values(&[service]);
        fill.observe(items as f64);
    }

    /// Counts a requested retry.
    pub(crate) fn record_retry(&self, service: &str, is_allowed: bool) {
        let label = if is_allowed { "allowed" } else { "refused" };
        self.retries.with_label_values(&[service, label]).inc();
    }

    /// Counts a response whose endpoint fell silent.
    pub(crate) fn record_silence(&self, service: &str, outcome: SilenceOutcome) {
        let counter = self.silences.with_label_values(&[service, outcome.label()]);
        counter.inc();
    }

    /// Records what is held for callers, and the limits.
    pub(crate) fn set_callers(&self, connections: &Listener, memory: &BodyBudgets) {
        let set = |gauges: &IntGaugeVec, labels: &[&str], value: u64| {
            let gauge = gauges.with_label_values(labels);
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        };
        set(
            &self.callers.connections,
            &["open"],
            connections.open() as u64,
        );
        let limit = connections.max_open() as u64;
        set(&self.callers.connections, &["limit"], limit);
        for (name, budget) in [("small", memory.small()), ("large", memory.large())] {
            set(&self.callers.bytes, &[name, "held"], budget.held() as u64);
            set(&self.callers.bytes, &[name, "limit"], budget.limit() as u64);
            set(&self.callers.refused, &[name], budget.refused() as u64);
        }
        for reason in Reason::ALL {
            let closed = connections.closed(reason);
            set(&self.callers.closed, &[reason.label()], closed);
        }
    }

    /// Renders the metrics page.
    pub(crate) fn text(
        &self,
        fleet: &Fleet,
        confirmed: Option<Duration>,
        in_flight: usize,
    ) -> String {
        for counts in fleet.endpoint_counts() {
            let unavailable = |label| (label, counts.unavailable.get(label).copied().unwrap_or(0));
            let states = [("known", counts.known), ("sound", counts.healthy)];
            for (state, count) in states
                .into_iter()
                .chain(UnavailableReason::LABELS.map(unavailable))
                .chain(counts.cold.map(|count| ("cold", count)))
            {
                let gauge = self.endpoints.with_label_values(&[&counts.service, state]);
                gauge.set(count as i64);
            }
        }
        let ejected = fleet.ejections().saturating_sub(self.ejections.get());
        self.ejections.inc_by(ejected);
        let (version, evacuated) = fleet.reachable().evacuations();
        self.evacuations.version.set(version as i64);
        self.evacuations.zones.set(evacuated as i64);
        self.confirmed
            .set(confirmed.map_or(-1, |age| age.as_millis() as i64));
        self.in_flight.set(in_flight as i64);
        host::http::metrics_text(&self.registry)
    }
}
