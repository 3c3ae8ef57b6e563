//! The stages before a request: each begins when the results that it needs are there.

mod results;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use declaration::Route;
use futures_util::{StreamExt, stream::FuturesUnordered};
use link::{Channel, LinkError, Peer};
use logs::{Event, Story};
pub(crate) use results::Results;
use results::{Inputs, fetched, heaviest, note};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::{
    collector::Collector,
    gates::{Collecting, Gates},
    graph::Graph,
    incoming::IncomingRequest,
    messages::{StageFailure, StageReply, StageRequest, StoredResult, Submission},
    metrics::Metrics,
    rules::Rules,
    zones,
};

/// Bound on handing items to the gate that collects them.
const SUBMIT_LIMIT: Duration = Duration::from_millis(250);
/// Time beyond the deadline in which a collecting gate still answers.
const AWAIT_GRACE: Duration = Duration::from_millis(300);
/// Times that stages are done once more since their results were gone before they were used.
const MAX_REMAKES: u32 = 1;
/// Gates that are tried for one stage.
const MAX_COLLECTORS: usize = 3;

/// Times that a stage follows from a gate that goes down to the one that collects instead, and the
/// pause before.
const MAX_MOVES: u32 = 4;
const MOVED_PAUSE: Duration = Duration::from_millis(25);

/// How long results are taken to be kept where nothing is declared.
const LONGEST_KEEP: Duration = Duration::from_hours(1);

/// How this gate is named as the one that collects.
const OWN: &str = "this gate";

/// Does stages; clones share everything.
#[derive(Clone, Debug)]
pub(crate) struct Stages {
    pub(crate) gates: Gates,
    pub(crate) collector: Collector,
    pub(crate) metrics: Metrics,
}

/// What all stages of a request have in common.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work<'a> {
    pub(crate) story: &'a Story,
    pub(crate) incoming: &'a IncomingRequest,
    pub(crate) route: &'a Route,
    /// Urgency, 0 first.
    pub(crate) urgency: u8,
    /// What is declared of the services.
    pub(crate) rules: &'a Rules,
    /// Time that the request itself is likely to take.
    pub(crate) after: Duration,
    pub(crate) deadline: Instant,
    /// The availability zone in which the request is likely to run.
    pub(crate) az: &'a str,
}

/// A gate that could not be asked.
fn unreachable(
    work: &Work<'_>,
    submission: &Submission,
    gate: &Peer,
    began: Instant,
    e: &LinkError,
) -> StageFailure {
    work.story.note(Event::StageFailed {
        stage: submission.stage,
        service: submission.service.clone(),
        collector: gate.name().to_owned(),
        why: format!("the gate that collects was not reached: {e}"),
        took_ms: began.elapsed().as_millis() as u64,
    });
    StageFailure::Unreachable
}

/// Items that were handed over; they are cancelled when dropped before they are done.
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
            (Some(ticket), Some(peer)) => note(peer, StageRequest::Cancel(ticket)),
        }
    }
}

impl Work<'_> {
    /// Time left in which results of stage `number` are of use: the stages behind it and the request
    /// need the rest. What the request is likely to take counts up to its objective, so that an
    /// estimate made under load doesn't refuse everything.
    fn left(&self, number: usize) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let after = self.after.min(self.route.objective);
        left.saturating_sub(self.behind(number) + after)
    }

    /// Milliseconds until the results of stage `number` have to be there if the request is to meet
    /// its objective.
    fn due_ms(&self, number: usize) -> i64 {
        let spent = self.incoming.received_at.elapsed() + self.behind(number) + self.after;
        self.route.objective.as_millis() as i64 - spent.as_millis() as i64
    }

    /// Time that the stages behind `number` are likely to take.
    fn behind(&self, number: usize) -> Duration {
        let followers = (0..self.route.stages.len())
            .filter(|n| *n > number && self.route.stages[*n].after.contains(&number));
        let times = followers.map(|n| self.time(n) + self.behind(n));
        times.max().unwrap_or_default()
    }

    fn time(&self, number: usize) -> Duration {
        let items = self.incoming.items.get(number).copied().unwrap_or(0);
        let service = self.rules.service(&self.route.stages[number].service);
        let batch = service.and_then(|s| s.capacity.batch.as_ref());
        match batch {
            Some(batch) if items > 0 => batch.call + batch.item * items.min(batch.items),
            _ => Duration::ZERO,
        }
    }
}

impl Stages {
    /// Does all stages; the results of those that no other stage follows. Where inputs of a stage are
    /// gone, as with the endpoint that kept them, they are made once more.
    pub(crate) async fn run(&self, work: &Work<'_>) -> Result<Vec<Arc<Results>>, StageFailure> {
        let mut graph = Graph::new(&work.route.stages);
        let mut running = FuturesUnordered::new();
        let mut remakes = 0;
        loop {
            while let Some((number, inputs)) = graph.next() {
                running.push(async move { (number, self.stage(work, number, inputs).await) });
            }
            let Some((number, result)) = running.next().await else {
                break;
            };
            match result {
                Ok(results) => graph.finish(number, results.map(Arc::new)),
                Err(StageFailure::InputGone) if remakes < MAX_REMAKES => {
                    remakes += 1;
                    graph.begin_again(number);
                }
                Err(failure) => return Err(failure),
            }
        }
        Ok(graph.into_results())
    }

