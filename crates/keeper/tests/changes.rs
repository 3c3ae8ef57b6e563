//! Changes through real keepers: races, retries, crashes, restarts.

mod env;

use std::time::Duration;

use env::{Fault, Group, LIMIT, az, submission};
use link::follower::{Follower, FollowerConfig};
use operators::ApiError;
use tokio::time::{Instant, sleep, timeout};

#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_changes_on_one_revision_exactly_one_is_accepted() {
    const RACES: u64 = 200;
    let group = Group::start(3).await;
    group.leader().await;
    let (a, b) = (group.api_of(0), group.api_of(1));
    for base in 0..RACES {
        let first = submission(base, vec![az("rockland", &format!("first-{base}"))]);
        let second = submission(base, vec![az("rockland", &format!("second-{base}"))]);
        let (first, second) = tokio::join!(a.submit(&first), b.submit(&second));
        let winners = [&first, &second].into_iter().filter(|r| r.is_ok()).count();
        assert_eq!(winners, 1, "race {base}: {first:?} {second:?}");
        let loser = first.err().or(second.err());
        match loser {
            Some(ApiError::Conflict(conflicts)) => {
                assert_eq!(conflicts.len(), 1);
                assert_ne!(conflicts[0].current, conflicts[0].proposed);
                assert_eq!(conflicts[0].revision, base + 1);
            }
            other => panic!("race {base}: {other:?}"),
        }
    }
    assert_eq!(group.api().declaration().await.unwrap().revision, RACES);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retried_change_is_applied_once_through_every_keeper() {
    let group = Group::start(3).await;
    let change = submission(0, vec![az("rockland", "gulf-maine")]);
    let first = group.submit(&change).await;
    assert!(first.revision == 1);
    for i in 0..3 {
        let retried = group.api_of(i).submit(&change).await.unwrap();
        assert_eq!((retried.revision, retried.applied), (1, false));
    }
    let mut other = change.clone();
    other.sections = Some(vec![az("rockland", "elsewhere")]);
    let reused = group.api().submit(&other).await;
    assert!(matches!(reused, Err(ApiError::Refused { status: 409, .. })));
}

