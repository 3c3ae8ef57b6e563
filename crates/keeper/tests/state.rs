//! Property tests of the replicated state, over any order of entries, retries and leaders' clocks.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use declaration::{Change, SectionChange, SectionId, SectionText};
use keeper::{
    Command, DIGEST_BYTES, Entry, GrantIntent, LeaseClock, LeaseView, Leases, Stamp, State,
};
use link::{
    decode, encode,
    keeper::{
        ChangeReply, IntentReply, KeeperReply, LeaseReply, LeaseRequest, LedgerEntry, Output,
        Settle, Settlement,
    },
};
use proptest::{collection::vec, prelude::*};
use uuid::Uuid;

/// Start time of the tests, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_796_000_000_000;
const RETENTION_MS: u64 = 60_000;
const SKEW_MS: u64 = 5_000;
const GRACE_MS: u64 = 1_000;

fn stamp(now_ms: u64) -> Stamp {
    Stamp {
        now_ms,
        retention_ms: RETENTION_MS,
        skew_ms: SKEW_MS,
        grace_ms: GRACE_MS,
        max_keys: 1_000,
        max_total_output_bytes: 1 << 20,
        max_history_bytes: 64 << 20,
    }
}

fn key(n: u8, at_ms: u64) -> Uuid {
    Uuid::from_u128(u128::from(at_ms) << 80 | 7 << 76 | 2 << 62 | u128::from(n))
}

/// One step of a test.
#[derive(Clone, Debug)]
enum Op {
    Intent {
        key: u8,
        attempt: u8,
        digest: u8,
    },
    Settle {
        key: u8,
        attempt: u8,
        outcome: u8,
    },
    Change {
        id: u8,
        base: u64,
        section: u8,
        value: u8,
    },
    /// Sets the next leader's clock, relative to the start; it may go back.
    Clock {
        at_ms: u64,
    },
}

fn op() -> impl Strategy<Value = Op> {
    let small = 0..4_u8;
    prop_oneof![
        4 => (small.clone(), 0..6_u8, 0..2_u8)
            .prop_map(|(key, attempt, digest)| Op::Intent { key, attempt, digest }),
        4 => (small.clone(), 0..6_u8, 0..4_u8)
            .prop_map(|(key, attempt, outcome)| Op::Settle { key, attempt, outcome }),
        2 => (0..20_u8, 0..8_u64, small, 0..3_u8)
            .prop_map(|(id, base, section, value)| Op::Change { id, base, section, value }),
        1 => (0..100_000_u64).prop_map(|at_ms| Op::Clock { at_ms }),
    ]
}

fn settlement(outcome: u8) -> Settlement {
    match outcome {
        0 => Settlement::Released,
        1 => Settlement::Completed(Output::Whole(b"booked".to_vec())),
        2 => Settlement::Refused {
            status: 409,
            detail: "taken".to_owned(),
        },
        _ => Settlement::Unknown,
    }
}

fn change(id: u8, base: u64, section: u8, value: u8) -> Change {
    let entries = [("region".to_owned(), format!("r{value}"))].into();
    let text = SectionText {
        entries,
        comments: Vec::new(),
    };
    Change {
        change: Uuid::from_u128(u128::from(id)),
        base_revision: base,
        author: "tester".to_owned(),
        reason: "test".to_owned(),
        sections: vec![SectionChange {
            id: SectionId {
                kind: "availability-zone".to_owned(),
                name: format!("az-{section}"),
            },
            after: (value > 0).then_some(text),
        }],
    }
}

fn command(op: &Op) -> Option<Command> {
    Some(match op {
        Op::Intent {
            key: n,
            attempt,
            digest,
        } => Command::Intent(GrantIntent {
            key: key(*n, START_MS + u64::from(*n) * 10_000),
            digest: [*digest; DIGEST_BYTES],
            attempt: Uuid::from_u128(u128::from(*attempt)),
            expires_ms: 2_000,
        }),
        Op::Settle {
            key: n,
            attempt,
            outcome,
        } => Command::Settle(Settle {
            key: key(*n, START_MS + u64::from(*n) * 10_000),
            attempt: Uuid::from_u128(u128::from(*attempt)),
            settlement: settlement(*outcome),
        }),
        Op::Change {
            id,
            base,
            section,
            value,
        } => Command::Change(change(*id, *base, *section, *value)),
        Op::Clock { .. } => return None,
    })
}

