//! Tests of the checks: each deliberately broken variant is caught in a situation that the right
//! one comes through.

mod common;

use std::time::Duration;

use common::{
    checks::prev_of_entries,
    group::{Group, add_learner, await_leader, elect, propose, star},
    paused,
};
use replica::BrokenVariant;

/// Larger than what one request holds of further entries.
const LARGE: usize = (1 << 20) + 1;
const SEEDS: u64 = 20;

/// Runs `situation` with the right variant, then the broken one, which must fail as `expected`.
fn compare<F: Future<Output = Result<(), String>>>(
    broken: BrokenVariant,
    expected: &str,
    situation: impl Fn(Group) -> F,
) {
    let runs = |broken| (0..SEEDS).map(move |seed| (seed, broken));
    for (seed, broken) in runs(None) {
        let outcome = paused(situation(Group::new(seed, broken)));
        assert_eq!(outcome, Ok(()), "seed {seed}");
    }
    let outcomes = runs(Some(broken)).map(|(seed, b)| paused(situation(Group::new(seed, b))));
    let failures: Vec<_> = outcomes.filter_map(Result::err).collect();
    let is_caught = failures.iter().any(|why| why.contains(expected));
    assert!(is_caught, "not caught: {failures:?}");
}

#[test]
fn a_vote_that_is_not_synced_is_caught() {
    compare(
        BrokenVariant::UnsyncedVote,
        "voted for",
        async |mut group| {
            group.add_all(3).await;
            elect(&group, "a", &["b", "c"]).await;
            group.commit().await;
            star(&group, "", &[]);
            group.pause(Duration::from_secs(3)).await;
            // a votes for b and loses power at once; when it is back, c asks for its vote.
            group.net.stop_on_vote("a", &group.nodes["a"].disk);
            star(&group, "b", &["a"]);
            group.pause(Duration::from_secs(2)).await;
            star(&group, "c", &["a"]);
            group.restart("a").await;
            group.pause(Duration::from_secs(3)).await;
            group.settle().await
        },
    );
}

#[test]
fn an_old_term_committed_by_counting_is_caught() {
    compare(
        BrokenVariant::OldTermCommit,
        "two entries",
        async |mut group| {
            group.add_all(5).await;
            elect(&group, "a", &["b", "c", "d", "e"]).await;
            let start = group.commit().await.index;
            group.pause(Duration::from_secs(1)).await;
            // Two entries of a's term reach b alone.
            star(&group, "a", &["b"]);
            for n in 1..=2u8 {
                let (checks, replica) = (group.checks.clone(), group.replica("a"));
                tokio::spawn(async move { propose(&checks, &replica, vec![n; LARGE]).await });
            }
            group.pause(Duration::from_millis(300)).await;
            // e leads a later term, and its entries reach no one.
            let is_of_e =
                |from: &str, _: &str, body: &[u8]| from == "e" && prev_of_entries(body).is_some();
            group.net.filter(Some(Box::new(is_of_e)));
            elect(&group, "e", &["c", "d"]).await;
            group.propose_at("e");
            group.pause(Duration::from_millis(100)).await;
            // a leads again, and brings its old entries to a majority, but none of its new term.
            let is_later = move |from: &str, _: &str, body: &[u8]| {
                from == "a" && prev_of_entries(body).is_some_and(|prev| prev >= start + 2)
            };
            group.net.filter(Some(Box::new(is_later)));
            elect(&group, "a", &["b", "c", "d"]).await;
            group.pause(Duration::from_millis(500)).await;
            // e's entries of the later term win over them.
            group.net.filter(None);
            elect(&group, "e", &["b", "c", "d"]).await;
            group.pause(Duration::from_secs(1)).await;
            match group.checks.violations() {
                violations if violations.is_empty() => group.settle().await,
                violations => Err(violations.join("; ")),
            }
        },
    );
}

#[test]
fn a_learner_that_counts_is_caught() {
    compare(
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
                    .change(add_learner(name))
                    .await
                    .map_err(|e| e.to_string())?;
            }
            group.commit().await;
            elect(&group, "a", &["b", "c", "d", "e"]).await;
            group.pause(Duration::from_secs(1)).await;
            star(&group, "a", &["d", "e"]);
            group.propose_at("a");
            group.propose_at("a");
            group.pause(Duration::from_millis(100)).await;
            star(&group, "b", &["c"]);
            let later = await_leader(&group, &["b", "c"]).await;
            group.propose_at(&later);
            group.propose_at(&later);
            group.pause(Duration::from_secs(1)).await;
            match group.checks.violations() {
                violations if violations.is_empty() => group.settle().await,
                violations => Err(violations.join("; ")),
            }
        },
    );
}

#[test]
fn a_replica_that_votes_after_it_cut_its_tail_is_caught() {
    compare(
        BrokenVariant::SuspectTailVote,
        "two entries",
        async |mut group| {
            group.add_all(3).await;
            elect(&group, "a", &["b", "c"]).await;
            group.commit().await;
            group.pause(Duration::from_secs(1)).await;
            // These are on a and c alone, the last of them in one frame.
            star(&group, "a", &["c"]);
            (0..12).for_each(|_| group.propose_at("a"));
            group.pause(Duration::from_millis(300)).await;
            group.crash("c").await;
            group.crash("a").await;
            group.nodes["c"].disk.flip_last_frame(40, 3);
            group.net.heal();
            group.restart("c").await;
            group.pause(Duration::from_secs(5)).await;
            (0..12).for_each(|_| group.propose_at("b"));
            (0..12).for_each(|_| group.propose_at("c"));
            group.pause(Duration::from_secs(1)).await;
            match group.checks.violations() {
                violations if violations.is_empty() => group.settle().await,
                violations => Err(violations.join("; ")),
            }
        },
    );
}

#[test]
fn a_read_that_no_quorum_confirmed_is_caught() {
    compare(
        BrokenVariant::UnconfirmedRead,
        "a read saw",
        async |mut group| {
            group.add_all(3).await;
            elect(&group, "a", &["b", "c"]).await;
            group.commit().await;
            star(&group, "b", &["c"]);
            let later = await_leader(&group, &["b", "c"]).await;
            group.propose_at(&later);
            // a still believes that it leads, unless the election took long.
            group.pause(Duration::from_millis(20)).await;
            group.read_at("a");
            group.pause(Duration::from_secs(1)).await;
            group.settle().await
        },
    );
}
