//! Protocol by which followers get the declaration from keepers and relays.

use std::time::Duration;

use declaration::{Document, SectionChange};
use derives::record;

/// Requests the changes after a revision. The reply is sent at once if there are any, else after
/// `wait`.
#[record]
pub struct FollowRequest {
    /// The revision that the follower has in force.
    pub after: u64,
    /// Maximum time to delay the reply.
    pub wait: Duration,
}

/// One accepted change, as sent to followers.
#[record]
pub struct Revision {
    /// The revision that the change created.
    pub revision: u64,
    /// The changed sections.
    pub sections: Vec<SectionChange>,
}

impl Revision {
    /// Returns the approximate encoded size in bytes.
    pub fn approximate_bytes(&self) -> usize {
        let sections = self.sections.iter();
        sections.map(SectionChange::approximate_bytes).sum()
    }
}

/// The reply to [`FollowRequest`]; contains committed changes only.
#[record]
pub enum FollowReply {
    /// Nothing changed within the wait.
    Unchanged {
        /// The revision in force at the source; may be lower than the follower's.
        revision: u64,
    },
    /// Consecutive changes, starting directly after the follower's revision.
    Changes(Vec<Revision>),
    /// The follower is too far behind: the whole document.
    Snapshot {
        /// Revision of the document.
        revision: u64,
        /// The document.
        document: Document,
    },
    /// The source has no declaration yet.
    Unavailable,
}
