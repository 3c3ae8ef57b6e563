//! Bootstrap of a group, which must happen only once.

mod common;

use std::time::Duration;

use common::{
    group::{Group, names},
    paused,
};
use replica::Role;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
/// Target for bookings and changes to work again after a leader is killed, in virtual time.
const MAX_LEADERLESS: Duration = Duration::from_secs(3);

/// Waits for a leader, polling every millisecond.
async fn first_leader(group: &Group) -> String {
    loop {
        let mut statuses = group.running().map(replica::Replica::status);
        if let Some(leader) = statuses.find(|s| s.role == Role::Leader) {
            return leader.name;
        }
        group.run_for(SECOND / 1_000).await;
    }
}

/// Kills the first leader `after` its election and returns the time until the next one.
async fn time_without_leader(group: &mut Group, after: Duration) -> Duration {
    let leader = first_leader(group).await;
    group.run_for(after).await;
    group.crash(&leader).await;
    let start = Instant::now();
    let polling = group.leader_other_than(&leader);
    match tokio::time::timeout(10 * SECOND, polling).await {
        Ok(_) => start.elapsed(),
        Err(_) => 10 * SECOND,
    }
}

#[test]
fn the_first_leader_may_be_killed_right_after_its_election() {
    let mut leaderless_times = Vec::new();
    for seed in 0..40u32 {
        paused(async {
            let mut group = Group::with_voters(3, 100 + u64::from(seed) * 3).await;
            leaderless_times
                .push(time_without_leader(&mut group, SECOND / 1_000 * (seed % 10)).await);
            group.heal_and_verify().await.unwrap();
        });
    }
    println!("time without a leader: {leaderless_times:?}");
    assert!(
        leaderless_times
            .iter()
            .all(|leaderless| *leaderless < MAX_LEADERLESS),
        "{leaderless_times:?}"
    );
}

#[test]
fn a_late_initial_voter_replaces_a_killed_first_leader() {
    paused(async {
        let mut group = Group::new(40, None);
        group.add("a", &names(3)).await;
        group.add("b", &names(3)).await;
        group.run_for(5 * SECOND).await;
        group.add("c", &names(3)).await;
        // Kill the first leader right after its election, before it contacts all voters.
        let leaderless = time_without_leader(&mut group, Duration::ZERO).await;
        assert!(leaderless < MAX_LEADERLESS, "{leaderless:?}");
        group.heal_and_verify().await.unwrap();
    });
}

#[test]
fn two_wiped_voters_form_no_group_without_the_third() {
    paused(async {
        let mut group = Group::with_voters(3, 50).await;
        let index = group.commit().await.index;
        group.run_for(SECOND).await;
        for name in names(3) {
            group.crash(&name).await;
        }
        group.add("b", &names(3)).await;
        group.add("c", &names(3)).await;
        group.run_for(30 * SECOND).await;
        assert!(group.running().all(|r| r.status().role != Role::Leader));
        group.restart("a").await;
        group.run_for(30 * SECOND).await;
        assert!(group.running().all(|r| r.status().role != Role::Leader));
        let status = group.replica("a").status();
        assert_eq!((status.last >= index, status.failed), (true, None));
    });
}

#[test]
fn replicas_configured_with_different_initial_voters_form_no_group() {
    paused(async {
        let mut group = Group::new(60, None);
        group.add("a", &names(3)).await;
        group.add("b", &names(3)).await;
        group.add("c", &names(4)).await;
        group.run_for(30 * SECOND).await;
        assert!(group.running().all(|r| r.status().role != Role::Leader));
    });
}

#[test]
fn a_group_begins_under_crashes_at_any_write() {
    for seed in 0..120u32 {
        paused(async {
            let mut group = Group::with_voters(3, 200 + u64::from(seed) * 3).await;
            for (at, name) in names(3).iter().enumerate() {
                let operations = seed * 7 + at as u32 * 5;
                group.nodes[name].disk.power_off_after(operations % 17);
            }
            group.net.set_faults(0.2, 0.2, 100);
            for _ in 0..4 {
                group.run_for(SECOND * (1 + seed % 3)).await;
                for name in names(3) {
                    group.restart(&name).await;
                }
            }
            group
                .heal_and_verify()
                .await
                .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        });
    }
}
