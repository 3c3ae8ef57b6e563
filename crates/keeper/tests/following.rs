//! Followers of real keepers behind proxies: packet loss, a partitioned zone, keeper restarts.

mod env;

use std::{sync::Arc, time::Duration};

use bench::proxy::{Cut, Proxy, Rules};
use env::{Group, LIMIT, az, peer, submission};
use link::follower::{ActiveDeclaration, Follower, FollowerConfig};
use tokio::time::{Instant, timeout};

/// Maximum time until a change is in force.
const MAX_CHANGE_LATENCY: Duration = Duration::from_secs(7);

/// A follower with links to all keepers, each through its own proxy.
struct Gate {
    proxies: Vec<Proxy>,
    follower: Follower,
}

impl Gate {
    async fn start(group: &Group, seed: u64) -> Self {
        let mut proxies = Vec::new();
        for (i, process) in group.running() {
            let proxy = Proxy::start(seed * 16 + i as u64).await.unwrap();
            proxy.set_upstream(process.link);
            proxies.push(proxy);
        }
        let peers = proxies.iter().map(|proxy| peer(proxy.address()));
        let follower = Follower::start(peers.collect(), FollowerConfig::default());
        Self { proxies, follower }
    }

    fn set_rules(&self, rules: &Rules) {
        for proxy in &self.proxies {
            proxy.set_rules(rules.clone());
        }
    }

    async fn wait_for_revision(&self, revision: u64, limit: Duration) -> Arc<ActiveDeclaration> {
        let mut rx = self.follower.in_force();
        let reached = rx.wait_for(|f| f.as_ref().is_some_and(|f| f.revision >= revision));
        let reached = timeout(limit, reached).await.expect("in force in time");
        Arc::clone(reached.unwrap().as_ref().unwrap())
    }
}

async fn submit_change(group: &Group, base: u64) -> u64 {
    let sections = vec![az("rockland", &format!("r{base}"))];
    group.submit(&submission(base, sections)).await.revision
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_in_time_under_loss_and_after_a_partition() {
    const GATES: u64 = 12;
    let lossy = Rules {
        loss: 0.02,
        ..Rules::delayed(Duration::from_millis(5))
    };
    let group = Group::start(3).await;
    let mut gates = Vec::new();
    for seed in 0..GATES {
        gates.push(Gate::start(&group, seed).await);
    }
    let mut revision = submit_change(&group, 0).await;
    for gate in &gates {
        gate.wait_for_revision(revision, LIMIT).await;
        gate.set_rules(&lossy);
    }
    let (partitioned, others) = gates.split_at(4);
    for gate in partitioned {
        gate.set_rules(&Rules::cut(Cut::Both));
    }
    for _ in 0..3 {
        let start = Instant::now();
        revision = submit_change(&group, revision).await;
        for gate in others {
            gate.wait_for_revision(revision, MAX_CHANGE_LATENCY.saturating_sub(start.elapsed()))
                .await;
        }
    }
    let healed = Instant::now();
    for gate in partitioned {
        assert!(gate.follower.in_force().borrow().as_ref().unwrap().revision < revision);
        gate.set_rules(&lossy);
    }
    for gate in partitioned {
        gate.wait_for_revision(
            revision,
            MAX_CHANGE_LATENCY.saturating_sub(healed.elapsed()),
        )
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_followers_revision_never_decreases_while_keepers_are_killed_and_restarted() {
    let mut group = Group::start(3).await;
    let gate = Gate::start(&group, 1).await;
    let follower = gate.follower.clone();
    let observed = tokio::spawn(async move {
        let mut rx = follower.in_force();
        let mut revisions = Vec::new();
        while rx.changed().await.is_ok() {
            let revision = rx.borrow_and_update().as_ref().map_or(0, |f| f.revision);
            revisions.push(revision);
            if revision >= 40 {
                break;
            }
        }
        revisions
    });
    let mut revision = 0;
    for round in 0..4 {
        for _ in 0..10 {
            revision = submit_change(&group, revision).await;
        }
        let i = round % 3;
        group.kill(i);
        group.restart(i);
        let process = group.keepers[i].as_ref().unwrap();
        gate.proxies[i].set_upstream(process.link);
    }
    let revisions = timeout(LIMIT, observed)
        .await
        .expect("all seen in time")
        .unwrap();
    assert!(revisions.is_sorted(), "{revisions:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_keeper_without_a_quorum_does_not_publish_at_once() {
    let mut group = Group::start_with(3, "snapshot_after = 100\n").await;
    for base in 0..5 {
        submit_change(&group, base).await;
    }
    for i in 0..3 {
        group.kill(i);
    }
    group.restart(0);
    let follower_of_one = Gate::start(&group, 1).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(follower_of_one.follower.in_force().borrow().is_none());
    group.restart(1);
    assert_eq!(
        follower_of_one.wait_for_revision(1, LIMIT).await.revision,
        5
    );
}