    /// Does one stage; `None` where it has no items for this request.
    async fn stage(
        &self,
        work: &Work<'_>,
        number: usize,
        inputs: Vec<Arc<Results>>,
    ) -> Result<Option<Results>, StageFailure> {
        let items = work.incoming.items.get(number).copied().unwrap_or(0);
        if items == 0 {
            return Ok(None);
        }
        let stage = &work.route.stages[number];
        let expires = inputs.iter().map(|results| results.expires).min();
        let handles = inputs.iter().flat_map(|results| results.handles());
        let key = work.incoming.item_key.clone();
        let mut submission = Submission {
            request: work.incoming.id.clone(),
            service: stage.service.clone(),
            stage: number,
            items,
            key: key.filter(|_| stage.after.is_empty()),
            inputs: handles.collect(),
            result_bytes: stage.result_bytes,
            crossing_bytes: u64::from(items) * fetched(&inputs).unwrap_or(stage.result_bytes),
            // Each offer says how much time is left then.
            left: Duration::ZERO,
            urgency: work.urgency,
            due_ms: 0,
            az: heaviest(&inputs).unwrap_or_else(|| work.az.to_owned()),
        };
        let zones = self.zones(&submission);
        let mut crowded = None;
        let mut inputs = Inputs::new(inputs);
        for az in zones {
            submission.az = az;
            let made = self.in_zone(work, &mut submission, expires, &mut inputs);
            match made.await {
                Ok(results) => return Ok(Some(results)),
                Err(StageFailure::Unreachable) => {}
                // Another zone may have slots free.
                Err(failure @ StageFailure::Crowded { .. }) => crowded = Some(failure),
                Err(failure) => return Err(failure),
            }
        }
        match crowded {
            Some(failure) => Err(failure),
            None => self.own(work, &submission, &mut inputs).await.map(Some),
        }
    }

    /// The availability zones whose collectors are asked in turn: one alone where all zones' items
    /// are collected together.
    fn zones(&self, submission: &Submission) -> Vec<String> {
        if !self.gates.is_by_zone() {
            return vec![submission.az.clone()];
        }
        let healthy = self.collector.healthy_by_zone(&submission.service);
        let own = self.gates.az();
        let zones = zones::in_order(&submission.az, own, &healthy, &submission.request);
        zones.into_iter().map(str::to_owned).collect()
    }

    /// Hands the items to the gates that collect in their zone, one after the other until one takes
    /// or refuses them.
    async fn in_zone(
        &self,
        work: &Work<'_>,
        submission: &mut Submission,
        expires: Option<Instant>,
        inputs: &mut Inputs,
    ) -> Result<Results, StageFailure> {
        let (mut skip, mut moves) = (0, 0);
        while skip < MAX_COLLECTORS {
            let kept = expires.map(|at| at.saturating_duration_since(Instant::now()));
            let left = work.left(submission.stage);
            submission.left = kept.map_or(left, |kept| kept.min(left));
            submission.due_ms = work.due_ms(submission.stage);
            match self.submit(work, submission, skip, inputs).await {
                Err(StageFailure::Unreachable) if inputs.are_given_up() => {
                    return Err(StageFailure::InputGone);
                }
                // Keepers tell soon who collects instead.
                Err(StageFailure::Moved) if moves < MAX_MOVES => {
                    moves += 1;
                    sleep(MOVED_PAUSE).await;
                }
                Err(StageFailure::Moved | StageFailure::Unreachable) => skip += 1,
                ended => return ended,
            }
        }
        Err(StageFailure::Unreachable)
    }

