//! Admission of a request before its first stage starts.

use std::{
    sync::{MutexGuard, PoisonError},
    time::Duration,
};

use declaration::Route;
use futures_util::future::join_all;
use link::Channel;
use logs::Event;
use routing::stage_admission::{GraphEstimate, PoolWaits, StageAdmission, StageEstimate, TooFull};
use tokio::time::Instant;

use super::{LOCAL_COLLECTOR, StageContext, Stages};
use crate::{
    gates::CollectorChoice,
    incoming::IncomingRequest,
    messages::{Forecast, StageFailure, StageReply, StageRequest, Submission},
    rules::Rules,
};

/// Time in which collectors reply to a request for a forecast; without a reply there is no wait.
const FORECAST_TIMEOUT: Duration = Duration::from_millis(100);

impl Stages {
    /// Refuses a request if its last pool and its call can't be passed before its deadline. The waits
    /// reported before only decide whether the collectors are asked; without a present reply of all
    /// collectors that would be tried for a stage, it counts as having no wait.
    pub(super) async fn admit(&self, cx: &StageContext<'_>) -> Result<(), StageFailure> {
        if self.admission == StageAdmission::Pool {
            return Ok(());
        }
        let stages = cx.route.stages.iter().enumerate();
        let stages = stages.map(|(number, stage)| StageEstimate {
            after: &stage.after,
            wait: self.reported_wait(cx, number),
            duration: cx.stage_time(number),
        });
        let mut graph = GraphEstimate {
            stages: stages.collect(),
            request_time: cx.request_time.min(cx.route.objective),
            remaining: cx.deadline.saturating_duration_since(Instant::now()),
        };
        if !graph.is_suspect() {
            return Ok(());
        }
        let submitted_in = graph.submitted_in().into_iter().enumerate();
        let waits = submitted_in.map(|(number, at)| self.present_wait(cx, number, at));
        let waits = join_all(waits).await;
        let is_answered = waits.iter().all(Option::is_some);
        for (stage, wait) in graph.stages.iter_mut().zip(waits) {
            stage.wait = wait.unwrap_or_default();
        }
        let admitted = graph.admit();
        let (outcome, pool) = match &admitted {
            Ok(()) if is_answered => ("admitted", ""),
            Ok(()) => ("unanswered", ""),
            Err(refused) => ("refused", cx.route.stages[refused.stage].service.as_str()),
        };
        self.metrics.record_stage_admission(outcome, pool);
        admitted.map_err(|refused| refuse(cx, &refused))
    }

    /// Returns the expected wait of stage `number` by the latest reports: the shortest one of the
    /// availability zones that would be tried.
    fn reported_wait(&self, cx: &StageContext<'_>, number: usize) -> Duration {
        if cx.stage_time(number).is_zero() {
            return Duration::ZERO;
        }
        let submission = cx.announcement(number, self.flow(cx));
        let zones = self.zones(&submission);
        let (waits, now) = (self.waits(), Instant::now());
        let expected =
            |az: &String| waits.expected(&submission.service, az, submission.urgency, now);
        zones.iter().map(expected).min().unwrap_or_default()
    }

    /// Asks the collectors for the present wait of stage `number`, one after the other until one
    /// expects its items, and returns the shortest wait; `None` if one of them does not reply.
    async fn present_wait(
        &self,
        cx: &StageContext<'_>,
        number: usize,
        submitted_in: Duration,
    ) -> Option<Duration> {
        if cx.stage_time(number).is_zero() {
            return Some(Duration::ZERO);
        }
        let mut submission = cx.announcement(number, self.flow(cx));
        let mut shortest = Duration::MAX;
        for az in self.zones(&submission) {
            submission.az = az;
            let forecast = self.forecast(&submission, submitted_in).await?;
            self.record_wait(&submission, forecast.wait);
            shortest = shortest.min(forecast.wait);
            if forecast.is_in_time {
                break;
            }
        }
        Some(shortest)
    }

