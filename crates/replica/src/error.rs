//! Error types.

use std::io;

use thiserror::Error;

/// Error that prevents a replica from starting or makes it stop.
#[derive(Clone, Debug, Error)]
pub enum ReplicaError {
    /// Another process has locked the folder.
    #[error("lock {folder}: another process uses this folder; stop it or choose another folder")]
    Locked {
        /// Path of the folder.
        folder: String,
    },
    /// A file operation failed.
    #[error("{step} {file}: {reason}")]
    Disk {
        /// The operation, such as `sync`.
        step: &'static str,
        /// Name of the file.
        file: String,
        /// The I/O error.
        reason: String,
    },
    /// A file failed its integrity check.
    #[error(
        "read {file}: damaged at byte {offset}: {what}; replace this replica: wipe the folder, \
         remove the member and add it again"
    )]
    Corrupted {
        /// Name of the file.
        file: String,
        /// Offset in bytes of the first corrupt record.
        offset: u64,
        /// Description of the damage.
        what: String,
    },
    /// The folder belongs to another replica.
    #[error("read identity: the folder is {found}'s, not {name}'s; check [data] folder")]
    NameMismatch {
        /// The configured name.
        name: String,
        /// The name recorded in the folder.
        found: String,
    },
    /// The state machine could not restore a snapshot.
    #[error("restore the snapshot of index {index}: {reason}")]
    Restore {
        /// Index of the snapshot.
        index: u64,
        /// The state machine's error message.
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

/// Error returned for a proposal.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica is not the leader; nothing was appended.
    #[error("not the leader; nothing was appended")]
    NotLeader {
        /// The leader known to this replica.
        leader: Option<String>,
    },
    /// Leadership was lost after the entry was appended and before it committed; it may still
    /// commit.
    #[error("leadership lost before the entry committed; it may take effect")]
    Lost,
    /// The replica has stopped; nothing was appended.
    #[error("the replica has stopped; nothing was appended")]
    Stopped,
    /// The entry exceeds `max_entry_bytes`; nothing was appended.
    #[error("the entry is too large; nothing was appended")]
    TooLarge,
    /// Too many proposals are pending; nothing was appended.
    #[error("too many proposals are waiting; nothing was appended")]
    Busy,
}

/// Error returned for a membership change.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum MemberError {
    /// This replica is not the leader; nothing was changed.
    #[error("not the leader; nothing was changed")]
    NotLeader {
        /// The leader known to this replica.
        leader: Option<String>,
    },
    /// The change is not allowed in the current state; nothing was changed.
    #[error("{0}")]
    Refused(String),
    /// Leadership was lost before the change committed; check the status before retrying.
    #[error("leadership lost before the change committed; it may take effect")]
    Lost,
    /// The replica has stopped; nothing was changed.
    #[error("the replica has stopped; nothing was changed")]
    Stopped,
}
