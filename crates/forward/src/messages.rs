//! Messages between gates about batched stages.

use std::time::Duration;

use derives::record;
use logs::Event;
use thiserror::Error;

/// The items of one stage of one request.
#[record]
#[derive(Eq)]
pub struct Submission {
    /// Id of the caller's request.
    #[serde(rename = "r")]
    pub request: String,
    /// The service, a batch pool.
    #[serde(rename = "s")]
    pub service: String,
    /// Index of the stage in the route.
    #[serde(rename = "n")]
    pub stage: usize,
    /// Number of items.
    #[serde(rename = "i")]
    pub items: u32,
    /// Key from which items without inputs are produced.
    #[serde(rename = "k")]
    pub key: Option<String>,
    /// Handles of the results that every item needs.
    #[serde(rename = "h")]
    pub inputs: Vec<String>,
    /// Approximate size of one result in bytes.
    #[serde(rename = "b")]
    pub result_bytes: u64,
    /// Approximate number of bytes that cross zones if all items run in another zone.
    #[serde(rename = "c")]
    pub crossing_bytes: u64,
    /// Time after which the results are no longer useful.
    #[serde(rename = "l")]
    pub remaining: Duration,
    /// Urgency, 0 first.
    #[serde(rename = "u")]
    pub urgency: u8,
    /// Milliseconds until the results are due for the request to meet its objective; negative if it
    /// is missed already.
    #[serde(rename = "d")]
    pub due_ms: i64,
    /// The availability zone of the request.
    #[serde(rename = "z")]
    pub az: String,
    /// True if the reply shall contain the expected wait.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub wants_wait: bool,
    /// Key of the workspace and kind of the request, if shares count; see [`routing::fair_share`].
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub flow: Option<u64>,
}

/// Largest time in a submission, in milliseconds: the longest one that can be declared.
const MAX_MS: i64 = 86_400_000;
/// Largest number of bytes in a submission, so that sums of them do not overflow.
const MAX_BYTES: u64 = 1 << 40;

impl Submission {
    /// Returns the key of the flow; requests without one share a flow.
    pub(crate) fn flow(&self) -> u64 {
        self.flow.unwrap_or_default()
    }

    /// Limits numbers that another gate sent, so that computing with them does not overflow.
    pub(crate) fn bounded(self) -> Self {
        Self {
            result_bytes: self.result_bytes.min(MAX_BYTES),
            crossing_bytes: self.crossing_bytes.min(MAX_BYTES),
            remaining: self
                .remaining
                .min(Duration::from_millis(MAX_MS.unsigned_abs())),
            due_ms: self.due_ms.clamp(-MAX_MS, MAX_MS),
            ..self
        }
    }

    /// Logs that the items get no results, with `remaining` time until the deadline. `queue` is the
    /// number of waiting items and of callable endpoints if the items were refused immediately.
    pub(crate) fn log_failure(
        &self,
        failure: &StageFailure,
        remaining: Duration,
        queue: Option<(usize, usize)>,
    ) {
        logs::write(
            Some(&self.request),
            &Event::ItemsFailed {
                service: self.service.clone(),
                stage: self.stage,
                why: failure.to_string(),
                waiting: queue.map(|(waiting, _)| waiting),
                endpoints: queue.map(|(_, endpoints)| endpoints),
                left_ms: remaining.as_millis() as u64,
            },
        );
    }
}

/// A result that an endpoint stores.
#[record]
#[derive(Eq)]
pub struct StoredResult {
    /// The handle.
    #[serde(rename = "h")]
    pub handle: String,
    /// The endpoint that stores it.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// The availability zone of the endpoint.
    #[serde(rename = "z")]
    pub az: String,
    /// Time since the endpoint reported it; it was stored before the other items of its stage.
    #[serde(rename = "a", default)]
    pub age: Duration,
}

/// Why a stage has no results.
#[record]
#[derive(Eq, Error)]
pub enum StageFailure {
    /// It can't be completed in time.
    #[error("it can't be done in time; room is likely in {retry_after:?}")]
    Late {
        /// When free capacity is likely.
        retry_after: Duration,
    },
    /// Too many items are queued for the endpoints to complete it in time; it was not accepted.
    #[error("too much waits for its endpoints; room is likely in {retry_after:?}")]
    Crowded {
        /// When free capacity is likely.
        retry_after: Duration,
    },
    /// Every endpoint that would take it has requested a pause.
    #[error("its endpoints requested a pause of {retry_after:?}")]
    Paused {
        /// When the first of these endpoints takes work again.
        retry_after: Duration,
    },
    /// The request rates that its endpoints name are used up.
    #[error("the request rates of its endpoints are used up for {retry_after:?}")]
    Limited {
        /// When the first of these endpoints takes work again.
        retry_after: Duration,
    },
    /// An input is gone.
    #[error("an input is gone")]
    InputGone,
    /// No endpoint takes it.
    #[error("no endpoint is available for it")]
    NoEndpoint,
    /// Its endpoints are in evacuated availability zones.
    #[error("the availability zones of its endpoints are evacuated")]
    Evacuated,
    /// The collecting gate is shutting down and has not started it; another gate collects from now
    /// on.
    #[error("the gate that collects it is shutting down")]
    Moved,
    /// Its items failed repeatedly.
    #[error("its items failed again and again")]
    Failed,
    /// The collecting gate could not be reached.
    #[error("the gate that collects it could not be reached")]
    Unreachable,
}

/// A request to the gate that collects a service's items.
#[record]
pub enum StageRequest {
    /// Submits the items of a stage.
    Submit(Submission),
    /// Waits for the results of a ticket.
    Await(u64),
    /// Waits until the endpoints have fetched the inputs of a ticket.
    AwaitFetched(u64),
    /// Cancels a ticket.
    Cancel(u64),
    /// Releases results, given the service and their handles.
    Free(String, Vec<String>),
    /// Asks how long these items would wait, and announces them if they would be in time. They will be
    /// submitted after the given time. Gates of earlier versions reply to it with no message.
    Forecast(Submission, Duration),
}

/// When items can be called that are submitted soon.
#[record]
#[derive(Copy, Eq)]
pub struct Forecast {
    /// The expected wait from now on, until announced and waiting items before them are completed.
    #[serde(rename = "w")]
    pub wait: Duration,
    /// True if the items would be completed in time; they are expected then.
    #[serde(rename = "t")]
    pub is_in_time: bool,
}

/// The reply to a [`StageRequest`].
#[record]
pub enum StageReply {
    /// To [`StageRequest::Submit`]: the ticket id.
    Accepted(u64),
    /// To [`StageRequest::Submit`] that wants the expected wait: the ticket id and the wait.
    Queued(u64, Duration),
    /// To [`StageRequest::Submit`] if the items were refused.
    Refused(StageFailure),
    /// To [`StageRequest::Await`]: the results or the failure.
    Done(Result<Vec<StoredResult>, StageFailure>),
    /// To [`StageRequest::AwaitFetched`]: true if the inputs were fetched, false if that is not
    /// known.
    Fetched(bool),
    /// To [`StageRequest::Forecast`].
    Expected(Forecast),
    /// To all other requests.
    Noted,
}
