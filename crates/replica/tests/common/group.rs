//! A group of replicas for one test.

use std::{collections::BTreeMap, path::PathBuf, time::Duration};

use replica::{
    Applied, BrokenVariant, MemberChange, MemberError, ProposeError, Replica, ReplicaConfig,
    ReplicaError, Role,
};
use tokio::time::{sleep, timeout};

use super::{
    checks::{Checks, History},
    disk::FakeDisk,
    net::Net,
};

/// Longer than any operation that can succeed takes.
pub const TIMEOUT: Duration = Duration::from_mins(1);

pub struct Node {
    pub disk: FakeDisk,
    pub replica: Option<Replica>,
    pub history: History,
    cfg: ReplicaConfig,
}

pub struct Group {
    pub net: Net,
    pub checks: Checks,
    pub nodes: BTreeMap<String, Node>,
    seed: u64,
    broken_variant: Option<BrokenVariant>,
    pub snapshot_after: u64,
    /// Whether disks can hang; only for tests under the real clock.
    pub has_blocking_disks: bool,
    next_entry: u64,
}

pub fn names(count: usize) -> Vec<String> {
    ["a", "b", "c", "d", "e"][..count]
        .iter()
        .map(ToString::to_string)
        .collect()
}

impl Group {
    pub fn new(seed: u64, broken_variant: Option<BrokenVariant>) -> Self {
        let checks = Checks::default();
        Self {
            net: Net::new(seed, checks.clone()),
            checks,
            nodes: BTreeMap::new(),
            seed,
            broken_variant,
            snapshot_after: 20,
            has_blocking_disks: false,
            next_entry: 0,
        }
    }

    /// Starts a group of `count` voters.
    pub async fn with_voters(count: usize, seed: u64) -> Self {
        let mut group = Self::new(seed, None);
        group.add_all(count).await;
        group
    }

    pub async fn add_all(&mut self, count: usize) {
        for name in names(count) {
            self.add(&name, &names(count)).await;
        }
    }

    /// Adds a new replica with an empty disk and starts it.
    pub async fn add(&mut self, name: &str, voters: &[String]) {
        let mut cfg = ReplicaConfig::new(name, PathBuf::new(), voters.to_vec());
        cfg.snapshot_after = self.snapshot_after;
        cfg.segment_bytes = 512;
        cfg.digest_interval = 8;
        cfg.broken_variant = self.broken_variant;
        self.seed += 1;
        cfg.seed = Some(self.seed);
        let node = Node {
            disk: FakeDisk::new(self.seed),
            replica: None,
            history: History::default(),
            cfg,
        };
        self.nodes.insert(name.to_owned(), node);
        self.start(name).await.unwrap();
    }

    pub fn names(&self) -> Vec<String> {
        self.nodes.keys().cloned().collect()
    }

    pub async fn start(&mut self, name: &str) -> Result<(), ReplicaError> {
        let others = self.nodes.keys().filter(|other| *other != name);
        let links = names(5)
            .iter()
            .filter(|n| *n != name)
            .chain(others.filter(|n| n.len() > 1))
            .map(|other| self.net.link(name, other))
            .collect();
        let node = self.nodes.get_mut(name).unwrap();
        node.history = History::default();
        let machine = self.checks.machine(&node.history);
        let disk = match self.has_blocking_disks {
            true => node.disk.blocking_disk(),
            false => node.disk.disk(),
        };
        let connect = self.net.connect(name);
        let replica = Replica::start_with(node.cfg.clone(), disk, links, connect, machine).await?;
        node.replica = Some(replica.clone());
        self.net.attach(name, Some(replica));
        Ok(())
    }

    /// Stops a replica as a power loss would.
    pub async fn crash(&mut self, name: &str) {
        self.net.attach(name, None);
        let node = self.nodes.get_mut(name).unwrap();
        node.disk.power_off();
        if let Some(replica) = node.replica.take() {
            replica.abort().await;
        }
        node.disk.crash();
    }

