//! The keeper's settings.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use host::settings::{Operator, Peer, Reader, Secret, Vm};
use replica::Timing;

const DEFAULT_RETENTION_MS: u64 = 24 * 3_600 * 1_000;
const MAX_RETENTION_MS: u64 = 30 * 24 * 3_600 * 1_000;
const DEFAULT_SKEW_MS: u64 = 60_000;
const MAX_SKEW_MS: u64 = 3_600_000;
const DEFAULT_GRACE_MS: u64 = 60_000;
const MAX_GRACE_MS: u64 = 3_600_000;
const DEFAULT_MAX_KEYS: u64 = 2_000_000;
const DEFAULT_MAX_OUTPUT_BYTES: u64 = 64 << 10;
const LARGEST_MAX_OUTPUT_BYTES: u64 = 1 << 20;
const DEFAULT_OUTPUTS_MB: u64 = 256;
const DEFAULT_SNAPSHOT_BYTES: u64 = 64 << 20;
const DEFAULT_MAX_ENTRY_BYTES: usize = 4 << 20;
const DEFAULT_SNAPSHOT_AFTER: u64 = 200_000;

/// `[ledger]`: the bounds of the at-most-once ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// How long keys are kept, counted from the time that they carry.
    pub retention: Duration,
    /// How far a key's time may lie ahead of the leader's.
    pub skew: Duration,
    /// How long after its expiry an unsettled intent is told as in progress.
    pub grace: Duration,
    /// Most keys.
    pub max_keys: u64,
    /// Largest output kept, in bytes.
    pub max_output_bytes: u64,
    /// Most bytes of all outputs together.
    pub max_total_output_bytes: u64,
}

/// How a group forms and mends itself.
#[derive(Clone, Debug)]
pub struct GroupConfig {
    /// Links of the first voters, where this keeper may be one that founds the group; else empty.
    pub founders: Vec<SocketAddr>,
    /// Links of keepers that may know the group.
    pub seeds: Vec<SocketAddr>,
    /// Voters wanted.
    pub voters: usize,
    /// A voter that is silent for so long is replaced where a learner stands by.
    pub replace_voter_after: Duration,
    /// A learner that is silent for so long is taken out.
    pub remove_learner_after: Duration,
}

/// One keeper's settings.
#[derive(Clone, Debug)]
pub struct Config {
    /// The VM on which it runs.
    pub vm: Vm,
    /// Where it takes operators' HTTP.
    pub http: SocketAddr,
    /// Where it takes links.
    pub link: SocketAddr,
    /// Where others reach its link, if not there, as behind a translated address.
    pub advertised_link: Option<SocketAddr>,
    /// The first voters and their links.
    pub keepers: Vec<Peer>,
    /// The data folder, which is the keeper's alone.
    pub folder: PathBuf,
    /// Entries applied between two snapshots.
    pub snapshot_after: u64,
    /// Bytes of entries applied between two snapshots, if that comes first.
    pub snapshot_bytes: u64,
    /// Largest entry in bytes.
    pub max_entry_bytes: usize,
    /// How the group forms and mends itself; absent where operators do that.
    pub group: Option<GroupConfig>,
    /// Whether entries that wait are written with one sync.
    pub group_commit: bool,
    /// Times of the agreement.
    pub timing: Timing,
    /// Bounds of the ledger.
    pub limits: Limits,
    /// Key of the links.
    pub link_key: Option<Secret>,
    /// Who may change the declaration; empty where anybody may.
    pub operators: Vec<Operator>,
    /// Token that endpoints send with announcements.
    pub announce_token: Option<Secret>,
}

impl Config {
    /// Takes what a keeper needs from `reader`.
    pub fn read(reader: &mut Reader) -> Self {
        let security = reader.security();
        let folder = reader.path("data", "folder");
        let cfg = Self {
            vm: reader.vm(),
            http: reader.listen("http"),
            link: reader.listen("link"),
            advertised_link: reader.address("listen", "advertised_link"),
            keepers: reader.keepers(),
            folder: folder.clone().unwrap_or_default(),
            snapshot_after: reader.number(
                "data",
                "snapshot_after",
                DEFAULT_SNAPSHOT_AFTER,
                100,
                10_000_000,
            ),
            snapshot_bytes: DEFAULT_SNAPSHOT_BYTES,
            max_entry_bytes: DEFAULT_MAX_ENTRY_BYTES,
            group: None,
            group_commit: yes_or_no(reader, "data", "group_commit"),
            timing: timing(reader),
            limits: limits(reader),
            link_key: security.link_key,
            operators: security.operators,
            announce_token: security.announce_token,
        };
        if folder.is_none() {
            let what = "missing; add `folder = …`, a folder that this keeper alone uses";
            reader.fault("data", "folder", what);
        }
        cfg
    }
}

fn yes_or_no(reader: &mut Reader, section: &str, key: &str) -> bool {
    match reader.text(section, key).as_deref() {
        None | Some("yes") => true,
        Some("no") => false,
        Some(other) => {
            let what = format!("`{other}` is neither yes nor no; write `yes` or `no`");
            reader.fault(section, key, what);
            true
        }
    }
}

fn timing(reader: &mut Reader) -> Timing {
    let default = Timing::default();
    let ms = |d: Duration| d.as_millis() as u64;
    let timing = Timing {
        election_min: reader.millis(
            "timing",
            "election_min_ms",
            ms(default.election_min),
            50,
            10_000,
        ),
        election_max: reader.millis(
            "timing",
            "election_max_ms",
            ms(default.election_max),
            100,
            20_000,
        ),
        heartbeat: reader.millis("timing", "heartbeat_ms", ms(default.heartbeat), 10, 2_000),
    };
    if timing.heartbeat * 3 > timing.election_min || timing.election_min >= timing.election_max {
        let what = "election_min_ms must be below election_max_ms and at least 3 heartbeats long";
        reader.fault("timing", "election_min_ms", what);
    }
    timing
}

fn limits(reader: &mut Reader) -> Limits {
    let mut millis =
        |key: &str, default: u64, high: u64| reader.millis("ledger", key, default, 1_000, high);
    let retention = millis("retention_ms", DEFAULT_RETENTION_MS, MAX_RETENTION_MS);
    let skew = millis("skew_ms", DEFAULT_SKEW_MS, MAX_SKEW_MS);
    let grace = millis("grace_ms", DEFAULT_GRACE_MS, MAX_GRACE_MS);
    let max_output_bytes = reader.number(
        "ledger",
        "max_output_bytes",
        DEFAULT_MAX_OUTPUT_BYTES,
        0,
        LARGEST_MAX_OUTPUT_BYTES,
    );
    let outputs_mb = reader.number("ledger", "outputs_mb", DEFAULT_OUTPUTS_MB, 1, 1 << 20);
    Limits {
        retention,
        skew,
        grace,
        max_keys: reader.number("ledger", "max_keys", DEFAULT_MAX_KEYS, 1_000, 1_000_000_000),
        max_output_bytes,
        max_total_output_bytes: outputs_mb << 20,
    }
}