    /// Asks the gate that collects the items; `None` if it does not reply.
    async fn forecast(&self, submission: &Submission, submitted_in: Duration) -> Option<Forecast> {
        let (service, az) = (&submission.service, &submission.az);
        let peer = match self.gates.collector_for(service, az, 0) {
            CollectorChoice::Local => {
                return self.forecast_locally(submission.clone(), submitted_in).ok();
            }
            CollectorChoice::Remote(peer) => peer,
            CollectorChoice::Unavailable => return None,
        };
        let request = StageRequest::Forecast(submission.clone(), submitted_in);
        match peer.call(Channel::Stages, &request, FORECAST_TIMEOUT).await {
            Ok(StageReply::Expected(forecast)) => Some(forecast),
            // A gate of an earlier version, one that is shutting down or one without endpoints.
            Ok(_) | Err(_) => None,
        }
    }

    /// Returns how long the items would wait at this gate.
    pub(super) fn forecast_locally(
        &self,
        submission: Submission,
        submitted_in: Duration,
    ) -> Result<Forecast, StageFailure> {
        if self.collector.is_leaving() {
            return Err(StageFailure::Moved);
        }
        let by_zone = self.collected_zone(&submission);
        self.collector.forecast(submission, submitted_in, by_zone)
    }

    /// Keeps the wait that a collector reported for `submission`.
    pub(super) fn record_wait(&self, submission: &Submission, wait: Duration) {
        if self.admission == StageAdmission::Graph {
            let now = Instant::now();
            let (service, az) = (&submission.service, &submission.az);
            self.waits()
                .record(service, az, submission.urgency, wait, now);
        }
    }

    /// Keeps the wait with which a collector refused `submission`.
    pub(super) fn record_refusal(&self, submission: &Submission, failure: &StageFailure) {
        if let StageFailure::Crowded { retry_after } = failure {
            self.record_wait(submission, *retry_after);
        }
    }

    /// Records the time for which the completed stages of a refused request occupied endpoints, as
    /// parts of full calls.
    pub(crate) fn record_wasted(
        &self,
        route: &Route,
        rules: &Rules,
        incoming: &IncomingRequest,
        completed: impl Iterator<Item = usize>,
    ) {
        for number in completed {
            let name = &route.stages[number].service;
            let batch = rules.service(name).and_then(|s| s.capacity.batch.as_ref());
            let items = incoming.items.get(number).copied().unwrap_or(0);
            let time = batch.map_or(Duration::ZERO, |batch| {
                (batch.call_overhead / batch.max_items.max(1) + batch.item_duration)
                    .saturating_mul(items)
            });
            self.metrics.record_wasted(name, time);
        }
    }

    fn waits(&self) -> MutexGuard<'_, PoolWaits> {
        self.waits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StageContext<'_> {
    /// The items of stage `number`, before those that it needs are known.
    fn announcement(&self, number: usize, flow: Option<u64>) -> Submission {
        let stage = &self.route.stages[number];
        Submission {
            request: self.incoming.id.clone(),
            service: stage.service.clone(),
            stage: number,
            items: self.incoming.items.get(number).copied().unwrap_or(0),
            key: None,
            inputs: Vec::new(),
            result_bytes: stage.result_bytes,
            crossing_bytes: 0,
            remaining: self.remaining(number),
            urgency: self.urgency,
            due_ms: self.due_ms(number),
            az: self.az.to_owned(),
            wants_wait: false,
            flow,
        }
    }
}

/// Logs that the request is refused, and returns the failure.
fn refuse(cx: &StageContext<'_>, refused: &TooFull) -> StageFailure {
    let why = format!(
        "refused before its first stage: the expected wait is {} ms, {} ms more than its deadline allows",
        refused.wait.as_millis(),
        refused.excess.as_millis()
    );
    cx.request_log.note(Event::StageFailed {
        stage: refused.stage,
        service: cx.route.stages[refused.stage].service.clone(),
        collector: LOCAL_COLLECTOR.to_owned(),
        why,
        took_ms: 0,
    });
    StageFailure::Crowded {
        retry_after: refused.excess,
    }
}
