//! Configuration of a replica.

use std::{path::PathBuf, time::Duration};

use link::LinkConfig;

/// Entries applied between two snapshots.
const DEFAULT_SNAPSHOT_AFTER: u64 = 10_000;
/// Bytes of entries applied between two snapshots.
const DEFAULT_SNAPSHOT_BYTES: u64 = 64 << 20;
/// Maximum size of a proposal in bytes.
const DEFAULT_MAX_ENTRY_BYTES: usize = 4 << 20;
/// Size in bytes at which a new segment is started.
const DEFAULT_SEGMENT_BYTES: u64 = 8 << 20;
/// Entries between two digest comparisons.
const DEFAULT_DIGEST_INTERVAL: u64 = 256;

/// Election and heartbeat timing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Minimum election timeout.
    pub election_min: Duration,
    /// Maximum election timeout; also the time after which a leader without responses from a
    /// quorum steps down.
    pub election_max: Duration,
    /// Interval between a leader's heartbeats.
    pub heartbeat: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            election_min: Duration::from_millis(500),
            election_max: Duration::from_secs(1),
            heartbeat: Duration::from_millis(100),
        }
    }
}

/// Configuration of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Name of the VM, used as the member name.
    pub name: String,
    /// Data folder, used by this replica only.
    pub folder: PathBuf,
    /// Initial voters for an empty folder; a replica not listed here starts as a learner.
    pub voters: Vec<String>,
    /// Election and heartbeat timing.
    pub timing: Timing,
    /// Whether queued proposals are written together with a single sync.
    pub group_commit: bool,
    /// Entries applied before the next snapshot.
    pub snapshot_after: u64,
    /// Bytes of entries applied before the next snapshot, if reached before `snapshot_after`.
    pub snapshot_bytes: u64,
    /// Maximum size of a proposal in bytes.
    pub max_entry_bytes: usize,
    /// Size in bytes at which a new segment is started.
    pub segment_bytes: u64,
    /// Number of entries between two state digest comparisons.
    pub digest_interval: u64,
    /// Seed for the election timeouts; random if `None`.
    pub seed: Option<u64>,
    /// Configuration of links to members added later; if `None`, no link to them is opened.
    pub link: Option<LinkConfig>,
    /// Deliberate bug to enable, for tests of the invariant checks.
    #[cfg(any(test, feature = "broken-variants"))]
    pub broken_variant: Option<BrokenVariant>,
}

/// A deliberate bug, for tests of the invariant checks.
#[cfg(any(test, feature = "broken-variants"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenVariant {
    /// Grants a vote before the folder entry of the vote file is synced.
    UnsyncedVote,
    /// Commits entries of earlier terms by counting replicas.
    OldTermCommit,
    /// Counts learners towards the quorum.
    CountedLearners,
    /// Votes immediately after the log's tail was truncated.
    SuspectTailVote,
    /// Answers reads without confirmation by a quorum.
    UnconfirmedRead,
}

impl ReplicaConfig {
    /// Creates a configuration with safe defaults and the initial `voters`.
    pub fn new(name: &str, folder: PathBuf, voters: Vec<String>) -> Self {
        Self {
            name: name.to_owned(),
            folder,
            voters,
            timing: Timing::default(),
            group_commit: true,
            snapshot_after: DEFAULT_SNAPSHOT_AFTER,
            snapshot_bytes: DEFAULT_SNAPSHOT_BYTES,
            max_entry_bytes: DEFAULT_MAX_ENTRY_BYTES,
            segment_bytes: DEFAULT_SEGMENT_BYTES,
            digest_interval: DEFAULT_DIGEST_INTERVAL,
            seed: None,
            link: None,
            #[cfg(any(test, feature = "broken-variants"))]
            broken_variant: None,
        }
    }
}
