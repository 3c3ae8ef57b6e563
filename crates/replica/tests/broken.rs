//! Tests of the checks: each broken variant must be detected in a scenario that the correct variant
//! passes.

mod common;

use std::time::Duration;

use common::{
    checks::prev_of_entries,
    group::{Group, add_learner, elect, propose, star, wait_for_leader},
    paused,
};
use replica::BrokenVariant;

/// Larger than the limit of a request, so that each entry is sent alone.
const OVERSIZED_ENTRY: usize = (1 << 20) + 1;
const SEEDS: u64 = 20;

/// Runs `scenario` with the correct variant, then the broken one, which must fail as `expected`.
fn assert_detected<F: Future<Output = Result<(), String>>>(
    broken: BrokenVariant,
    expected: &str,
    scenario: impl Fn(Group) -> F,
) {
    let runs = |broken| (0..SEEDS).map(move |seed| (seed, broken));
    for (seed, broken) in runs(None) {
        let outcome = paused(scenario(Group::new(seed, broken)));
        assert_eq!(outcome, Ok(()), "seed {seed}");
    }
    let outcomes = runs(Some(broken)).map(|(seed, b)| paused(scenario(Group::new(seed, b))));
    let failures: Vec<_> = outcomes.filter_map(Result::err).collect();
    let is_detected = failures.iter().any(|reason| reason.contains(expected));
    assert!(is_detected, "not detected: {failures:?}");
}

#[test]
fn an_unsynced_vote_is_detected() {
    assert_detected(
        BrokenVariant::UnsyncedVote,
        "voted for",
        async |mut group| {
            group.add_all(3).await;
            elect(&group, "a", &["b", "c"]).await;
            group.commit().await;
            star(&group, "", &[]);
            group.run_for(Duration::from_secs(3)).await;
            // a votes for b and loses power immediately; after its restart c requests its vote.
            group.net.power_off_on_vote("a", &group.nodes["a"].disk);
            star(&group, "b", &["a"]);
            group.run_for(Duration::from_secs(2)).await;
            star(&group, "c", &["a"]);
            group.restart("a").await;
            group.run_for(Duration::from_secs(3)).await;
            group.heal_and_verify().await
        },
    );
}

#[test]
fn a_commit_of_an_old_term_by_counting_is_detected() {
    assert_detected(
        BrokenVariant::OldTermCommit,
        "two entries",
        async |mut group| {
            group.add_all(5).await;
            elect(&group, "a", &["b", "c", "d", "e"]).await;
            let start = group.commit().await.index;
            group.run_for(Duration::from_secs(1)).await;
            // Two entries of a's term reach only b.
            star(&group, "a", &["b"]);
            for n in 1..=2u8 {
                let (checks, replica) = (group.checks.clone(), group.replica("a"));
                tokio::spawn(
                    async move { propose(&checks, &replica, vec![n; OVERSIZED_ENTRY]).await },
                );
            }
            group.run_for(Duration::from_millis(300)).await;
            // e leads a later term; its entries reach nobody.
            let is_entry_from_e =
                |from: &str, _: &str, body: &[u8]| from == "e" && prev_of_entries(body).is_some();
            group.net.set_filter(Some(Box::new(is_entry_from_e)));
            elect(&group, "e", &["c", "d"]).await;
            group.propose_at("e");
            group.run_for(Duration::from_millis(100)).await;
            // a leads again and replicates its old entries to a majority, but none of its new term.
            let is_later_entry_from_a = move |from: &str, _: &str, body: &[u8]| {
                from == "a" && prev_of_entries(body).is_some_and(|prev| prev >= start + 2)
            };
            group.net.set_filter(Some(Box::new(is_later_entry_from_a)));
            elect(&group, "a", &["b", "c", "d"]).await;
            group.run_for(Duration::from_millis(500)).await;
            // e's entries of the later term replace them.
            group.net.set_filter(None);
            elect(&group, "e", &["b", "c", "d"]).await;
            group.run_for(Duration::from_secs(1)).await;
            match group.checks.violations() {
                violations if violations.is_empty() => group.heal_and_verify().await,
                violations => Err(violations.join("; ")),
            }
        },
    );
}

#[test]
fn a_learner_counted_as_voter_is_detected() {
    assert_detected(
        BrokenVariant::CountedLearners,
        "two entries",
        async |mut group| {
            group.add_all(3).await;
            elect(&group, "a", &["b", "c"]).await;
            for name in ["d", "e"] {
                group
                    .add(name, &["a".to_owned(), "b".to_owned(), "c".to_owned()])
                    .await;
                group.net.heal();
                group
                    .change_members(add_learner(name))
                    .await
                    .map_err(|e| e.to_string())?;
            }
            group.commit().await;
            elect(&group, "a", &["b", "c", "d", "e"]).await;
            group.run_for(Duration::from_secs(1)).await;
            star(&group, "a", &["d", "e"]);
            group.propose_at("a");
            group.propose_at("a");
            group.run_for(Duration::from_millis(100)).await;
            star(&group, "b", &["c"]);
            let new_leader = wait_for_leader(&group, &["b", "c"]).await;
            group.propose_at(&new_leader);
            group.propose_at(&new_leader);
            group.run_for(Duration::from_secs(1)).await;
            match group.checks.violations() {
                violations if violations.is_empty() => group.heal_and_verify().await,
                violations => Err(violations.join("; ")),
            }
        },
    );
}

#[test]
fn a_vote_with_a_suspect_tail_is_detected() {
    assert_detected(
        BrokenVariant::SuspectTailVote,
        "two entries",
        async |mut group| {
            group.add_all(3).await;
            elect(&group, "a", &["b", "c"]).await;
            group.commit().await;
            group.run_for(Duration::from_secs(1)).await;
            // These entries are only on a and c, the last of them in one frame.
            star(&group, "a", &["c"]);
            (0..12).for_each(|_| group.propose_at("a"));
            group.run_for(Duration::from_millis(300)).await;
            group.crash("c").await;
            group.crash("a").await;
            group.nodes["c"].disk.flip_last_frame(40, 3);
            group.net.heal();
            group.restart("c").await;
            group.run_for(Duration::from_secs(5)).await;
            (0..12).for_each(|_| group.propose_at("b"));
            (0..12).for_each(|_| group.propose_at("c"));
            group.run_for(Duration::from_secs(1)).await;
            match group.checks.violations() {
                violations if violations.is_empty() => group.heal_and_verify().await,
                violations => Err(violations.join("; ")),
            }
        },
    );
}

#[test]
fn an_unconfirmed_read_is_detected() {
    assert_detected(
        BrokenVariant::UnconfirmedRead,
        "a read saw",
        async |mut group| {
            group.add_all(3).await;
            elect(&group, "a", &["b", "c"]).await;
            group.commit().await;
            star(&group, "b", &["c"]);
            let new_leader = wait_for_leader(&group, &["b", "c"]).await;
            group.propose_at(&new_leader);
            // a still considers itself leader, unless the election took long.
            group.run_for(Duration::from_millis(20)).await;
            group.read_at("a");
            group.run_for(Duration::from_secs(1)).await;
            group.heal_and_verify().await
        },
    );
}
