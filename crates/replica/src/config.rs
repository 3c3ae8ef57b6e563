//! How a replica is set up.

use std::{path::PathBuf, time::Duration};

use link::LinkConfig;

/// Entries applied between two snapshots, by default.
const DEFAULT_SNAPSHOT_AFTER: u64 = 10_000;
/// Bytes of entries applied between two snapshots, by default.
const DEFAULT_SNAPSHOT_BYTES: u64 = 64 << 20;
/// Largest proposal in bytes, by default.
const DEFAULT_MAX_ENTRY_BYTES: usize = 4 << 20;
/// Bytes after which a new segment is begun, by default.
const DEFAULT_SEGMENT_BYTES: u64 = 8 << 20;
/// Entries between two digests that replicas compare, by default.
const DEFAULT_DIGEST_INTERVAL: u64 = 256;

/// The times of agreement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Shortest wait for a leader before an election.
    pub election_min: Duration,
    /// Longest wait for a leader before an election; also the time after which a leader that no
    /// quorum answers steps down.
    pub election_max: Duration,
    /// Time between a leader's heartbeats.
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

/// How one replica is set up.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// The VM's name, which is the replica's name among the members.
    pub name: String,
    /// The folder that the replica alone writes to.
    pub folder: PathBuf,
    /// The first voters on an empty folder; a replica that isn't among them starts as a learner.
    pub voters: Vec<String>,
    /// The times of agreement.
    pub timing: Timing,
    /// Whether proposals that wait are written with one sync.
    pub group_commit: bool,
    /// Entries applied between two snapshots.
    pub snapshot_after: u64,
    /// Bytes of entries applied between two snapshots, if that comes first.
    pub snapshot_bytes: u64,
    /// Largest proposal in bytes.
    pub max_entry_bytes: usize,
    /// Bytes after which a new segment is begun.
    pub segment_bytes: u64,
    /// Entries between two state digests that replicas compare.
    pub digest_interval: u64,
    /// Seed of the election timeouts; random where absent.
    pub seed: Option<u64>,
    /// How links to members that are added later are kept; without it none can be added.
    pub link: Option<LinkConfig>,
    /// A deliberate fault, for tests of the checks.
    #[cfg(any(test, feature = "broken-variants"))]
    pub broken_variant: Option<BrokenVariant>,
}

/// A deliberate fault, for tests of the checks.
#[cfg(any(test, feature = "broken-variants"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenVariant {
    /// A vote is answered before the folder that names its file is synced.
    UnsyncedVote,
    /// Entries of old terms are committed by counting replicas.
    OldTermCommit,
    /// Learners count towards the quorum.
    CountedLearners,
    /// A replica whose log's tail was cut votes at once.
    SuspectTailVote,
    /// Reads are answered without asking a quorum.
    UnconfirmedRead,
}

impl ReplicaConfig {
    /// Safe defaults for `name`, whose folder is `folder` and whose first voters are `voters`.
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