    /// Restarts a replica that has crashed or failed.
    pub async fn restart(&mut self, name: &str) {
        let node = &self.nodes[name];
        let is_running = node
            .replica
            .as_ref()
            .is_some_and(|r| r.status().failed.is_none());
        if is_running {
            return;
        }
        self.crash(name).await;
        if let Err(e) = self.start(name).await {
            self.checks
                .record_violation(format!("{name} failed to restart: {e}"));
        }
    }

    /// Starts a replica that has failed again in the same process, which loses nothing that was written.
    /// If that fails, it can be tried again.
    pub async fn restart_in_process(&mut self, name: &str) {
        let node = self.nodes.get_mut(name).unwrap();
        if let Some(replica) = node.replica.take_if(|r| r.status().failed.is_some()) {
            self.net.attach(name, None);
            replica.abort().await;
        }
        if self.nodes[name].replica.is_none() {
            // The disk may still be full.
            let _ = self.start(name).await;
        }
    }

    pub fn replica(&self, name: &str) -> Replica {
        self.nodes[name].replica.clone().unwrap()
    }

    pub fn running(&self) -> impl Iterator<Item = &Replica> {
        self.nodes.values().filter_map(|n| n.replica.as_ref())
    }

    /// Waits for `time` while checking that each term has one leader.
    pub async fn run_for(&self, time: Duration) {
        let step = Duration::from_millis(20);
        let mut remaining = time;
        while !remaining.is_zero() {
            for replica in self.running() {
                self.checks.record_status(&replica.status());
            }
            sleep(step.min(remaining)).await;
            remaining = remaining.saturating_sub(step);
        }
    }

    /// Waits for a leader confirmed by a quorum and returns it.
    pub async fn leader(&self) -> Replica {
        self.leader_other_than("").await
    }

