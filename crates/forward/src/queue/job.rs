//! One item that waits in a queue.

use std::sync::Arc;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::ticket::Ticket;

/// Tries of one item.
const MAX_TRIES: u8 = 3;

/// QueuePosition in the queue: when it is due, later the less urgent it is, in milliseconds since the queue's
/// start; then age.
pub(crate) type QueuePosition = (i64, u64);

/// One item that waits.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) ticket: Arc<Ticket>,
    pub(crate) item: u32,
    pub(super) tries: u8,
    pub(super) position: QueuePosition,
    /// When it is due, in milliseconds since the queue's start.
    pub(super) due: i64,
    pub(super) since: Instant,
}

impl Job {
    /// Tells items of different requests, stages or numbers apart.
    pub(super) fn identity(&self) -> u64 {
        let submission = &self.ticket.submission;
        let name = format!("{}/{}/{}", submission.request, submission.stage, self.item);
        xxh3_64(name.as_bytes())
    }

    /// The same item for another try; `None` after too many.
    pub(crate) fn next_try(&self) -> Option<Self> {
        let tries = self.tries + 1;
        (tries < MAX_TRIES).then(|| Self {
            tries,
            ..self.clone()
        })
    }
}
