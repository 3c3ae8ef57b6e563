//! What can go wrong in a replica.

use std::io;

use thiserror::Error;

/// Why a replica could not start or had to stop.
#[derive(Clone, Debug, Error)]
pub enum ReplicaError {
    /// Another process holds the folder.
    #[error("lock {folder}: another process uses this folder; stop it or choose another folder")]
    Locked {
        /// The folder.
        folder: String,
    },
    /// A file operation failed.
    #[error("{step} {file}: {reason}")]
    Disk {
        /// What was done.
        step: &'static str,
        /// The file.
        file: String,
        /// What failed.
        reason: String,
    },
    /// A file holds bytes that were not written so.
    #[error(
        "read {file}: damaged at byte {offset}: {what}; replace this replica: wipe the folder, \
         remove the member and add it again"
    )]
    Corrupted {
        /// The file.
        file: String,
        /// Offset of the first wrong byte's record.
        offset: u64,
        /// What is wrong.
        what: String,
    },
    /// The folder belongs to another replica.
    #[error("read identity: the folder is {found}'s, not {name}'s; check [data] folder")]
    NameMismatch {
        /// The name in the settings.
        name: String,
        /// The name in the folder.
        found: String,
    },
    /// The state machine refused a snapshot.
    #[error("restore the snapshot of index {index}: {reason}")]
    Restore {
        /// The snapshot's index.
        index: u64,
        /// The state machine's words.
        reason: String,
    },
}

impl ReplicaError {
    pub(crate) fn disk(step: &'static str, file: &str, e: &io::Error) -> Self {
        Self::Disk {
            step,
            file: file.to_owned(),
            reason: e.to_string(),
        }
    }

    pub(crate) fn corrupted(file: &str, offset: u64, what: impl Into<String>) -> Self {
        Self::Corrupted {
            file: file.to_owned(),
            offset,
            what: what.into(),
        }
    }
}

/// Why a proposal has no reply.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica doesn't lead; nothing was appended.
    #[error("not the leader; nothing was appended")]
    NotLeader {
        /// The leader that this replica knows.
        leader: Option<String>,
    },
    /// The entry was appended and leadership lost before it committed: its fate is unknown.
    #[error("leadership lost before the entry committed; it may take effect")]
    Lost,
    /// The replica has stopped; nothing was appended.
    #[error("the replica has stopped; nothing was appended")]
    Stopped,
    /// The entry is larger than allowed; nothing was appended.
    #[error("the entry is too large; nothing was appended")]
    TooLarge,
    /// Too many proposals wait; nothing was appended.
    #[error("too many proposals are waiting; nothing was appended")]
    Busy,
}

/// Why a change of members was not made.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum MemberError {
    /// This replica doesn't lead; nothing was changed.
    #[error("not the leader; nothing was changed")]
    NotLeader {
        /// The leader that this replica knows.
        leader: Option<String>,
    },
    /// The change isn't allowed now; nothing was changed.
    #[error("{0}")]
    Refused(String),
    /// Leadership was lost before the change committed: look at the status before asking again.
    #[error("leadership lost before the change committed; it may take effect")]
    Lost,
    /// The replica has stopped.
    #[error("the replica has stopped; nothing was changed")]
    Stopped,
}
