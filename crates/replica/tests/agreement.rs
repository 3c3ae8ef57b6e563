//! Checks the invariants under random faults.

mod common;

use std::{collections::BTreeSet, sync::Mutex, time::Duration};

use common::{
    group::{Group, add_learner, names, promote, remove},
    paused,
};
use proptest::{
    prelude::*,
    test_runner::{Config, TestRng, TestRunner},
};
use replica::MemberChange;

/// Names of three initial voters and two replicas that may join.
const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Index in `NAMES` of the only replica with flipped bits.
const BIT_FLIP_NODE: usize = 2;
const RNG_SEED: [u8; 32] = [26; 32];

#[derive(Clone, Debug)]
enum Action {
    Propose {
        at: usize,
        count: usize,
    },
    Read {
        at: usize,
    },
    Wait {
        ms: u64,
    },
    Cut {
        from: usize,
        to: usize,
    },
    Isolate {
        at: usize,
    },
    IsolateLeader,
    Disturb {
        loss: f64,
        repeats: f64,
        max_delay: u64,
    },
    Heal,
    Crash {
        at: usize,
    },
    CrashLeader,
    CrashAfter {
        at: usize,
        operations: u32,
    },
    /// Crashes c and flips a bit in its last record.
    Flip {
        byte: usize,
        bit: u32,
    },
    Restart {
        at: usize,
    },
    Add {
        at: usize,
    },
    Promote {
        at: usize,
    },
    Remove {
        at: usize,
        is_forced: bool,
    },
}

fn actions(max_actions: usize) -> impl Strategy<Value = Vec<Action>> {
    let at = || 0..NAMES.len();
    let action = prop_oneof![
        8 => (at(), 1..6usize).prop_map(|(at, count)| Action::Propose { at, count }),
        3 => at().prop_map(|at| Action::Read { at }),
        8 => (1..800u64).prop_map(|ms| Action::Wait { ms }),
        2 => (at(), at()).prop_map(|(from, to)| Action::Cut { from, to }),
        1 => at().prop_map(|at| Action::Isolate { at }),
        1 => Just(Action::IsolateLeader),
        2 => (0.0..0.4, 0.0..0.5, 1..200u64).prop_map(|(loss, repeats, max_delay)| {
            Action::Disturb { loss, repeats, max_delay }
        }),
        2 => Just(Action::Heal),
        2 => at().prop_map(|at| Action::Crash { at }),
        1 => Just(Action::CrashLeader),
        3 => (at(), 0..12u32).prop_map(|(at, operations)| Action::CrashAfter { at, operations }),
        4 => at().prop_map(|at| Action::Restart { at }),
        2 => (3..5usize).prop_map(|at| Action::Add { at }),
        2 => at().prop_map(|at| Action::Promote { at }),
        2 => (at(), any::<bool>()).prop_map(|(at, is_forced)| Action::Remove { at, is_forced }),
    ];
    prop::collection::vec(action, 10..max_actions)
}

/// Like [`actions`], with some flipped bits at one voter.
fn actions_with_flips(max_actions: usize) -> impl Strategy<Value = Vec<Action>> {
    let flip = (any::<usize>(), 0..8u32).prop_map(|(byte, bit)| Action::Flip { byte, bit });
    let flips = prop::collection::vec((any::<prop::sample::Index>(), flip), 1..6);
    (actions(max_actions), flips).prop_map(|(mut actions, flips)| {
        for (at, flip) in flips {
            let at = at.index(actions.len());
            actions.insert(at, flip);
            actions.insert(at + 1, Action::Restart { at: BIT_FLIP_NODE });
        }
        actions
    })
}

