use std::time::Duration;

use link::keeper::{BlockedPart, MAX_BLOCKED_PARTS};
use proptest::prelude::*;
use tokio::time::Instant;

use super::{BLOCK_DURATION, BlockList, Change, MAX_WITHDRAWALS, PROPOSAL_DELAY};

fn block(part: u64, age: Duration) -> BlockedPart {
    BlockedPart {
        part,
        service: "chat".to_owned(),
        crashes: 3,
        endpoints: vec!["e-1".to_owned()],
        requests: vec!["r-1".to_owned()],
        source: "gate-1".to_owned(),
        age,
    }
}

fn parts(list: &BlockList) -> Vec<u64> {
    let mut parts: Vec<u64> = list.in_force().into_keys().collect();
    parts.sort_unstable();
    parts
}

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a block that the keepers never hear of, and against one that all gates propose at
/// once.
#[test]
fn a_block_is_proposed_until_the_keepers_have_it() {
    let now = Instant::now();
    let (mut own, mut told) = (BlockList::default(), BlockList::default());
    own.decide(block(1, Duration::ZERO), now);
    told.hear(block(1, Duration::ZERO), now);
    assert_eq!(own.proposals(now).len(), 1);
    assert_eq!(own.proposals(now + SECOND)[0].age, SECOND);
    assert!(told.proposals(now).is_empty());
    assert_eq!(told.proposals(now + PROPOSAL_DELAY).len(), 1);
    own.record_reply(1, true, now, now);
    assert!(own.proposals(now + SECOND).is_empty());
    assert_eq!(parts(&own), [1]);
}

/// Guards against a proposal that brings back a block that an operator took back after its decision.
#[test]
fn a_block_that_was_taken_back_since_its_decision_ends() {
    let now = Instant::now();
    let mut list = BlockList::default();
    list.decide(block(1, Duration::ZERO), now);
    list.record_reply(1, false, now + SECOND, now + SECOND);
    assert!(parts(&list).is_empty());
    list.hear(block(1, 2 * SECOND), now + 2 * SECOND);
    assert!(parts(&list).is_empty());
    list.decide(block(1, Duration::ZERO), now + 3 * SECOND);
    assert_eq!(parts(&list), [1]);
}

/// Guards against a gate that goes on with blocks that the keepers ended, or that drops one that was
/// stored after the list was requested.
#[test]
fn the_keepers_list_replaces_only_what_they_had() {
    let now = Instant::now();
    let mut list = BlockList::default();
    let keepers = vec![block(1, SECOND), block(2, SECOND)];
    list.apply_keepers_list(2, keepers, now, now);
    list.decide(block(3, Duration::ZERO), now);
    list.decide(block(4, Duration::ZERO), now);
    list.record_reply(4, true, now, now + 2 * SECOND);
    assert_eq!(parts(&list), [1, 2, 3, 4]);
    list.apply_keepers_list(3, vec![block(2, SECOND)], now + SECOND, now + 2 * SECOND);
    assert_eq!(parts(&list), [2, 3, 4]);
    assert_eq!(list.version(), 3);
    let ended = Change::Unblocked {
        part: 1,
        why: "the keepers no longer list it",
    };
    assert!(list.take_changes().contains(&ended));
}

/// Guards against keepers that lost their disks ending all blocks.
#[test]
fn blocks_are_proposed_again_to_keepers_that_lost_their_list() {
    let now = Instant::now();
    let mut list = BlockList::default();
    list.apply_keepers_list(5, vec![block(1, SECOND)], now, now);
    assert!(list.proposals(now + SECOND).is_empty());
    list.apply_keepers_list(0, Vec::new(), now + SECOND, now + SECOND);
    assert_eq!(parts(&list), [1]);
    assert_eq!(list.proposals(now + SECOND).len(), 1);
}

/// Guards against blocks without end and lists without bound.
#[test]
fn blocks_end_and_the_list_is_bounded() {
    let now = Instant::now();
    let mut list = BlockList::default();
    let count = MAX_BLOCKED_PARTS as u64 + 1;
    for part in 0..count {
        list.decide(block(part, Duration::ZERO), now + SECOND * part as u32);
    }
    assert_eq!(parts(&list).len(), MAX_BLOCKED_PARTS);
    assert!(!parts(&list).contains(&0));
    for part in 0..count {
        list.withdraw(part, now, false, "test");
    }
    assert_eq!(list.view(now).withdrawn.len(), MAX_WITHDRAWALS);
    list.expire(now + BLOCK_DURATION + SECOND);
    assert!(!parts(&list).contains(&1));
    list.expire(now + BLOCK_DURATION + SECOND * count as u32);
    assert!(parts(&list).is_empty());
}

/// Something that happens at one of the gates.
#[derive(Clone, Copy, Debug)]
enum Step {
    Decide { gate: usize, part: u64 },
    Withdraw { gate: usize, part: u64 },
    Compare { gate: usize, other: usize },
}

const GATES: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    let (gate, part) = (0..GATES, 0..3_u64);
    prop_oneof![
        (gate.clone(), part.clone()).prop_map(|(gate, part)| Step::Decide { gate, part }),
        (gate.clone(), part).prop_map(|(gate, part)| Step::Withdraw { gate, part }),
        (gate.clone(), gate).prop_map(|(gate, other)| Step::Compare { gate, other }),
    ]
}

fn compare(gates: &mut [BlockList], gate: usize, other: usize, now: Instant) {
    let view = gates[other].view(now);
    gates[gate].merge(view, now);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against gates that disagree on a part for ever, and against a block that comes back
    /// after it was taken back.
    #[test]
    fn of_a_block_and_a_withdrawal_the_later_one_counts(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut now = Instant::now();
        let mut gates: Vec<BlockList> = (0..GATES).map(|_| BlockList::default()).collect();
        let mut last_withdrawn = [None; 3];
        let mut last_decided = [None; 3];
        for step in steps {
            now += SECOND;
            match step {
                Step::Decide { gate, part } => {
                    gates[gate].decide(block(part, Duration::ZERO), now);
                    // A gate that knows the block decides nothing new.
                    let decided = gates[gate].view(now).blocked.into_iter().find(|b| b.part == part);
                    let decided = decided.map(|b| now - b.age);
                    last_decided[part as usize] = last_decided[part as usize].max(decided);
                }
                Step::Withdraw { gate, part } => {
                    gates[gate].withdraw(part, now, true, "test");
                    last_withdrawn[part as usize] = Some(now);
                }
                Step::Compare { gate, other } => compare(&mut gates, gate, other, now),
            }
        }
        for _ in 0..GATES {
            for gate in 0..GATES {
                compare(&mut gates, gate, (gate + 1) % GATES, now);
            }
        }
        let expected: Vec<u64> = (0..3)
            .filter(|part| last_decided[*part as usize] > last_withdrawn[*part as usize])
            .collect();
        for gate in &gates {
            prop_assert_eq!(&parts(gate), &expected);
        }
    }
}