/// Submits changes one after the other, retrying each until it is accepted, and returns their
/// revisions.
async fn submit_changes(group: &Group, from: u64, n: u64) -> Vec<u64> {
    let mut revisions = Vec::new();
    for i in from..from + n {
        let change = submission(i, vec![az(&format!("az-{}", i % 9), &format!("r{i}"))]);
        revisions.push(group.submit(&change).await.revision);
    }
    revisions
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_9_of_the_leader_loses_no_accepted_change() {
    let mut group = Group::start(3).await;
    let mut expected = 0;
    for _ in 0..3 {
        let revisions = submit_changes(&group, expected, 20).await;
        assert_eq!(
            revisions,
            ((expected + 1)..=(expected + 20)).collect::<Vec<_>>()
        );
        expected += 20;
        let leader = group.leader().await;
        group.kill(leader);
        let start = Instant::now();
        submit_changes(&group, expected, 1).await;
        expected += 1;
        // The target is 3 s; twice that allows for a loaded machine.
        assert!(
            start.elapsed() < Duration::from_secs(6),
            "{:?}",
            start.elapsed()
        );
        assert_eq!(group.api().declaration().await.unwrap().revision, expected);
        group.restart(leader);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_9_of_all_keepers_after_500_changes_loses_none() {
    let mut group = Group::start_with(3, "snapshot_after = 200\n").await;
    let answers = submit_changes(&group, 0, 500).await;
    assert_eq!(answers.last(), Some(&500));
    let before = group.api().declaration().await.unwrap();
    for i in 0..3 {
        group.kill(i);
    }
    for i in 0..3 {
        group.restart(i);
    }
    group.leader().await;
    let after = group.api().declaration().await.unwrap();
    assert_eq!(before, after);
    let audit = group.api().audit(1).await.unwrap();
    let revisions: Vec<u64> = audit.iter().map(|record| record.revision).collect();
    assert_eq!(revisions, (1..=500).collect::<Vec<_>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_leader_accepts_no_change_and_the_others_do() {
    let group = Group::start(3).await;
    submit_changes(&group, 0, 5).await;
    for fault in [Fault::Blackhole, Fault::Reset, Fault::InboundBlackhole] {
        let base = group.api().declaration().await.unwrap().revision;
        let old = group.leader().await;
        group.isolate(old, fault);
        let isolated_change = submission(base, vec![az("lone", &format!("r{base}"))]);
        let refused = group.api_of(old).submit(&isolated_change).await;
        assert!(
            matches!(refused, Err(ApiError::Unavailable { .. })),
            "{refused:?}"
        );
        let others: Vec<usize> = (0..3).filter(|i| *i != old).collect();
        let change = submission(base, vec![az("others", &format!("r{base}"))]);
        let accepted = async {
            loop {
                match group.api_of(others[0]).submit(&change).await {
                    Ok(accepted) => return accepted,
                    Err(_) => sleep(Duration::from_millis(50)).await,
                }
            }
        };
        let accepted = timeout(LIMIT, accepted).await.unwrap();
        assert!(group.api_of(old).declaration().await.is_err());
        group.isolate(old, Fault::None);
        // The isolated leader's change is decided once. With `Fault::InboundBlackhole` its entry
        // reached the others, and the next leader may have committed it; otherwise it reached
        // nobody.
        let late = group.submit(&isolated_change).await;
        match fault {
            Fault::InboundBlackhole => assert_ne!(late.revision, accepted.revision),
            _ => assert!(late.revision > accepted.revision),
        }
        assert_eq!(group.submit(&isolated_change).await.revision, late.revision);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_leader_is_replaced_and_serves_no_old_state_when_resumed() {
    let group = Group::start(3).await;
    submit_changes(&group, 0, 3).await;
    let old = group.leader().await;
    let process = group.keepers[old].as_ref().unwrap();
    let follower = Follower::start(vec![group.peer(old)], FollowerConfig::default());
    let mut in_force = follower.in_force();
    timeout(
        LIMIT,
        in_force.wait_for(|f| f.as_ref().is_some_and(|f| f.revision == 3)),
    )
    .await
    .unwrap()
    .unwrap();
    process.signal("-STOP");
    let next = (old + 1) % 3;
    let change = submission(3, vec![az("thaw", "x")]);
    let accepted = async {
        while group.api_of(next).submit(&change).await.is_err() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(LIMIT, accepted).await.unwrap();
    process.signal("-CONT");
    // The resumed keeper serves the current state or none.
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(2) {
        if let Ok(declared) = group.api_of(old).declaration().await {
            assert_eq!(declared.revision, 4);
        }
        let revision = in_force.borrow().as_ref().map_or(0, |f| f.revision);
        assert!(revision >= 3);
        sleep(Duration::from_millis(20)).await;
    }
    let reached = in_force.wait_for(|f| f.as_ref().is_some_and(|f| f.revision == 4));
    timeout(LIMIT, reached).await.unwrap().unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_that_stay_silent_are_replaced() {
    let group = Group::start(3).await;
    submit_changes(&group, 0, 3).await;
    for round in 1..=2 {
        group.silence_connections();
        submit_changes(&group, round * 3, 3).await;
    }
    assert_eq!(group.api().declaration().await.unwrap().revision, 9);
}

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_of_the_leader_hands_over_and_exits_with_0() {
    let mut group = Group::start(3).await;
    submit_changes(&group, 0, 3).await;
    let leader = group.leader().await;
    let mut process = group.keepers[leader].take().unwrap();
    process.signal("-TERM");
    let (code, revisions) = tokio::join!(process.wait_for_exit(), submit_changes(&group, 3, 5));
    assert_eq!(code, Some(0));
    assert_eq!(revisions, [4, 5, 6, 7, 8]);
}
