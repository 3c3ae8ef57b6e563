//! Following the declaration: what a follower asks and what keepers and relays answer.

use std::time::Duration;

use declaration::{Document, SectionChange};
use derives::record;

/// Asks for what came after a revision; answered at once where something did, else after `wait`.
#[record]
pub struct FollowRequest {
    /// The revision that the follower has in force.
    pub after: u64,
    /// Longest time that the answer may be held back.
    pub wait: Duration,
}

/// One accepted change as followers see it.
#[record]
pub struct Revision {
    /// The revision that it made.
    pub revision: u64,
    /// The sections that it changed.
    pub sections: Vec<SectionChange>,
}

/// The answer to [`FollowRequest`]; never beyond the commit index.
#[record]
pub enum FollowReply {
    /// Nothing came within the wait; `revision` is in force at the answering end.
    Unchanged {
        /// In force at the answering end; may be lower than the follower's.
        revision: u64,
    },
    /// Changes in order, the first one directly after the follower's revision.
    Changes(Vec<Revision>),
    /// The follower is too far behind: the whole document.
    Snapshot {
        /// Its revision.
        revision: u64,
        /// Its content.
        document: Document,
    },
    /// The answering end has no declaration yet.
    Unavailable,
}
