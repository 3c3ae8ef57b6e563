//! Runs the stages of a request; each starts when the results that it needs are available.

mod admission;
mod results;

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::Duration,
};

use declaration::Route;
use futures_util::{StreamExt, stream::FuturesUnordered};
use link::{Channel, LinkError, Peer};
use logs::{Event, RequestLog};
pub(crate) use results::Results;
use results::{Inputs, expires_at, input_bytes, send_best_effort, zone_with_most_bytes};
use routing::{
    fair_share::{FairShares, flow_key},
    stage_admission::{PoolWaits, StageAdmission},
};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::{
    collector::{Accepted, Collector},
    gates::{CollectorChoice, Gates},
    incoming::IncomingRequest,
    messages::{StageFailure, StageReply, StageRequest, StoredResult, Submission},
    metrics::Metrics,
    rules::Rules,
    stage_graph::StageGraph,
    zone_order,
};

/// Timeout of submitting items to the gate that collects them.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after the deadline in which a collecting gate still replies.
const AWAIT_GRACE: Duration = Duration::from_millis(300);
/// How often stages are run again because their results were gone before they were used.
const MAX_RESTARTS: u32 = 1;
/// Maximum number of gates that are tried for one stage.
const MAX_COLLECTORS: usize = 3;

/// How often a stage follows from a gate that shuts down to the one that collects instead, and the
/// delay before each time.
const MAX_HANDOVERS: u32 = 4;
const HANDOVER_DELAY: Duration = Duration::from_millis(25);

/// Assumed retention of results if none is declared.
const DEFAULT_RETENTION: Duration = Duration::from_hours(1);

/// Name of this gate as a collector in the request log.
const LOCAL_COLLECTOR: &str = "this gate";

/// Runs stages. Clones share state.
#[derive(Clone, Debug)]
pub(crate) struct Stages {
    pub(crate) gates: Gates,
    pub(crate) collector: Collector,
    pub(crate) metrics: Metrics,
    pub(crate) admission: StageAdmission,
    pub(crate) fair_shares: FairShares,
    /// Waits that collectors reported.
    pub(crate) waits: Arc<Mutex<PoolWaits>>,
}

/// What all stages of a request have in common.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StageContext<'a> {
    pub(crate) request_log: &'a RequestLog,
    pub(crate) incoming: &'a IncomingRequest,
    pub(crate) route: &'a Route,
    /// Urgency, 0 first.
    pub(crate) urgency: u8,
    /// The workspace, if the route requires one.
    pub(crate) workspace: Option<&'a str>,
    /// Name of the route.
    pub(crate) route_name: &'a str,
    /// The declared services.
    pub(crate) rules: &'a Rules,
    /// Expected duration of the request itself, after its stages.
    pub(crate) request_time: Duration,
    pub(crate) deadline: Instant,
    /// The availability zone in which the request will probably run.
    pub(crate) az: &'a str,
}

/// Records that a collecting gate could not be reached.
fn record_unreachable(
    cx: &StageContext<'_>,
    submission: &Submission,
    gate: &Peer,
    started_at: Instant,
    e: &LinkError,
) -> StageFailure {
    cx.request_log.note(Event::StageFailed {
        stage: submission.stage,
        service: submission.service.clone(),
        collector: gate.name().to_owned(),
        why: format!("could not reach the collecting gate: {e}"),
        took_ms: started_at.elapsed().as_millis() as u64,
    });
    StageFailure::Unreachable
}

/// Submitted items, cancelled when dropped before they are completed.
struct Pending {
    ticket: Option<u64>,
    collector: Collector,
    via: Option<Peer>,
}

impl Drop for Pending {
    fn drop(&mut self) {
        match (self.ticket.take(), self.via.take()) {
            (None, _) => {}
            (Some(ticket), None) => self.collector.cancel(ticket),
            (Some(ticket), Some(peer)) => send_best_effort(peer, StageRequest::Cancel(ticket)),
        }
    }
}

impl StageContext<'_> {
    /// Time in which the results of stage `number` are still useful: what later stages and the
    /// request don't need. The expected duration of the request counts only up to its objective, so
    /// that an estimate made under load doesn't refuse everything.
    fn remaining(&self, number: usize) -> Duration {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let request_time = self.request_time.min(self.route.objective);
        remaining.saturating_sub(self.time_after(number) + request_time)
    }

    /// Milliseconds until the results of stage `number` are due for the request to meet its
    /// objective.
    fn due_ms(&self, number: usize) -> i64 {
        let spent =
            self.incoming.received_at.elapsed() + self.time_after(number) + self.request_time;
        self.route.objective.as_millis() as i64 - spent.as_millis() as i64
    }

    /// Expected duration of the stages that depend on `number`.
    fn time_after(&self, number: usize) -> Duration {
        let followers = (0..self.route.stages.len())
            .filter(|n| *n > number && self.route.stages[*n].after.contains(&number));
        let times = followers.map(|n| self.stage_time(n) + self.time_after(n));
        times.max().unwrap_or_default()
    }

    fn stage_time(&self, number: usize) -> Duration {
        let items = self.incoming.items.get(number).copied().unwrap_or(0);
        let service = self.rules.service(&self.route.stages[number].service);
        let batch = service.and_then(|s| s.capacity.batch.as_ref());
        match batch {
            Some(batch) if items > 0 => {
                batch.call_overhead + batch.item_duration * items.min(batch.max_items)
            }
            _ => Duration::ZERO,
        }
    }
}

