//! How a group begins, and that it never begins a second time.

mod common;

use std::time::Duration;

use common::{
    group::{Group, names},
    paused,
};
use replica::Role;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
/// In virtual time, the target for bookings and changes after a leader was killed.
const REPLACED_WITHIN: Duration = Duration::from_secs(3);

/// Waits for the first one that leads, looking every millisecond.
async fn first_leader(group: &Group) -> String {
    loop {
        let mut statuses = group.running().map(replica::Replica::status);
        if let Some(leader) = statuses.find(|s| s.role == Role::Leader) {
            return leader.name;
        }
        group.pause(SECOND / 1_000).await;
    }
}

/// Kills the first leader `after` it began to lead and returns the time without one.
async fn kill_first_leader(group: &mut Group, after: Duration) -> Duration {
    let leader = first_leader(group).await;
    group.pause(after).await;
    group.crash(&leader).await;
    let start = Instant::now();
    let look = group.leader_but(&leader);
    match tokio::time::timeout(10 * SECOND, look).await {
        Ok(_) => start.elapsed(),
        Err(_) => 10 * SECOND,
    }
}

#[test]
fn the_first_leader_may_be_killed_at_once() {
    let mut gaps = Vec::new();
    for seed in 0..40u32 {
        paused(async {
            let mut group = Group::of(3, 100 + u64::from(seed) * 3).await;
            gaps.push(kill_first_leader(&mut group, SECOND / 1_000 * (seed % 10)).await);
            group.settle().await.unwrap();
        });
    }
    println!("time without a leader: {gaps:?}");
    assert!(gaps.iter().all(|gap| *gap < REPLACED_WITHIN), "{gaps:?}");
}

#[test]
fn a_first_voter_that_the_first_leader_never_heard_replaces_it() {
    paused(async {
        let mut group = Group::new(40, None);
        group.add("a", &names(3)).await;
        group.add("b", &names(3)).await;
        group.pause(5 * SECOND).await;
        group.add("c", &names(3)).await;
        // Whoever leads by now loses its ways to c, and then its power.
        let gap = kill_first_leader(&mut group, Duration::ZERO).await;
        assert!(gap < REPLACED_WITHIN, "{gap:?}");
        group.settle().await.unwrap();
    });
}

#[test]
fn two_wiped_first_voters_found_no_group_while_the_third_is_off() {
    paused(async {
        let mut group = Group::of(3, 50).await;
        let index = group.commit().await.index;
        group.pause(SECOND).await;
        for name in names(3) {
            group.crash(&name).await;
        }
        group.add("b", &names(3)).await;
        group.add("c", &names(3)).await;
        group.pause(30 * SECOND).await;
        assert!(group.running().all(|r| r.status().role != Role::Leader));
        group.restart("a").await;
        group.pause(30 * SECOND).await;
        assert!(group.running().all(|r| r.status().role != Role::Leader));
        let kept = group.replica("a").status();
        assert_eq!((kept.last >= index, kept.failed), (true, None));
    });
}

#[test]
fn keepers_whose_settings_name_other_first_voters_found_no_group() {
    paused(async {
        let mut group = Group::new(60, None);
        group.add("a", &names(3)).await;
        group.add("b", &names(3)).await;
        group.add("c", &names(4)).await;
        group.pause(30 * SECOND).await;
        assert!(group.running().all(|r| r.status().role != Role::Leader));
    });
}

#[test]
fn a_group_begins_under_crashes_at_any_write() {
    for seed in 0..120u32 {
        paused(async {
            let mut group = Group::of(3, 200 + u64::from(seed) * 3).await;
            for (at, name) in names(3).iter().enumerate() {
                let operations = seed * 7 + at as u32 * 5;
                group.nodes[name].disk.stop_after(operations % 17);
            }
            group.net.disturb(0.2, 0.2, 100);
            for _ in 0..4 {
                group.pause(SECOND * (1 + seed % 3)).await;
                for name in names(3) {
                    group.restart(&name).await;
                }
            }
            group
                .settle()
                .await
                .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        });
    }
}