/// Returns the commands of `ops` with their encoded entries.
fn entries(ops: &[Op]) -> Vec<(Command, Vec<u8>)> {
    let mut now_ms = START_MS;
    let mut out = Vec::new();
    for op in ops {
        match (op, command(op)) {
            (Op::Clock { at_ms }, _) => now_ms = START_MS + at_ms,
            (_, Some(command)) => {
                let entry = Entry {
                    stamp: stamp(now_ms),
                    command: command.clone(),
                };
                out.push((command, encode(&entry)));
            }
            _ => {}
        }
    }
    out
}

fn apply(state: &mut State, index: usize, bytes: &[u8]) -> KeeperReply {
    decode(&state.apply(index as u64 + 1, bytes).reply).unwrap()
}

/// Tracks from the replies alone who may have run a call.
#[derive(Default)]
struct Checker {
    /// The attempt that was granted each key and has not released it.
    holders: HashMap<Uuid, Uuid>,
    released: HashMap<Uuid, Uuid>,
    revision: u64,
    changes: HashMap<Uuid, u64>,
}

impl Checker {
    fn check(&mut self, command: &Command, reply: &KeeperReply) -> Result<(), String> {
        match (command, reply) {
            (Command::Intent(intent), KeeperReply::Intent(IntentReply::Granted)) => {
                if self.released.get(&intent.key) == Some(&intent.attempt) {
                    return Err(format!("granted again after its release: {intent:?}"));
                }
                let holder = *self.holders.entry(intent.key).or_insert(intent.attempt);
                if holder != intent.attempt {
                    return Err(format!("granted to {holder} and to {}", intent.attempt));
                }
            }
            (Command::Settle(settle), KeeperReply::Settled)
                if settle.settlement == Settlement::Released =>
            {
                if self.holders.get(&settle.key) == Some(&settle.attempt) {
                    self.holders.remove(&settle.key);
                }
                self.released.insert(settle.key, settle.attempt);
            }
            (
                Command::Change(change),
                KeeperReply::Change(ChangeReply::Accepted { revision, applied }),
            ) => {
                if *applied && *revision != self.revision + 1 {
                    return Err(format!("revision {revision} after {}", self.revision));
                }
                if *applied && self.changes.insert(change.change, *revision).is_some() {
                    return Err(format!("change {} applied twice", change.change));
                }
                self.revision = self.revision.max(*revision);
            }
            _ => {}
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn no_key_is_granted_twice_and_no_change_applied_twice(ops in vec(op(), 1..60)) {
        let mut state = State::default();
        let mut checker = Checker::default();
        for (i, (command, bytes)) in entries(&ops).iter().enumerate() {
            let before = (state.declaration_revision(), state.clock_ms());
            let reply = apply(&mut state, i, bytes);
            prop_assert!(state.declaration_revision() >= before.0);
            prop_assert!(state.clock_ms() >= before.1);
            checker.check(command, &reply).map_err(TestCaseError::fail)?;
        }
        prop_assert_eq!(state.declaration_revision(), checker.revision);
    }

    #[test]
    fn a_restored_snapshot_behaves_like_the_original_state(
        ops in vec(op(), 1..60),
        cut in 0..60_usize,
    ) {
        let entries = entries(&ops);
        let cut = cut.min(entries.len());
        let mut state = State::default();
        for (i, (_, bytes)) in entries[..cut].iter().enumerate() {
            apply(&mut state, i, bytes);
        }
        let mut restored = State::restore(&state.snapshot()).unwrap();
        prop_assert_eq!(&restored, &state);
        for (i, (_, bytes)) in entries.iter().enumerate().skip(cut) {
            let reply = apply(&mut state, i, bytes);
            prop_assert_eq!(apply(&mut restored, i, bytes), reply);
        }
        prop_assert_eq!(restored.digest(), state.digest());
        prop_assert_eq!(restored.snapshot(), state.snapshot());
    }

    #[test]
    fn different_entries_give_different_digests(ops in vec(op(), 2..30), at in 0..30_usize) {
        let entries = entries(&ops);
        prop_assume!(!entries.is_empty());
        let skipped = at % entries.len();
        let (mut whole, mut incomplete) = (State::default(), State::default());
        for (i, (_, bytes)) in entries.iter().enumerate() {
            apply(&mut whole, i, bytes);
            if i != skipped {
                apply(&mut incomplete, i, bytes);
            }
        }
        prop_assert_ne!(whole.digest(), incomplete.digest());
    }

    #[test]
    fn no_bytes_panic_the_state(bytes in vec(any::<u8>(), 0..200)) {
        let mut state = State::default();
        state.apply(1, &bytes);
        let _ = State::restore(&bytes);
    }
}

/// The checker must detect a ledger that drops an unsettled intent when it expires.
#[test]
fn the_checker_detects_a_ledger_that_drops_an_expired_intent() {
    let ops = [
        Op::Intent {
            key: 0,
            attempt: 1,
            digest: 0,
        },
        Op::Clock { at_ms: 30_000 },
        Op::Intent {
            key: 0,
            attempt: 2,
            digest: 0,
        },
    ];
    let entries = entries(&ops);
    let mut checker = Checker::default();
    let first = apply(&mut State::default(), 0, &entries[0].1);
    checker.check(&entries[0].0, &first).unwrap();
    // Simulates the fault by applying the second intent to an empty state.
    let second = apply(&mut State::default(), 1, &entries[1].1);
    assert_eq!(second, KeeperReply::Intent(IntentReply::Granted));
    assert!(checker.check(&entries[1].0, &second).is_err());
}

#[test]
fn an_expired_intent_is_reported_as_unknown_and_its_late_result_is_recorded() {
    let mut state = State::default();
    let ops = [
        Op::Intent {
            key: 0,
            attempt: 1,
            digest: 0,
        },
        Op::Clock { at_ms: 2_500 },
        Op::Intent {
            key: 0,
            attempt: 2,
            digest: 0,
        },
        Op::Intent {
            key: 0,
            attempt: 1,
            digest: 0,
        },
        Op::Clock { at_ms: 4_000 },
        Op::Intent {
            key: 0,
            attempt: 2,
            digest: 0,
        },
        Op::Settle {
            key: 0,
            attempt: 1,
            outcome: 1,
        },
        Op::Intent {
            key: 0,
            attempt: 2,
            digest: 0,
        },
        Op::Settle {
            key: 0,
            attempt: 1,
            outcome: 0,
        },
    ];
    let entries = entries(&ops);
    let replies = entries.iter().enumerate();
    let replies: Vec<KeeperReply> = replies.map(|(i, e)| apply(&mut state, i, &e.1)).collect();
    let unknown = KeeperReply::Intent(IntentReply::Settled(Settlement::Unknown));
    let booked = KeeperReply::Intent(IntentReply::Settled(settlement(1)));
    assert_eq!(replies[0], KeeperReply::Intent(IntentReply::Granted));
    assert_eq!(replies[1], KeeperReply::Intent(IntentReply::InProgress));
    // The attempt that has the key may no longer send.
    assert_eq!(replies[2], unknown);
    assert_eq!(replies[3], unknown);
    assert_eq!(replies[4], KeeperReply::Settled);
    assert_eq!(replies[5], booked);
    assert!(matches!(replies[6], KeeperReply::Invalid(_)));
    let entry = state.ledger.lookup(START_MS, GRACE_MS, key(0, START_MS));
    assert_eq!(entry, LedgerEntry::Settled(settlement(1)));
}

#[test]
fn a_pruned_key_stays_too_old() {
    let mut state = State::default();
    let ops = [
        Op::Intent {
            key: 0,
            attempt: 1,
            digest: 0,
        },
        Op::Clock {
            at_ms: RETENTION_MS + 1,
        },
        Op::Intent {
            key: 1,
            attempt: 1,
            digest: 0,
        },
        // The next leader's clock is behind.
        Op::Clock { at_ms: 0 },
        Op::Intent {
            key: 0,
            attempt: 2,
            digest: 0,
        },
    ];
    let replies = entries(&ops);
    let replies = replies.iter().enumerate();
    let replies: Vec<KeeperReply> = replies.map(|(i, e)| apply(&mut state, i, &e.1)).collect();
    assert_eq!(state.ledger.len(), 1);
    assert_eq!(replies[2], KeeperReply::Intent(IntentReply::TooOld));
}

/// One step of a test of two keepers that track one lease by their own drifting monotonic clocks.
#[derive(Clone, Debug)]
enum LeaseOp {
    /// Advances real time.
    Advance { ms: u64 },
    /// A holder requests the lease from the current leader.
    Request { holder: u8 },
    /// The other keeper becomes leader with the same applied state.
    ChangeLeader,
    /// The leading keeper restarts from its snapshot.
    Restart,
}

fn lease_op() -> impl Strategy<Value = LeaseOp> {
    prop_oneof![
        4 => (0..800_u64).prop_map(|ms| LeaseOp::Advance { ms }),
        6 => (0..3_u8).prop_map(|holder| LeaseOp::Request { holder }),
        1 => Just(LeaseOp::ChangeLeader),
        1 => Just(LeaseOp::Restart),
    ]
}

const LEASE_DURATION: Duration = Duration::from_secs(1);

/// Runs `ops` and returns the first violation; `lease_view` can be replaced by a faulty one.
fn lease_overlap(
    ops: &[LeaseOp],
    lease_view: impl Fn(&LeaseClock, &Leases, Duration) -> LeaseView,
) -> Option<String> {
    const NAME: &str = "controller/a";
    // Keeper 1 runs 1 % fast and keeper 0 1 % slow; holders run exactly.
    let local = |keeper: usize, real: u64| Duration::from_micros(real * [990, 1_010][keeper]);
    let mut leases = Leases::default();
    let mut clocks = [LeaseClock::default(), LeaseClock::default()];
    let (mut real, mut leader) = (0_u64, 0_usize);
    // When each holder's lease ends, by its own clock, and its fencing token.
    let mut until: BTreeMap<u8, (u64, u64)> = BTreeMap::new();
    for (i, op) in ops.iter().enumerate() {
        match op {
            LeaseOp::Advance { ms } => real += ms,
            LeaseOp::ChangeLeader => leader = 1 - leader,
            LeaseOp::Restart => clocks[leader].reset(&leases, local(leader, real)),
            LeaseOp::Request { holder } => {
                let view = lease_view(&clocks[leader], &leases, local(leader, real));
                let req = LeaseRequest {
                    name: NAME.to_owned(),
                    holder: Uuid::from_u128(u128::from(*holder)),
                    vm: format!("vm-{holder}"),
                    duration: LEASE_DURATION,
                };
                let reply = leases.request(i as u64 + 1, &req, &view).unwrap();
                for (keeper, clock) in clocks.iter_mut().enumerate() {
                    clock.observe(&leases, NAME, local(keeper, real));
                }
                let LeaseReply::Granted { fencing, .. } = reply else {
                    continue;
                };
                for (other, (end, number)) in &until {
                    if other != holder && *end > real {
                        return Some(format!(
                            "{holder} got it at {real}, {other} has it to {end}"
                        ));
                    }
                    if other != holder && *number >= fencing {
                        return Some(format!("number {fencing} after {number}"));
                    }
                }
                until.insert(*holder, (real + LEASE_DURATION.as_millis() as u64, fencing));
            }
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn lease_holders_never_overlap(ops in vec(lease_op(), 1..80)) {
        let overlap = lease_overlap(&ops, |clock, leases, now| {
            clock.view(leases, "controller/a", now)
        });
        prop_assert_eq!(overlap, None);
    }
}

/// The check must detect a leader that treats every lease as expired.
#[test]
fn the_lease_check_detects_a_leader_that_does_not_wait() {
    let ops = [
        LeaseOp::Request { holder: 0 },
        LeaseOp::Request { holder: 1 },
    ];
    let overlap = lease_overlap(&ops, |_, _, _| LeaseView {
        expired: Some(1),
        remaining_ms: 0,
    });
    assert!(overlap.is_some());
}