async fn perform(group: &mut Group, action: Action) {
    let existing = |at: usize| Some(NAMES[at]).filter(|name| group.nodes.contains_key(*name));
    match action {
        Action::Propose { at, count } => {
            if existing(at).is_some() {
                (0..count).for_each(|_| group.propose_at(NAMES[at]));
            }
            propose_at_leaders(group);
        }
        Action::Read { at } => {
            if existing(at).is_some() {
                group.read_at(NAMES[at]);
            }
            for leader in leaders(group) {
                group.read_at(&leader);
            }
        }
        Action::Wait { ms } => group.run_for(Duration::from_millis(ms)).await,
        Action::Cut { from, to } => group.net.cut(NAMES[from], NAMES[to]),
        Action::Isolate { at } => group.net.isolate(NAMES[at], &names(NAMES.len())),
        Action::IsolateLeader => {
            for leader in leaders(group) {
                group.net.isolate(&leader, &names(NAMES.len()));
            }
        }
        Action::Disturb {
            loss,
            repeats,
            max_delay,
        } => group.net.set_faults(loss, repeats, max_delay),
        Action::Heal => group.net.heal(),
        Action::Crash { at } if existing(at).is_some() => group.crash(NAMES[at]).await,
        Action::CrashLeader => {
            for leader in leaders(group) {
                group.crash(&leader).await;
            }
        }
        Action::CrashAfter { at, operations } if existing(at).is_some() => {
            group.nodes[NAMES[at]].disk.power_off_after(operations);
        }
        Action::Flip { byte, bit } => {
            group.crash(NAMES[BIT_FLIP_NODE]).await;
            group.nodes[NAMES[BIT_FLIP_NODE]]
                .disk
                .flip_last_frame(byte, bit);
        }
        Action::Restart { at } if existing(at).is_some() => group.restart(NAMES[at]).await,
        Action::Add { at } => {
            if existing(at).is_none() {
                group.add(NAMES[at], &names(3)).await;
            }
            change_members(group, add_learner(NAMES[at]));
        }
        Action::Promote { at } => change_members(group, promote(NAMES[at])),
        Action::Remove { at, is_forced } => change_members(
            group,
            match is_forced {
                true => MemberChange::RemoveUnsafely {
                    name: NAMES[at].to_owned(),
                },
                false => remove(NAMES[at]),
            },
        ),
        Action::Crash { .. } | Action::CrashAfter { .. } | Action::Restart { .. } => {}
    }
}

fn leaders(group: &Group) -> Vec<String> {
    let statuses = group.running().map(replica::Replica::status);
    let leading = statuses.filter(|s| s.role == replica::Role::Leader);
    leading.map(|s| s.name).collect()
}

fn propose_at_leaders(group: &mut Group) {
    for leader in leaders(group) {
        group.propose_at(&leader);
    }
}

/// Requests a change from all leaders in the background and ignores the results.
fn change_members(group: &Group, change: MemberChange) {
    for leader in leaders(group) {
        let (replica, change) = (group.replica(&leader), change.clone());
        tokio::spawn(async move { replica.change_members(change).await });
    }
}

/// Scenarios that occurred, to verify that the random runs cover all of them.
#[derive(Default)]
struct Coverage(Mutex<BTreeSet<&'static str>>);

impl Coverage {
    async fn record(&self, group: &Group) {
        let status = group.leader().await.status();
        let has = |names: &[&str]| names.iter().any(|n| status.voters.iter().any(|v| v == n));
        let scenarios = [
            ("a commit by clients", group.checks.last_acknowledged() > 10),
            ("a later term", status.term > 3),
            ("a snapshot sent", group.net.request_count("Snapshot") > 0),
            ("a learner", !status.learners.is_empty()),
            ("a promotion", has(&["d", "e"])),
            ("a removal", !(has(&["a"]) && has(&["b"]) && has(&["c"]))),
        ];
        let covered = scenarios.into_iter().filter(|(_, is_covered)| *is_covered);
        self.0.lock().unwrap().extend(covered.map(|(name, _)| name));
    }
}

/// Runs the actions and reports violated invariants.
fn run(seed: u64, actions: Vec<Action>, coverage: &Coverage) -> Result<(), TestCaseError> {
    paused(async {
        let mut group = Group::new(seed, None);
        group.snapshot_after = 8;
        group.add_all(3).await;
        group.run_for(Duration::from_secs(2)).await;
        for action in actions {
            perform(&mut group, action).await;
        }
        group.heal_and_verify().await.map_err(TestCaseError::fail)?;
        coverage.record(&group).await;
        Ok(())
    })
}

fn runner(cases: u32, max_shrink_iters: u32) -> TestRunner {
    let config = Config {
        cases,
        max_shrink_iters,
        failure_persistence: None,
        ..Config::default()
    };
    let algorithm = config.rng_algorithm;
    TestRunner::new_with_rng(config, TestRng::from_seed(algorithm, &RNG_SEED))
}

#[test]
fn committed_entries_survive_bit_flips_in_the_last_record() {
    let coverage = Coverage::default();
    let mut runner = runner(cases(), 200);
    let strategy = (any::<u64>(), actions_with_flips(60));
    let outcome = runner.run(&strategy, |(seed, actions)| run(seed, actions, &coverage));
    if let Err(e) = outcome {
        panic!("{e}");
    }
}

fn cases() -> u32 {
    let cases = std::env::var("PROPTEST_CASES").ok();
    cases.and_then(|n| n.parse().ok()).unwrap_or(150)
}

#[test]
fn committed_entries_survive_random_faults() {
    let coverage = Coverage::default();
    let mut runner = runner(cases(), 200);
    let outcome = runner.run(&(any::<u64>(), actions(60)), |(seed, actions)| {
        run(seed, actions, &coverage)
    });
    if let Err(e) = outcome {
        panic!("{e}");
    }
    let coverage = coverage.0.into_inner().unwrap();
    assert_eq!(coverage.len(), 6, "only {coverage:?}");
}
