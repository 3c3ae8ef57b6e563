//! Individual faults on in-memory disks and links.

mod common;

use std::time::Duration;

use common::{
    disk::FakeDisk,
    group::{Group, add_learner, elect, names, promote, propose, remove, star},
    paused,
};
use replica::{MemberChange, ProposeError, Role, Timing};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_crashed_leader_is_replaced_and_rejoins() {
    paused(async {
        let mut group = Group::with_voters(3, 2).await;
        for _ in 0..5 {
            group.commit().await;
            let leader = group.leader().await.status().name;
            group.crash(&leader).await;
            group.commit().await;
            group.restart(&leader).await;
        }
        group.heal_and_verify().await.unwrap();
    });
}

#[test]
fn acknowledged_entries_survive_a_power_loss_of_all_replicas() {
    paused(async {
        let mut group = Group::with_voters(3, 3).await;
        for _ in 0..4 {
            for _ in 0..15 {
                group.commit().await;
            }
            for name in names(3) {
                group.crash(&name).await;
            }
            for name in names(3) {
                group.restart(&name).await;
            }
        }
        group.heal_and_verify().await.unwrap();
    });
}

#[test]
fn voters_with_suspect_tails_recover_once_all_are_connected() {
    paused(async {
        let mut group = Group::with_voters(3, 18).await;
        group.commit().await;
        group.run_for(SECOND).await;
        for name in names(3) {
            group.crash(&name).await;
        }
        // Every voter has a suspect tail, and one log may be slightly longer than the others.
        for name in ["a", "b", "c"] {
            let disk = &group.nodes[name].disk;
            let (segment, _) = disk.last_frames().unwrap();
            let mut bytes = disk.bytes(&segment);
            bytes.extend([0xff; 64]);
            disk.overwrite(&segment, bytes);
        }
        group.restart("a").await;
        group.restart("b").await;
        group.run_for(10 * SECOND).await;
        assert!(group.running().all(|r| r.status().role != Role::Leader));
        group.restart("c").await;
        group.commit().await;
        group.run_for(SECOND).await;
        // Once replicated from the leader, each of them counts as a voter again.
        for name in names(3) {
            assert!(
                !group.nodes[&name]
                    .disk
                    .names()
                    .contains(&"doubt".to_owned())
            );
            group.crash(&name).await;
            group.commit().await;
            group.restart(&name).await;
            group.run_for(SECOND).await;
        }
        group.heal_and_verify().await.unwrap();
    });
}

#[test]
fn an_isolated_leader_steps_down_and_fails_its_proposals() {
    paused(async {
        let mut group = Group::with_voters(3, 4).await;
        elect(&group, "a", &["b", "c"]).await;
        group.commit().await;
        group.net.heal();
        group.net.isolate("a", &names(3));
        // The leader's log gets entries that no quorum has.
        let (replica, checks) = (group.replica("a"), group.checks.clone());
        let mut outcomes = Vec::new();
        for _ in 0..5 {
            let (checks, replica, entry) = (checks.clone(), replica.clone(), group.entry());
            outcomes.push(tokio::spawn(async move {
                propose(&checks, &replica, entry).await
            }));
        }
        group.run_for(SECOND / 10).await;
        let last = replica.status().last;
        group.run_for(2 * SECOND).await;
        for outcome in outcomes {
            assert_eq!(outcome.await.unwrap(), Err(ProposeError::Lost));
        }
        let status = replica.status();
        assert_eq!((status.role, status.leader), (Role::Follower, None));
        let refused = replica.propose(vec![0]).await;
        assert_eq!(refused, Err(ProposeError::NotLeader { leader: None }));
        assert!(replica.read_barrier().await.is_err());
        // The others have fewer entries, but theirs are the committed ones.
        group.commit().await;
        assert!(group.leader().await.status().last < last);
        group.heal_and_verify().await.unwrap();
    });
}

#[test]
fn a_leader_that_receives_no_responses_is_replaced() {
    paused(async {
        let mut group = Group::with_voters(3, 5).await;
        elect(&group, "a", &["b", "c"]).await;
        group.net.heal();
        group.commit().await;
        group.net.cut("b", "a");
        group.net.cut("c", "a");
        group.run_for(5 * SECOND).await;
        let leader = group.leader_other_than("a").await;
        assert_ne!(leader.status().name, "a");
        group.heal_and_verify().await.unwrap();
    });
}

#[test]
fn a_reconnected_follower_does_not_disrupt_the_leader() {
    paused(async {
        let mut group = Group::with_voters(3, 6).await;
        elect(&group, "a", &["b", "c"]).await;
        group.net.heal();
        group.commit().await;
        let term = group.replica("a").status().term;
        group.net.isolate("c", &names(3));
        group.run_for(30 * SECOND).await;
        group.net.heal();
        group.run_for(5 * SECOND).await;
        let status = group.replica("a").status();
        assert_eq!((status.role, status.term), (Role::Leader, term));
        group.heal_and_verify().await.unwrap();
    });
}

