//! What gates say to each other about batched stages.

use std::time::Duration;

use derives::record;
use logs::Event;
use thiserror::Error;

/// The items of one stage of one request.
#[record]
#[derive(Eq)]
pub struct Submission {
    /// The id of the caller's request.
    #[serde(rename = "r")]
    pub request: String,
    /// The batch pool.
    #[serde(rename = "s")]
    pub service: String,
    /// The stage's number in the route.
    #[serde(rename = "n")]
    pub stage: usize,
    /// How many items there are.
    #[serde(rename = "i")]
    pub items: u32,
    /// What items without inputs are made of.
    #[serde(rename = "k")]
    pub key: Option<String>,
    /// Handles of the results that every item needs.
    #[serde(rename = "h")]
    pub inputs: Vec<String>,
    /// Size of a result in bytes, about.
    #[serde(rename = "b")]
    pub result_bytes: u64,
    /// Bytes that cross zones where all its items are made in another one, about.
    #[serde(rename = "c")]
    pub crossing_bytes: u64,
    /// Time left until its results are of no use any more.
    #[serde(rename = "l")]
    pub remaining: Duration,
    /// Urgency, 0 first.
    #[serde(rename = "u")]
    pub urgency: u8,
    /// Milliseconds left to have its results if the request is to meet its objective; negative
    /// where it can't any more.
    #[serde(rename = "d")]
    pub due_ms: i64,
    /// The availability zone in which the request is.
    #[serde(rename = "z")]
    pub az: String,
}

impl Submission {
    /// Writes that its items get no results, with `left` until the deadline; `queue` is how many items
    /// wait and how many endpoints may be called, where they were refused at once.
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

/// A result that an endpoint keeps.
#[record]
#[derive(Eq)]
pub struct StoredResult {
    /// Its handle.
    #[serde(rename = "h")]
    pub handle: String,
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// Its availability zone.
    #[serde(rename = "z")]
    pub az: String,
}

/// Why a stage has no results.
#[record]
#[derive(Eq, Error)]
pub enum StageFailure {
    /// It can't be done in time.
    #[error("it can't be done in time; room is likely in {retry_after:?}")]
    Late {
        /// When there is likely to be room.
        retry_after: Duration,
    },
    /// More waits for the endpoints than can be done in time; it was not taken.
    #[error("too much waits for its endpoints; room is likely in {retry_after:?}")]
    Crowded {
        /// When there is likely to be room.
        retry_after: Duration,
    },
    /// Every endpoint that would take it has asked for a pause.
    #[error("its endpoints asked for a pause of {retry_after:?}")]
    Paused {
        /// When the first of them takes work again.
        retry_after: Duration,
    },
    /// An input is gone.
    #[error("an input is gone")]
    InputGone,
    /// No endpoint takes it.
    #[error("no endpoint takes it")]
    NoEndpoint,
    /// The gate that collects it is going down and has not begun it; another one collects from now on.
    #[error("the gate that collects it is going down")]
    Moved,
    /// Its items failed again and again.
    #[error("its items failed again and again")]
    Failed,
    /// The gate that collects it could not be reached.
    #[error("the gate that collects it could not be reached")]
    Unreachable,
}

/// What a gate asks of the one that collects a service's items.
#[record]
pub enum StageRequest {
    /// Takes the items of a stage.
    Submit(Submission),
    /// Waits for what was taken under a ticket.
    Await(u64),
    /// Waits until the endpoints have fetched the inputs of what was taken under a ticket.
    AwaitFetched(u64),
    /// Gives up what was taken under a ticket.
    Cancel(u64),
    /// Gives results up: the service and their handles.
    Free(String, Vec<String>),
}

/// The answer to a [`StageRequest`].
#[record]
pub enum StageReply {
    /// To [`StageRequest::Submit`]: the ticket.
    Accepted(u64),
    /// To [`StageRequest::Submit`] where it can't be done in time.
    Refused(StageFailure),
    /// To [`StageRequest::Await`].
    Done(Result<Vec<StoredResult>, StageFailure>),
    /// To [`StageRequest::AwaitFetched`]: whether they have them; false where that is not known.
    Fetched(bool),
    /// To the others.
    Noted,
}
