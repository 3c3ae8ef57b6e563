//! Settings of a keeper.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use host::{
    resources::Resources,
    settings::{Operator, Peer, Reader, Secret, Vm},
};
use replica::Timing;

use crate::budgets::Budgets;

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
const DEFAULT_MAX_ENTRY_BYTES: usize = 4 << 20;
const DEFAULT_SNAPSHOT_AFTER: u64 = 200_000;

/// `[ledger]`: limits of the at-most-once ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// How long keys are kept, counted from the timestamp in the key.
    pub retention: Duration,
    /// How far a key's timestamp may be ahead of the leader's time.
    pub skew: Duration,
    /// How long after its expiry an unsettled intent is reported as in progress.
    pub grace: Duration,
    /// Maximum number of keys.
    pub max_keys: u64,
    /// Maximum size of one stored output, in bytes.
    pub max_output_bytes: u64,
    /// Maximum total size of the stored outputs, in bytes.
    pub max_total_output_bytes: u64,
    /// Maximum size of the encoded audit records, in bytes; the oldest are dropped beyond it.
    pub max_history_bytes: u64,
}

/// Settings of a group that bootstraps itself and replaces failed members.
#[derive(Clone, Debug)]
pub struct GroupConfig {
    /// Link addresses of the first voters; empty if this keeper may not found the group.
    pub founders: Vec<SocketAddr>,
    /// Link addresses of keepers to contact when joining.
    pub seeds: Vec<SocketAddr>,
    /// Desired number of voters.
    pub voters: usize,
    /// Silence after which a voter is replaced if a learner is ready.
    pub replace_voter_after: Duration,
    /// Silence after which a learner is removed.
    pub remove_learner_after: Duration,
}

/// Settings of one keeper.
#[derive(Clone, Debug)]
pub struct Config {
    /// The VM on which it runs.
    pub vm: Vm,
    /// What the VM has; the limits on clients are derived from it.
    pub resources: Resources,
    /// Listen address of the operators' HTTP API.
    pub http: SocketAddr,
    /// Listen address for links.
    pub link: SocketAddr,
    /// Address at which others reach the link, if different, for instance behind NAT.
    pub advertised_link: Option<SocketAddr>,
    /// The first voters and their link addresses.
    pub keepers: Vec<Peer>,
    /// The data folder, used by this keeper only.
    pub folder: PathBuf,
    /// Entries applied between two snapshots.
    pub snapshot_after: u64,
    /// Bytes of entries applied between two snapshots; whichever limit is reached first counts.
    pub snapshot_bytes: u64,
    /// Maximum size of an entry.
    pub max_entry_bytes: usize,
    /// Automatic group management; `None` if operators manage the members.
    pub group: Option<GroupConfig>,
    /// If true, waiting entries are written with one sync.
    pub group_commit: bool,
    /// Election and heartbeat times.
    pub timing: Timing,
    /// Limits of the ledger.
    pub limits: Limits,
    /// Shared key that authenticates links.
    pub link_key: Option<Secret>,
    /// Who may change the declaration; if empty, anyone may.
    pub operators: Vec<Operator>,
    /// Token that endpoints send with announcements.
    pub announce_token: Option<Secret>,
}

impl Config {
    /// Reads the settings; faults are collected in `reader`.
    pub fn read(reader: &mut Reader) -> Self {
        let security = reader.security();
        let folder = reader.path("data", "folder");
        let resources = Resources::read(reader);
        let budgets = Budgets::new(&resources);
        let cfg = Self {
            vm: reader.vm(),
            resources,
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
            snapshot_bytes: budgets.snapshot_bytes,
            max_entry_bytes: DEFAULT_MAX_ENTRY_BYTES,
            group: None,
            group_commit: yes_or_no(reader, "data", "group_commit"),
            timing: timing(reader),
            limits: limits(reader, budgets),
            link_key: security.link_key,
            operators: security.operators,
            announce_token: security.announce_token,
        };
        if folder.is_none() {
            let what = "missing; add `folder = …`, a folder that only this keeper uses";
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

fn limits(reader: &mut Reader, budgets: Budgets) -> Limits {
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
        max_history_bytes: budgets.history_bytes,
    }
}