#[test]
fn logs_diverged_over_many_terms_are_reconciled_in_one_exchange() {
    paused(async {
        let mut group = Group::new(7, None);
        group.snapshot_after = 1_000;
        group.add_all(3).await;
        elect(&group, "a", &["b", "c"]).await;
        group.commit().await;
        // Each of many terms leaves entries only at b or only at c.
        for round in 0..4 {
            for name in ["b", "c"] {
                let is_sent = move |from: &str, _: &str, body: &[u8]| {
                    from == name && common::checks::prev_of_entries(body).is_some()
                };
                group.net.set_filter(Some(Box::new(is_sent)));
                elect(&group, name, &["a"]).await;
                (0..=round).for_each(|_| group.propose_at(name));
                group.run_for(SECOND / 10).await;
            }
        }
        group.net.set_filter(None);
        elect(&group, "c", &["a"]).await;
        group.run_for(SECOND).await;
        let before = group.checks.log_mismatches("b");
        group.net.heal();
        group.heal_and_verify().await.unwrap();
        let exchanges = group.checks.log_mismatches("b") - before;
        assert_eq!(
            exchanges,
            1,
            "diverged up to term {}",
            group.replica("c").status().term
        );
    });
}

#[test]
fn a_follower_far_behind_gets_a_snapshot() {
    paused(async {
        let mut group = Group::with_voters(3, 8).await;
        elect(&group, "a", &["b", "c"]).await;
        group.net.heal();
        group.crash("c").await;
        for _ in 0..100 {
            group.commit().await;
        }
        group.restart("c").await;
        group.heal_and_verify().await.unwrap();
        assert!(group.net.request_count("Snapshot") > 0);
        for name in names(3) {
            assert!(
                group.nodes[&name].disk.names().len() < 30,
                "segments were not removed"
            );
        }
    });
}

#[test]
fn stopping_a_leader_transfers_leadership_immediately() {
    paused(async {
        let mut group = Group::with_voters(3, 9).await;
        group.commit().await;
        let leader = group.leader().await;
        let name = leader.status().name;
        let before = Instant::now();
        leader.stop().await;
        group.leader_other_than(&name).await;
        assert!(
            before.elapsed() < Timing::default().election_min,
            "{:?}",
            before.elapsed()
        );
        assert_eq!(leader.propose(vec![1]).await, Err(ProposeError::Stopped));
        group.crash(&name).await;
        group.heal_and_verify().await.unwrap();
    });
}

#[test]
fn a_disk_failure_stops_the_replica_without_acknowledging() {
    paused(async {
        for is_full in [true, false] {
            let mut group = Group::with_voters(3, 10).await;
            group.commit().await;
            let leader = group.leader().await;
            let name = leader.status().name;
            match is_full {
                true => group.nodes[&name].disk.set_full(),
                false => group.nodes[&name].disk.fail_syncs(),
            }
            let entry = group.entry();
            let outcome = propose(&group.checks, &leader, entry).await;
            assert_eq!(outcome, Err(ProposeError::Lost));
            let status = leader.status();
            assert_eq!(status.role, Role::Stopped);
            assert!(status.failed.is_some());
            assert_eq!(leader.propose(vec![1]).await, Err(ProposeError::Stopped));
            group.leader_other_than(&name).await;
            group.commit().await;
        }
    });
}

#[test]
fn a_wiped_replica_does_not_vote_under_its_old_identity() {
    paused(async {
        let mut group = Group::with_voters(3, 11).await;
        elect(&group, "a", &["b", "c"]).await;
        group.net.heal();
        group.commit().await;
        group.run_for(SECOND).await;
        group.crash("c").await;
        group.add("c", &names(3)).await;
        group.run_for(5 * SECOND).await;
        // It follows but doesn't count as a voter: without b there is no quorum.
        let peers = group.replica("a").status().peers;
        assert!(peers.iter().any(|p| p.name == "c" && !p.has_known_identity));
        group.crash("b").await;
        group.run_for(10 * SECOND).await;
        assert!(group.running().all(|r| r.status().role != Role::Leader));
        assert_eq!(group.replica("c").status().role, Role::Learner);
        group.restart("b").await;
        // Removed and added again, it is a full member.
        let unsafely = MemberChange::RemoveUnsafely {
            name: "c".to_owned(),
        };
        group.change_members(unsafely).await.unwrap();
        group.change_members(add_learner("c")).await.unwrap();
        group.change_members(promote("c")).await.unwrap();
        group.crash("b").await;
        group.commit().await;
        group.heal_and_verify().await.unwrap();
    });
}

#[test]
fn a_group_starts_with_all_initial_voters_and_then_tolerates_one_failure() {
    paused(async {
        let mut group = Group::new(17, None);
        group.add("a", &names(3)).await;
        group.add("b", &names(3)).await;
        group.run_for(30 * SECOND).await;
        assert!(group.running().all(|r| r.status().role != Role::Leader));
        group.add("c", &names(3)).await;
        group.commit().await;
        let members = group.leader().await.status().members;
        assert!(members.voters.iter().all(|m| m.identity.is_some()));
        for name in names(3) {
            group.crash(&name).await;
            group.commit().await;
            group.restart(&name).await;
        }
        group.heal_and_verify().await.unwrap();
    });
}