    pub async fn leader_other_than(&self, excluded: &str) -> Replica {
        let polling = async {
            loop {
                for replica in self.running() {
                    let status = replica.status();
                    self.checks.record_status(&status);
                    if status.role == Role::Leader
                        && status.name != excluded
                        && replica.read_barrier().await.is_ok()
                    {
                        return replica.clone();
                    }
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        let found = timeout(TIMEOUT * 2, polling).await;
        found.unwrap_or_else(|_| panic!("{}", self.report("no leader")))
    }

    /// Returns a unique entry.
    pub fn entry(&mut self) -> Vec<u8> {
        self.next_entry += 1;
        self.next_entry.to_le_bytes().to_vec()
    }

    /// Proposes an entry at `name` in the background and records the outcome.
    pub fn propose_at(&mut self, name: &str) {
        let entry = self.entry();
        let checks = self.checks.clone();
        if let Some(replica) = self.nodes[name].replica.clone() {
            tokio::spawn(async move { propose(&checks, &replica, entry).await });
        }
    }

    /// Proposes entries at the leader until one is applied.
    pub async fn commit(&mut self) -> Applied {
        loop {
            let leader = self.leader().await;
            let entry = self.entry();
            if let Ok(applied) = propose(&self.checks, &leader, entry).await {
                return applied;
            }
        }
    }

    /// Reads at `name` in the background and checks that no acknowledged entry is missing.
    pub fn read_at(&self, name: &str) {
        let checks = self.checks.clone();
        let Some(replica) = self.nodes[name].replica.clone() else {
            return;
        };
        tokio::spawn(async move {
            let expected = checks.last_acknowledged();
            match replica.read_barrier().await {
                Ok(index) if index < expected || replica.status().applied < index => {
                    checks.record_violation(format!(
                        "a read saw {index}, {expected} was acknowledged"
                    ));
                }
                _ => {}
            }
        });
    }

    /// Requests a membership change from the leader, with up to 100 attempts.
    pub async fn change_members(&self, change: MemberChange) -> Result<(), MemberError> {
        let mut result = Err(MemberError::Stopped);
        for _ in 0..100 {
            result = self.leader().await.change_members(change.clone()).await;
            if result.is_ok() {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
        result
    }

    /// Removes all faults, restarts all replicas and checks that the members reach the same state.
    pub async fn heal_and_verify(&mut self) -> Result<(), String> {
        self.net.heal();
        for name in self.names() {
            self.nodes[&name].disk.cancel_power_off();
            self.restart(&name).await;
        }
        let committed = timeout(TIMEOUT, self.commit()).await;
        let index = committed
            .map_err(|_| self.report("no commit within a minute"))?
            .index;
        let members = self.leader().await.status().members;
        for member in members.voters.iter().chain(&members.learners) {
            let node = &self.nodes[&member.name];
            let mut commit = node.replica.as_ref().unwrap().watch_applied();
            let reached = timeout(TIMEOUT, commit.wait_for(|i| *i >= index)).await;
            reached
                .map_err(|_| self.report(&format!("{} is behind", member.name)))?
                .unwrap();
        }
        self.run_for(Duration::from_secs(2)).await;
        let mut states = members
            .voters
            .iter()
            .map(|m| self.nodes[&m.name].history.lock().unwrap().clone());
        let first = states.next().unwrap();
        if states.any(|state| state != first) {
            return Err(self.report("states differ"));
        }
        match self.checks.violations() {
            violations if violations.is_empty() => Ok(()),
            violations => Err(violations.join("; ")),
        }
    }

    pub fn report(&self, what: &str) -> String {
        let statuses: Vec<_> = self.running().map(Replica::status).collect();
        format!("{what}: {statuses:#?} {:?}", self.checks.violations())
    }
}

/// Cuts all routes except those between `hub` and each of `others`.
pub fn star(group: &Group, hub: &str, others: &[&str]) {
    group.net.heal();
    let names = group.names();
    for from in &names {
        for to in &names {
            let is_open = *from == hub && others.contains(&to.as_str())
                || *to == hub && others.contains(&from.as_str());
            if !is_open {
                group.net.cut(from, to);
            }
        }
    }
}

/// Retries with only the hub's routes open until it leads; no other replica still leads then.
pub async fn elect(group: &Group, hub: &str, others: &[&str]) {
    for _ in 0..100 {
        star(group, "", &[]);
        group.run_for(Duration::from_millis(2_500)).await;
        star(group, hub, others);
        for _ in 0..150 {
            group.run_for(Duration::from_millis(10)).await;
            if group.replica(hub).status().role == Role::Leader {
                return;
            }
        }
    }
    panic!("{}", group.report("the hub does not come to lead"));
}

/// Waits until one of `names` leads and returns its name.
pub async fn wait_for_leader(group: &Group, names: &[&str]) -> String {
    let polling = async {
        loop {
            group.run_for(Duration::from_millis(5)).await;
            let statuses = names.iter().map(|name| group.replica(name).status());
            if let Some(leader) = statuses.into_iter().find(|s| s.role == Role::Leader) {
                return leader.name;
            }
        }
    };
    let found = timeout(TIMEOUT, polling).await;
    found.unwrap_or_else(|_| panic!("{}", group.report("no leader")))
}

pub async fn propose(
    checks: &Checks,
    replica: &Replica,
    entry: Vec<u8>,
) -> Result<Applied, ProposeError> {
    let result = replica.propose(entry.clone()).await;
    match &result {
        Ok(applied) => checks.record_acknowledged(applied.index, entry),
        Err(ProposeError::Lost) => {}
        Err(_) => checks.record_rejected(entry),
    }
    result
}

/// Returns the change that adds `name` as a learner.
pub fn add_learner(name: &str) -> MemberChange {
    MemberChange::AddLearner {
        name: name.to_owned(),
        address: format!("{name}:1"),
    }
}

pub fn promote(name: &str) -> MemberChange {
    MemberChange::Promote {
        name: name.to_owned(),
    }
}

pub fn remove(name: &str) -> MemberChange {
    MemberChange::Remove {
        name: name.to_owned(),
    }
}