impl Stages {
    /// Runs all stages and returns the results of those that no other stage follows. If inputs of a
    /// stage are gone, for example together with the endpoint that held them, the stages that
    /// produced them run again.
    pub(crate) async fn run(
        &self,
        cx: &StageContext<'_>,
    ) -> Result<Vec<Arc<Results>>, StageFailure> {
        self.admit(cx).await?;
        let mut graph = StageGraph::new(&cx.route.stages);
        let mut running = FuturesUnordered::new();
        let mut restarts = 0;
        loop {
            while let Some((number, inputs)) = graph.start_next() {
                running.push(async move { (number, self.stage(cx, number, inputs).await) });
            }
            let Some((number, result)) = running.next().await else {
                break;
            };
            match result {
                Ok(results) => graph.finish(number, results.map(Arc::new)),
                Err(StageFailure::InputGone) if restarts < MAX_RESTARTS => {
                    restarts += 1;
                    graph.restart(number);
                }
                Err(failure) => {
                    self.record_wasted(cx.route, cx.rules, cx.incoming, graph.completed());
                    return Err(failure);
                }
            }
        }
        Ok(graph.into_results())
    }

    /// Runs one stage; returns `None` if it has no items for this request.
    async fn stage(
        &self,
        cx: &StageContext<'_>,
        number: usize,
        inputs: Vec<Arc<Results>>,
    ) -> Result<Option<Results>, StageFailure> {
        let items = cx.incoming.items.get(number).copied().unwrap_or(0);
        if items == 0 {
            return Ok(None);
        }
        let stage = &cx.route.stages[number];
        let expires = inputs.iter().map(|results| results.expires).min();
        let handles = inputs.iter().flat_map(|results| results.handles());
        let key = cx.incoming.item_key.clone();
        let mut submission = Submission {
            request: cx.incoming.id.clone(),
            service: stage.service.clone(),
            stage: number,
            items,
            key: key.filter(|_| stage.after.is_empty()),
            inputs: handles.collect(),
            result_bytes: stage.result_bytes,
            crossing_bytes: u64::from(items)
                .saturating_mul(input_bytes(&inputs).unwrap_or(stage.result_bytes)),
            // Set for each submission.
            remaining: Duration::ZERO,
            urgency: cx.urgency,
            due_ms: 0,
            az: zone_with_most_bytes(&inputs).unwrap_or_else(|| cx.az.to_owned()),
            wants_wait: self.admission == StageAdmission::Graph,
            flow: self.flow(cx),
        };
        let zones = self.zones(&submission);
        let mut crowded = None;
        let mut inputs = Inputs::new(inputs);
        for az in zones {
            submission.az = az;
            let results = self.run_in_zone(cx, &mut submission, expires, &mut inputs);
            match results.await {
                Ok(results) => return Ok(Some(results)),
                Err(StageFailure::Unreachable) => {}
                // Another zone may have free slots.
                Err(failure @ StageFailure::Crowded { .. }) => crowded = Some(failure),
                Err(failure) => return Err(failure),
            }
        }
        match crowded {
            Some(failure) => Err(failure),
            None => self
                .collect_locally(cx, &submission, &mut inputs)
                .await
                .map(Some),
        }
    }

    /// Returns the key of the workspace and kind of the request, if shares count.
    fn flow(&self, cx: &StageContext<'_>) -> Option<u64> {
        match self.fair_shares {
            FairShares::Off => None,
            FairShares::Workspaces => Some(flow_key(cx.workspace, cx.route_name)),
        }
    }

    /// Returns the availability zones whose collectors are tried in turn; only one if items of all
    /// zones are collected together.
    fn zones(&self, submission: &Submission) -> Vec<String> {
        if !self.gates.collects_by_zone() {
            return vec![submission.az.clone()];
        }
        let healthy = self.collector.healthy_by_zone(&submission.service);
        let own_az = self.gates.az();
        let zones = zone_order::zones_to_try(&submission.az, own_az, &healthy, &submission.request);
        zones.into_iter().map(str::to_owned).collect()
    }

