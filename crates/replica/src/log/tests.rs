use std::{fmt::Write, sync::Arc};

use expect_test::expect;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::Log;
use crate::entry::{Entry, Members, Payload};

const ROUNDS: u64 = 500;

/// Creates two diverged logs: one replica leads each term, and the other gets part of its log.
fn diverged_logs(terms: u64, rng: &mut StdRng) -> [Log; 2] {
    let mut logs = [(); 2].map(|()| Log::new(0, 0, Members::default()));
    for term in 1..=terms {
        let leader = rng.random_range(0..2);
        let count = rng.random_range(1..20);
        let first = logs[leader].last() + 1;
        let added = (first..first + count).map(|index| {
            let payload = Payload::Empty;
            Arc::new(Entry {
                index,
                term,
                payload,
            })
        });
        let added: Vec<_> = added.collect();
        logs[leader].append(added.clone());
        // Sometimes the other replica receives a prefix of the leader's log.
        if rng.random_bool(0.2) {
            let reached = first + rng.random_range(0..count);
            let prefix = (1..=reached).filter_map(|i| logs[leader].get(i).cloned());
            let prefix: Vec<_> = prefix.collect();
            logs[1 - leader].append(prefix);
        }
    }
    logs
}

/// Returns the last index at which both logs have the same term.
fn last_common_index(leader: &Log, follower: &Log) -> u64 {
    let both = (0..=leader.last().min(follower.last())).rev();
    let mut both = both.skip_while(|i| leader.term(*i) != follower.term(*i));
    both.next().unwrap_or(0)
}

/// Counts the exchanges until the leader finds a shared index; `step` returns the next one to try.
fn count_exchanges(leader: &Log, follower: &Log, step: impl Fn(u64) -> u64) -> u64 {
    let mut prev = leader.last();
    let mut count = 0;
    while follower.term(prev) != leader.term(prev) {
        prev = step(prev);
        count += 1;
    }
    count
}

/// Counts exchanges when stepping back by index, by term, and with all terms in one response.
fn exchange_counts(leader: &Log, follower: &Log) -> [u64; 3] {
    let by_term = |prev: u64| {
        let end = prev.min(follower.last());
        let Some(term) = follower.term(end) else {
            return 0;
        };
        let first = (1..=end).find(|i| follower.term(*i) == Some(term));
        let before = first.unwrap_or(1) - 1;
        leader.last_of_term(term, end).unwrap_or(before)
    };
    let by_all_terms = |_| {
        let term_runs = follower.term_runs(64);
        leader
            .last_shared_index(follower.last(), &term_runs)
            .unwrap_or(0)
    };
    [
        count_exchanges(leader, follower, |prev| prev - 1),
        count_exchanges(leader, follower, by_term),
        count_exchanges(leader, follower, by_all_terms),
    ]
}

#[test]
fn term_runs_find_the_last_shared_index() {
    let mut rng = StdRng::seed_from_u64(9);
    for round in 0..ROUNDS {
        let [leader, follower] = diverged_logs(round % 40, &mut rng);
        let found = leader.last_shared_index(follower.last(), &follower.term_runs(64));
        assert_eq!(
            found,
            Some(last_common_index(&leader, &follower)),
            "round {round}"
        );
    }
}

#[test]
fn exchanges_until_the_shared_index_is_found() {
    let mut table = String::from("terms  by index  by term  all terms (mean exchanges)\n");
    for terms in [2, 8, 32] {
        let mut rng = StdRng::seed_from_u64(10);
        let mut totals = [0; 3];
        for _ in 0..ROUNDS {
            let [leader, follower] = diverged_logs(terms, &mut rng);
            let counts = exchange_counts(&leader, &follower);
            totals.iter_mut().zip(counts).for_each(|(t, c)| *t += c);
        }
        let mean = totals.map(|t| t as f64 / ROUNDS as f64);
        let [index, term, all] = mean;
        writeln!(table, "{terms:5}  {index:8.2}  {term:7.2}  {all:9.2}").unwrap();
    }
    expect![[r#"
        terms  by index  by term  all terms (mean exchanges)
            2      7.95     0.65       0.65
            8     18.12     1.45       0.78
           32     21.70     1.77       0.80
    "#]]
    .assert_eq(&table);
}

/// Guards against a log that is kept by the number of entries alone, whatever their size.
#[test]
fn entries_behind_a_snapshot_are_kept_by_number_and_size() {
    let mut log = Log::new(0, 0, Members::default());
    log.append((1..=10).map(|index| {
        Arc::new(Entry {
            index,
            term: 1,
            payload: Payload::Data(vec![0; 1_000]),
        })
    }));
    let entry_bytes = log.get(1).unwrap().approximate_bytes() as u64;
    assert_eq!(log.compaction_index(10, 4, u64::MAX), 6);
    assert_eq!(log.compaction_index(10, 4, 2 * entry_bytes), 8);
    assert_eq!(log.compaction_index(10, 4, entry_bytes - 1), 10);
    assert_eq!(log.compaction_index(10, 100, u64::MAX), 0);
    log.compact(6, 10);
    assert_eq!(log.compaction_index(10, 100, u64::MAX), 6);
}