#[test]
fn a_second_failure_right_after_a_repair_loses_nothing() {
    paused(async {
        let mut group = Group::with_voters(3, 12).await;
        for _ in 0..30 {
            group.commit().await;
        }
        let leader = group.leader().await.status().name;
        let other = names(3).into_iter().find(|n| *n != leader).unwrap();
        group.crash(&other).await;
        group.add("d", &names(3)).await;
        group.change_members(add_learner("d")).await.unwrap();
        group.change_members(promote("d")).await.unwrap();
        group.change_members(remove(&other)).await.unwrap();
        group.nodes.remove(&other);
        group.crash(&leader).await;
        group.commit().await;
        group.heal_and_verify().await.unwrap();
    });
}

#[test]
fn unsafe_membership_changes_are_refused() {
    paused(async {
        let mut group = Group::with_voters(3, 13).await;
        elect(&group, "a", &["b", "c"]).await;
        group.net.heal();
        group.commit().await;
        let refusal_reason = async |group: &Group, change| {
            group.run_for(SECOND).await;
            let leader = group.leader().await;
            leader.change_members(change).await.unwrap_err().to_string()
        };
        let reason = refusal_reason(&group, remove("b")).await;
        assert!(
            reason.contains("one more failure loses the quorum"),
            "{reason}"
        );
        let reason = refusal_reason(&group, promote("d")).await;
        assert!(reason.contains("add it first"), "{reason}");
        group.change_members(add_learner("d")).await.unwrap();
        let reason = refusal_reason(&group, promote("d")).await;
        assert!(reason.contains("does not answer"), "{reason}");
        // Repeating a change that is already in effect succeeds.
        group.change_members(add_learner("d")).await.unwrap();
        group.change_members(remove("e")).await.unwrap();
        let follower = group.replica("b").change_members(remove("d")).await;
        assert!(matches!(
            follower,
            Err(replica::MemberError::NotLeader { .. })
        ));
        star(&group, "a", &["b"]);
        let unsafely = |name: &str| MemberChange::RemoveUnsafely {
            name: name.to_owned(),
        };
        let reason = refusal_reason(&group, unsafely("b")).await;
        assert!(reason.contains("only 1 of 2 voters answer"), "{reason}");
        group.net.heal();
        group.run_for(SECOND).await;
        let reason = refusal_reason(&group, unsafely("a")).await;
        assert!(reason.contains("handed over"), "{reason}");
        group.change_members(remove("d")).await.unwrap();
        group.heal_and_verify().await.unwrap();
    });
}

#[test]
fn a_diverged_state_stops_the_replica() {
    paused(async {
        let mut group = Group::with_voters(3, 14).await;
        elect(&group, "a", &["b", "c"]).await;
        group.net.heal();
        group.commit().await;
        group.run_for(SECOND).await;
        let history = &group.nodes["c"].history;
        history.lock().unwrap()[0].1 = b"a bit that flipped".to_vec();
        for _ in 0..16 {
            group.commit().await;
        }
        group.run_for(SECOND).await;
        let reason = group.replica("c").status().failed.unwrap();
        assert!(reason.contains("differs from the leader's"), "{reason}");
        assert!(group.replica("b").status().failed.is_none());
    });
}

#[test]
fn proposals_that_are_too_large_are_refused() {
    paused(async {
        let group = Group::with_voters(1, 15).await;
        let leader = group.leader().await;
        let outcome = leader.propose(vec![0; 5 << 20]).await;
        assert_eq!(outcome, Err(ProposeError::TooLarge));
    });
}

/// Unblocks a hanging disk when dropped, since its thread would otherwise wait forever.
struct HangingDisk(FakeDisk);

impl HangingDisk {
    fn new(disk: &FakeDisk) -> Self {
        disk.set_hanging(true);
        Self(disk.clone())
    }
}

impl Drop for HangingDisk {
    fn drop(&mut self) {
        self.0.set_hanging(false);
    }
}

/// Uses the real clock, since a paused one doesn't advance while a disk blocks.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_whose_disk_hangs_is_replaced() {
    let mut group = Group::new(16, None);
    group.has_blocking_disks = true;
    group.add_all(3).await;
    group.commit().await;
    let leader = group.leader().await;
    let name = leader.status().name;
    let hanging_disk = HangingDisk::new(&group.nodes[&name].disk);
    let propose_one = |entry| {
        let (checks, leader) = (group.checks.clone(), leader.clone());
        tokio::spawn(async move { propose(&checks, &leader, entry).await })
    };
    // The first entry is in the log and commits on the other disks; the second is never appended.
    let last = leader.status().last;
    let first = propose_one(vec![1]);
    while leader.status().last == last {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let second = propose_one(vec![2]);
    assert!(first.await.unwrap().is_ok());
    let outcome = second.await.unwrap();
    assert!(
        matches!(outcome, Err(ProposeError::NotLeader { .. })),
        "{outcome:?}"
    );
    group.leader_other_than(&name).await;
    group.commit().await;
    drop(hanging_disk);
    group.heal_and_verify().await.unwrap();
}