    /// Submits the items to the gates that collect in their zone, one after the other until one
    /// accepts or refuses them.
    async fn run_in_zone(
        &self,
        cx: &StageContext<'_>,
        submission: &mut Submission,
        expires: Option<Instant>,
        inputs: &mut Inputs,
    ) -> Result<Results, StageFailure> {
        let (mut skip, mut handovers) = (0, 0);
        while skip < MAX_COLLECTORS {
            let retained_for = expires.map(|at| at.saturating_duration_since(Instant::now()));
            let remaining = cx.remaining(submission.stage);
            submission.remaining =
                retained_for.map_or(remaining, |retained_for| retained_for.min(remaining));
            submission.due_ms = cx.due_ms(submission.stage);
            match self.submit(cx, submission, skip, inputs).await {
                Err(StageFailure::Unreachable) if inputs.are_released() => {
                    return Err(StageFailure::InputGone);
                }
                // Keepers soon publish which gate collects instead.
                Err(StageFailure::Moved) if handovers < MAX_HANDOVERS => {
                    handovers += 1;
                    sleep(HANDOVER_DELAY).await;
                }
                Err(StageFailure::Moved | StageFailure::Unreachable) => skip += 1,
                ended => return ended,
            }
        }
        Err(StageFailure::Unreachable)
    }

    /// Records the result of a stage that `collector` collected.
    fn record_end(
        &self,
        cx: &StageContext<'_>,
        submission: &Submission,
        collector: &str,
        started_at: Instant,
        result: &Result<Vec<StoredResult>, StageFailure>,
    ) {
        let took = started_at.elapsed();
        let took_ms = took.as_millis() as u64;
        self.metrics
            .record_stage(&submission.service, result.is_ok(), took);
        cx.request_log.note(match result {
            Ok(results) => {
                let endpoints = results.iter().map(|result| result.endpoint.clone());
                Event::StageMade {
                    stage: submission.stage,
                    endpoints: endpoints.collect::<BTreeSet<_>>().into_iter().collect(),
                    took_ms,
                }
            }
            Err(failure) => Event::StageFailed {
                stage: submission.stage,
                service: submission.service.clone(),
                collector: collector.to_owned(),
                why: failure.to_string(),
                took_ms,
            },
        });
    }

    fn record_sent(cx: &StageContext<'_>, submission: &Submission, collector: &str) {
        cx.request_log.note(Event::StageSent {
            stage: submission.stage,
            service: submission.service.clone(),
            items: submission.items,
            collector: collector.to_owned(),
            due_ms: submission.due_ms,
        });
    }

    async fn submit(
        &self,
        cx: &StageContext<'_>,
        submission: &Submission,
        skip: usize,
        inputs: &mut Inputs,
    ) -> Result<Results, StageFailure> {
        let peer = match self
            .gates
            .collector_for(&submission.service, &submission.az, skip)
        {
            CollectorChoice::Local => return self.collect_locally(cx, submission, inputs).await,
            CollectorChoice::Remote(peer) => peer,
            CollectorChoice::Unavailable => return Err(StageFailure::Unreachable),
        };
        let started_at = Instant::now();
        Self::record_sent(cx, submission, peer.name());
        // A link that was just requested soon comes up.
        let _ = timeout(SUBMIT_TIMEOUT, peer.connected()).await;
        let submit = StageRequest::Submit(submission.clone());
        let ticket = match peer.call(Channel::Stages, &submit, SUBMIT_TIMEOUT).await {
            Ok(StageReply::Accepted(ticket)) => ticket,
            Ok(StageReply::Queued(ticket, wait)) => {
                self.record_wait(submission, wait);
                ticket
            }
            Ok(StageReply::Refused(failure)) => {
                self.record_refusal(submission, &failure);
                let refused = Err(failure);
                self.record_end(cx, submission, peer.name(), started_at, &refused);
                return refused.map(|results| self.results(cx, submission, results, None));
            }
            Ok(_) => return Err(StageFailure::Unreachable),
            Err(e) => return Err(record_unreachable(cx, submission, &peer, started_at, &e)),
        };
        let mut pending = Pending {
            ticket: Some(ticket),
            collector: self.collector.clone(),
            via: Some(peer.clone()),
        };
        let remaining = cx.deadline.saturating_duration_since(Instant::now());
        let (wait, fetched) = (
            StageRequest::Await(ticket),
            StageRequest::AwaitFetched(ticket),
        );
        let reply = inputs
            .release_when_fetched(
                peer.call(Channel::Stages, &wait, remaining + AWAIT_GRACE),
                async {
                    let reply = peer.call(Channel::Stages, &fetched, remaining).await;
                    matches!(reply, Ok(StageReply::Fetched(true)))
                },
            )
            .await;
        pending.ticket = None;
        match reply {
            Ok(StageReply::Done(result)) => {
                self.record_end(cx, submission, peer.name(), started_at, &result);
                result.map(|results| self.results(cx, submission, results, Some(peer)))
            }
            Ok(_) => Err(StageFailure::Unreachable),
            Err(e) => Err(record_unreachable(cx, submission, &peer, started_at, &e)),
        }
    }

