//! Disks lost while all other replicas lose power, during and after changes of members.

mod common;

use std::time::Duration;

use common::{
    group::{Group, add_learner, names, promote},
    paused,
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use replica::{MemberChange, Role};
use tokio::time::{Instant, timeout};

/// Name of the replica that joins.
const NEW: &str = "n1";
/// Longest time between the start of a change of members and the loss of power.
const MAX_DELAY_MS: u64 = 2_500;
/// Time within which a group with a quorum of disks has to lead again.
const RECOVERY: Duration = Duration::from_mins(1);

/// What happens to one voter before the disks are lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Nothing,
    /// It is gone for good, and an empty replica takes its place.
    Replaced,
    /// An empty replica takes its place while it still runs.
    Retired,
}

const EVENTS: [Event; 3] = [Event::Nothing, Event::Replaced, Event::Retired];

#[derive(Debug)]
struct Case {
    seed: u64,
    voters: usize,
    event: Event,
    /// Whether the change of members is complete before the disks are lost.
    is_changed: bool,
    /// Whether torn files keep their length.
    keeps_length: bool,
}

impl Case {
    fn new(seed: u64, keeps_length: bool) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        Self {
            seed,
            voters: rng.random_range(3..6),
            event: EVENTS[rng.random_range(0..EVENTS.len())],
            is_changed: rng.random(),
            keeps_length,
        }
    }

    /// Number of disks that may be lost besides the voter that is being replaced.
    fn tolerated(&self) -> usize {
        let is_one_lost = !self.is_changed && self.event != Event::Nothing;
        (self.voters - 1) / 2 - usize::from(is_one_lost)
    }

    /// The changes that replace `old`, in order.
    fn changes(&self, old: &str) -> Vec<MemberChange> {
        let name = old.to_owned();
        match self.event {
            Event::Nothing => Vec::new(),
            Event::Replaced | Event::Retired => vec![
                add_learner(NEW),
                promote(NEW),
                MemberChange::RemoveUnsafely { name },
            ],
        }
    }

    /// Returns what was lost as an error.
    async fn run(&self) -> Result<(), String> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut group = Group::new(self.seed, None);
        group.snapshot_after = [8, 1_000][rng.random_range(0..2)];
        group.add_all(self.voters).await;
        for _ in 0..rng.random_range(1..20) {
            group.commit().await;
        }
        let mut voters = names(self.voters);
        voters.shuffle(&mut rng);
        let old = voters[0].clone();
        self.begin(&mut group, &old).await;
        let candidates = match self.event {
            Event::Nothing => &voters[..],
            Event::Replaced | Event::Retired => &voters[1..],
        };
        let mut pending = self.changes(&old);
        if self.is_changed {
            for change in pending.drain(..) {
                let changed = group.change_members(change).await;
                changed.map_err(|e| e.to_string())?;
            }
        }
        let delay = Duration::from_millis(rng.random_range(0..MAX_DELAY_MS));
        propose_for(&mut group, delay, &pending, &mut rng).await;
        let count = rng.random_range(0..=self.tolerated());
        lose(&mut group, &candidates[..count], &mut rng).await;
        recover(&mut group).await
    }

    async fn begin(&self, group: &mut Group, old: &str) {
        match self.event {
            Event::Nothing => {}
            Event::Retired => group.add(NEW, &[]).await,
            Event::Replaced => {
                group.crash(old).await;
                group.nodes.remove(old);
                group.add(NEW, &[]).await;
            }
        }
        if self.keeps_length {
            group.nodes.values().for_each(|n| n.disk.keep_length());
        }
    }
}

/// Proposes entries at the leaders for `time`, and requests the pending changes of members.
async fn propose_for(
    group: &mut Group,
    time: Duration,
    pending: &[MemberChange],
    rng: &mut StdRng,
) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        for leader in leaders(group) {
            (0..rng.random_range(0..4)).for_each(|_| group.propose_at(&leader));
            request_all(group, &leader, pending);
        }
        let pause = Duration::from_millis(rng.random_range(1..40));
        group.run_for(pause).await;
    }
}

fn leaders(group: &Group) -> Vec<String> {
    let statuses = group.running().map(replica::Replica::status);
    let leading = statuses.filter(|s| s.role == Role::Leader);
    leading.map(|s| s.name).collect()
}

/// Requests the changes in order in the background; those in effect succeed at once.
fn request_all(group: &Group, leader: &str, pending: &[MemberChange]) {
    let (replica, pending) = (group.replica(leader), pending.to_vec());
    tokio::spawn(async move {
        for change in pending {
            if replica.change_members(change).await.is_err() {
                return;
            }
        }
    });
}

/// Takes the power from all replicas within their next operations, and the disks from `wiped`.
async fn lose(group: &mut Group, wiped: &[String], rng: &mut StdRng) {
    for node in group.nodes.values() {
        node.disk.power_off_after(rng.random_range(0..6));
    }
    for name in group.names() {
        group.propose_at(&name);
    }
    let pause = Duration::from_millis(rng.random_range(1..30));
    group.run_for(pause).await;
    group.nodes.values().for_each(|n| n.disk.power_off());
    for name in group.names() {
        group.crash(&name).await;
    }
    for name in wiped {
        group.nodes.remove(name);
    }
}

/// Starts the replicas that have disks, and looks for the acknowledged entries at their leader.
async fn recover(group: &mut Group) -> Result<(), String> {
    for name in group.names() {
        group.restart(&name).await;
    }
    let committed = timeout(RECOVERY, group.commit()).await;
    committed.map_err(|_| "no leader".to_owned())?;
    let leader = group.leader().await.status().name;
    let history = group.nodes[&leader].history.lock().unwrap().clone();
    let acknowledged = group.checks.acknowledged();
    let lost = acknowledged.iter().filter(|entry| !history.contains(entry));
    let lost = lost.count();
    match group.checks.violations() {
        violations if violations.is_empty() && lost == 0 => Ok(()),
        violations => Err(format!("{lost} lost, {violations:?}")),
    }
}

fn cases() -> u64 {
    let cases = std::env::var("PROPTEST_CASES").ok();
    cases.and_then(|n| n.parse().ok()).unwrap_or(100)
}

fn run_all(keeps_length: bool) {
    let cases = (0..cases()).map(|seed| Case::new(seed, keeps_length));
    let failed = |case: Case| {
        let outcome = paused(case.run());
        outcome.err().map(|what| format!("{case:?}: {what}"))
    };
    let failures: Vec<String> = cases.filter_map(failed).collect();
    assert!(failures.is_empty(), "{}: {failures:#?}", failures.len());
}

/// Guards against acknowledged entries that are lost with disks while a voter is replaced.
#[test]
fn acknowledged_entries_survive_lost_disks_while_all_others_lose_power() {
    run_all(false);
}

/// Guards against a group that never leads again since a torn record at its last quorum of disks
/// looks like one that was acknowledged.
#[test]
fn a_torn_record_of_full_length_beside_lost_disks_leaves_a_quorum() {
    run_all(true);
}