    /// Notes what came of a stage that `collector` collected.
    fn note_end(
        &self,
        work: &Work<'_>,
        submission: &Submission,
        collector: &str,
        began: Instant,
        result: &Result<Vec<StoredResult>, StageFailure>,
    ) {
        let took = began.elapsed();
        let took_ms = took.as_millis() as u64;
        self.metrics
            .stage(&submission.service, result.is_ok(), took);
        work.story.note(match result {
            Ok(made) => {
                let endpoints = made.iter().map(|m| m.endpoint.clone());
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

    fn note_sent(work: &Work<'_>, submission: &Submission, collector: &str) {
        work.story.note(Event::StageSent {
            stage: submission.stage,
            service: submission.service.clone(),
            items: submission.items,
            collector: collector.to_owned(),
            due_ms: submission.due_ms,
        });
    }

    async fn submit(
        &self,
        work: &Work<'_>,
        submission: &Submission,
        skip: usize,
        inputs: &mut Inputs,
    ) -> Result<Results, StageFailure> {
        let peer = match self
            .gates
            .collecting(&submission.service, &submission.az, skip)
        {
            Collecting::Own => return self.own(work, submission, inputs).await,
            Collecting::Other(peer) => peer,
            Collecting::Nobody => return Err(StageFailure::Unreachable),
        };
        let began = Instant::now();
        Self::note_sent(work, submission, peer.name());
        // One that was just asked for comes up in a moment.
        let _ = timeout(SUBMIT_LIMIT, peer.connected()).await;
        let submit = StageRequest::Submit(submission.clone());
        let ticket = match peer.call(Channel::Stages, &submit, SUBMIT_LIMIT).await {
            Ok(StageReply::Accepted(ticket)) => ticket,
            Ok(StageReply::Refused(failure)) => {
                let refused = Err(failure);
                self.note_end(work, submission, peer.name(), began, &refused);
                return refused.map(|made| self.results(work, submission, made, None));
            }
            Ok(_) => return Err(StageFailure::Unreachable),
            Err(e) => return Err(unreachable(work, submission, &peer, began, &e)),
        };
        let mut pending = Pending {
            ticket: Some(ticket),
            collector: self.collector.clone(),
            via: Some(peer.clone()),
        };
        let left = work.deadline.saturating_duration_since(Instant::now());
        let (wait, fetched) = (
            StageRequest::Await(ticket),
            StageRequest::AwaitFetched(ticket),
        );
        let reply = inputs
            .until_fetched(
                peer.call(Channel::Stages, &wait, left + AWAIT_GRACE),
                async {
                    let reply = peer.call(Channel::Stages, &fetched, left).await;
                    matches!(reply, Ok(StageReply::Fetched(true)))
                },
            )
            .await;
        pending.ticket = None;
        match reply {
            Ok(StageReply::Done(result)) => {
                self.note_end(work, submission, peer.name(), began, &result);
                result.map(|made| self.results(work, submission, made, Some(peer)))
            }
            Ok(_) => Err(StageFailure::Unreachable),
            Err(e) => Err(unreachable(work, submission, &peer, began, &e)),
        }
    }

    /// Puts items into this gate's line: that of their availability zone where each collects its
    /// own, else that of all.
    fn collect(&self, submission: Submission) -> Result<u64, StageFailure> {
        let az = submission.az.clone();
        let by_zone = self.gates.is_by_zone().then_some(az);
        self.collector.submit(submission, by_zone)
    }

    /// Collects the items at this gate.
    async fn own(
        &self,
        work: &Work<'_>,
        submission: &Submission,
        inputs: &mut Inputs,
    ) -> Result<Results, StageFailure> {
        let began = Instant::now();
        Self::note_sent(work, submission, OWN);
        let made = self.made_here(submission, inputs).await;
        self.note_end(work, submission, OWN, began, &made);
        made.map(|made| self.results(work, submission, made, None))
    }

    async fn made_here(
        &self,
        submission: &Submission,
        inputs: &mut Inputs,
    ) -> Result<Vec<StoredResult>, StageFailure> {
        let until = Instant::now() + submission.left + AWAIT_GRACE;
        let ticket = self.collect(submission.clone())?;
        let mut pending = Pending {
            ticket: Some(ticket),
            collector: self.collector.clone(),
            via: None,
        };
        let made = inputs.until_fetched(
            timeout_at(until, self.collector.wait(ticket)),
            self.collector.inputs_fetched(ticket),
        );
        let made = made.await;
        let made = made.unwrap_or(Err(StageFailure::Failed))?;
        pending.ticket = None;
        Ok(made)
    }

    fn results(
        &self,
        work: &Work<'_>,
        submission: &Submission,
        made: Vec<StoredResult>,
        via: Option<Peer>,
    ) -> Results {
        let batch = work.rules.service(&submission.service);
        let batch = batch.and_then(|service| service.capacity.batch.as_ref());
        let keep = batch.map_or(LONGEST_KEEP, |b| b.keep.saturating_sub(b.call));
        Results {
            made,
            bytes: submission.result_bytes,
            expires: Instant::now() + keep,
            service: submission.service.clone(),
            collector: self.collector.clone(),
            via,
        }
    }

    /// Answers another gate.
    pub(crate) async fn answer(&self, body: &[u8]) -> Vec<u8> {
        let reply = match link::decode::<StageRequest>(body) {
            Ok(StageRequest::Submit(_)) if self.collector.is_leaving() => {
                StageReply::Refused(StageFailure::Moved)
            }
            Ok(StageRequest::Submit(submission)) => match self.collect(submission) {
                Ok(ticket) => StageReply::Accepted(ticket),
                Err(failure) => StageReply::Refused(failure),
            },
            Ok(StageRequest::Await(ticket)) => StageReply::Done(self.collector.wait(ticket).await),
            Ok(StageRequest::AwaitFetched(ticket)) => {
                StageReply::Fetched(self.collector.inputs_fetched(ticket).await)
            }
            Ok(StageRequest::Cancel(ticket)) => {
                self.collector.cancel(ticket);
                StageReply::Noted
            }
            Ok(StageRequest::Free(service, handles)) => {
                self.collector.free(&service, handles);
                StageReply::Noted
            }
            Err(_) => return Vec::new(),
        };
        link::encode(&reply)
    }
}