    /// Enqueues items at this gate: in the queue of their availability zone if zones collect
    /// separately, otherwise in the common queue.
    fn enqueue(&self, submission: Submission) -> Result<Accepted, StageFailure> {
        let by_zone = self.collected_zone(&submission);
        self.collector.submit(submission, by_zone)
    }

    /// Returns the availability zone whose queue collects the items, if zones collect separately.
    fn collected_zone(&self, submission: &Submission) -> Option<String> {
        let by_zone = self.gates.collects_by_zone();
        by_zone.then(|| submission.az.clone())
    }

    /// Collects the items at this gate.
    async fn collect_locally(
        &self,
        cx: &StageContext<'_>,
        submission: &Submission,
        inputs: &mut Inputs,
    ) -> Result<Results, StageFailure> {
        let started_at = Instant::now();
        Self::record_sent(cx, submission, LOCAL_COLLECTOR);
        let results = self.produce_locally(submission, inputs).await;
        self.record_end(cx, submission, LOCAL_COLLECTOR, started_at, &results);
        results.map(|results| self.results(cx, submission, results, None))
    }

    async fn produce_locally(
        &self,
        submission: &Submission,
        inputs: &mut Inputs,
    ) -> Result<Vec<StoredResult>, StageFailure> {
        let until = Instant::now() + submission.remaining + AWAIT_GRACE;
        let accepted = self.enqueue(submission.clone());
        let accepted = accepted.inspect_err(|failure| self.record_refusal(submission, failure))?;
        self.record_wait(submission, accepted.wait);
        let ticket = accepted.ticket;
        let mut pending = Pending {
            ticket: Some(ticket),
            collector: self.collector.clone(),
            via: None,
        };
        let results = inputs.release_when_fetched(
            timeout_at(until, self.collector.wait(ticket)),
            self.collector.inputs_fetched(ticket),
        );
        let results = results.await;
        let results = results.unwrap_or(Err(StageFailure::Failed))?;
        pending.ticket = None;
        Ok(results)
    }

    fn results(
        &self,
        cx: &StageContext<'_>,
        submission: &Submission,
        stored: Vec<StoredResult>,
        via: Option<Peer>,
    ) -> Results {
        let batch = cx.rules.service(&submission.service);
        let batch = batch.and_then(|service| service.capacity.batch.as_ref());
        let keep = batch.map_or(DEFAULT_RETENTION, |b| {
            b.result_retention.saturating_sub(b.call_overhead)
        });
        Results {
            expires: expires_at(&stored, keep, Instant::now()),
            stored,
            bytes: submission.result_bytes,
            service: submission.service.clone(),
            collector: self.collector.clone(),
            via,
        }
    }

    /// Handles a request from another gate.
    pub(crate) async fn answer(&self, body: &[u8]) -> Vec<u8> {
        let reply = match link::decode::<StageRequest>(body) {
            Ok(StageRequest::Submit(_)) if self.collector.is_leaving() => {
                StageReply::Refused(StageFailure::Moved)
            }
            Ok(StageRequest::Submit(submission)) => {
                let wants_wait = submission.wants_wait;
                match self.enqueue(submission) {
                    Ok(accepted) if wants_wait => {
                        StageReply::Queued(accepted.ticket, accepted.wait)
                    }
                    Ok(accepted) => StageReply::Accepted(accepted.ticket),
                    Err(failure) => StageReply::Refused(failure),
                }
            }
            Ok(StageRequest::Forecast(submission, submitted_in)) => {
                match self.forecast_locally(submission, submitted_in) {
                    Ok(forecast) => StageReply::Expected(forecast),
                    Err(failure) => StageReply::Refused(failure),
                }
            }
            Ok(StageRequest::Await(ticket)) => StageReply::Done(self.collector.wait(ticket).await),
            Ok(StageRequest::AwaitFetched(ticket)) => {
                StageReply::Fetched(self.collector.inputs_fetched(ticket).await)
            }
            Ok(StageRequest::Cancel(ticket)) => {
                self.collector.cancel(ticket);
                StageReply::Noted
            }
            Ok(StageRequest::Free(service, handles)) => {
                self.collector.release(&service, handles);
                StageReply::Noted
            }
            Err(_) => return Vec::new(),
        };
        link::encode(&reply)
    }
}
