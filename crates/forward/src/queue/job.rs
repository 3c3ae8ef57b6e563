//! An item that waits in a queue.

use std::sync::Arc;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::ticket::Ticket;

/// Maximum number of tries per item.
const MAX_TRIES: u8 = 3;

/// Position in the queue: the due time in milliseconds since the queue was created, plus a delay
/// for lower urgency; then the order of arrival.
pub(crate) type QueuePosition = (i64, u64);

/// An item that waits.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) ticket: Arc<Ticket>,
    pub(crate) item: u32,
    pub(super) tries: u8,
    pub(super) position: QueuePosition,
    /// Due time in milliseconds since the queue was created.
    pub(super) due: i64,
    pub(super) since: Instant,
}

impl Job {
    /// Returns a hash of the request, the stage and the item index.
    pub(super) fn identity(&self) -> u64 {
        let submission = &self.ticket.submission;
        let name = format!("{}/{}/{}", submission.request, submission.stage, self.item);
        xxh3_64(name.as_bytes())
    }

    /// Returns the item for another try, or `None` if it has none left.
    pub(crate) fn next_try(&self) -> Option<Self> {
        let tries = self.tries + 1;
        (tries < MAX_TRIES).then(|| Self {
            tries,
            ..self.clone()
        })
    }
}
