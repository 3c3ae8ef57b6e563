//! Property tests of the replicated table of blocked parts.

mod stamps;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use ciborium::Value;
use keeper::{BLOCK_DURATION, Block, Command, Entry, MAX_UNBLOCKED_PARTS, State};
use link::{
    decode, encode,
    keeper::{BlockedPart, KeeperReply, MAX_BLOCKED_PARTS},
};
use proptest::{collection::vec, prelude::*};
use stamps::stamp;

/// Start time of the tests, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_796_000_000_000;
const HOUR_MS: u64 = 3_600_000;
/// Length of a snapshot's fields before the length of its head, in bytes.
const SNAPSHOT_PREFIX_BYTES: usize = 24;

fn apply(state: &mut State, index: u64, now_ms: u64, command: Command) -> KeeperReply {
    let stamp = stamp(now_ms);
    let entry = encode(&Entry { stamp, command });
    decode(&state.apply(index, &entry).reply).unwrap()
}

fn block(part: u64, source: &str, age_ms: u64) -> Command {
    Command::BlockPart(BlockedPart {
        part,
        service: "llm".to_owned(),
        crashes: 3,
        endpoints: vec!["llm-1".to_owned()],
        requests: vec![format!("r-{source}")],
        source: source.to_owned(),
        age: Duration::from_millis(age_ms),
    })
}

fn unblock(part: u64) -> Command {
    Command::UnblockPart {
        part,
        author: "noura".to_owned(),
        reason: "fixed".to_owned(),
    }
}

/// Any command that does not concern the table.
fn unrelated() -> Command {
    Command::EndLease {
        name: "rollout".to_owned(),
        fencing: 1,
    }
}

/// One step of a test.
#[derive(Clone, Debug)]
enum Op {
    Block {
        part: u64,
        age_ms: u64,
    },
    Unblock {
        part: u64,
    },
    Other,
    /// Moves the next leader's clock; it may go back.
    Clock {
        step_ms: i64,
    },
}

fn op() -> impl Strategy<Value = Op> {
    let age = prop_oneof![
        Just(0),
        0..10_000_u64,
        0..30 * HOUR_MS,
        Just(BLOCK_DURATION.as_millis() as u64)
    ];
    let step = prop_oneof![
        Just(1),
        -5_000..10_000_i64,
        0..13 * HOUR_MS as i64,
        Just(12 * HOUR_MS as i64)
    ];
    prop_oneof![
        5 => (0..4_u64, age).prop_map(|(part, age_ms)| Op::Block { part, age_ms }),
        2 => (0..4_u64).prop_map(|part| Op::Unblock { part }),
        1 => Just(Op::Other),
        3 => step.prop_map(|step_ms| Op::Clock { step_ms }),
    ]
}

/// Returns the commands of `ops` with the times of their stamps.
fn commands(ops: &[Op]) -> Vec<(u64, Command)> {
    let mut now_ms = START_MS;
    let mut out = Vec::new();
    for (i, op) in ops.iter().enumerate() {
        let command = match op {
            Op::Clock { step_ms } => {
                now_ms = now_ms.saturating_add_signed(*step_ms);
                continue;
            }
            Op::Block { part, age_ms } => block(*part, &format!("gate-{i}"), *age_ms),
            Op::Unblock { part } => unblock(*part),
            Op::Other => unrelated(),
        };
        out.push((now_ms, command));
    }
    out
}

/// All decisions so far, from which the blocked parts follow regardless of the order of arrival.
#[derive(Default)]
struct Model {
    decisions: Vec<(u64, u64)>,
    unblocked: BTreeMap<u64, u64>,
}

impl Model {
    fn record(&mut self, now_ms: u64, command: &Command) {
        match command {
            Command::BlockPart(block) => {
                let decided_ms = now_ms - block.age.as_millis() as u64;
                self.decisions.push((block.part, decided_ms));
            }
            Command::UnblockPart { part, .. } => {
                self.unblocked.insert(*part, now_ms);
            }
            _ => {}
        }
    }

    fn blocked(&self, now_ms: u64) -> BTreeSet<u64> {
        let counts = |(part, decided_ms): &&(u64, u64)| {
            let is_newer = self.unblocked.get(part).is_none_or(|at| decided_ms > at);
            is_newer && now_ms - decided_ms < BLOCK_DURATION.as_millis() as u64
        };
        let counted = self.decisions.iter().filter(counts);
        counted.map(|(part, _)| *part).collect()
    }
}

/// Checks `after` and the reply against the model and the table before the command.
fn check(
    model: &Model,
    before: &State,
    after: &State,
    command: &Command,
    reply: &KeeperReply,
) -> Result<(), TestCaseError> {
    let (old, new) = (&before.blocked_parts, &after.blocked_parts);
    let blocked: BTreeSet<u64> = new.blocks().keys().copied().collect();
    prop_assert_eq!(&blocked, &model.blocked(after.clock_ms()));
    let names = |blocks: &BTreeMap<u64, Block>| -> BTreeMap<u64, String> {
        let sources = blocks.iter().map(|(part, b)| (*part, b.source.clone()));
        sources.collect()
    };
    let has_changed = names(old.blocks()) != names(new.blocks());
    prop_assert_eq!(new.version() > old.version(), has_changed);
    prop_assert!(new.version() >= old.version());
    let expected = match command {
        Command::BlockPart(block) => KeeperReply::PartBlocked {
            is_blocked: blocked.contains(&block.part),
        },
        Command::UnblockPart { part, .. } => KeeperReply::PartUnblocked {
            existed: old.blocks().get(part).is_some_and(|b| {
                after.clock_ms() - b.renewed_ms < BLOCK_DURATION.as_millis() as u64
            }),
        },
        _ => KeeperReply::LeaseEnded,
    };
    prop_assert_eq!(reply, &expected);
    // A part that stays blocked keeps the record of the first decision.
    for (part, block) in old.blocks() {
        let is_expired = after.clock_ms() - block.renewed_ms >= BLOCK_DURATION.as_millis() as u64;
        if let Some(kept) = new.blocks().get(part).filter(|_| !is_expired) {
            let renewed_ms = kept.renewed_ms;
            prop_assert!(renewed_ms >= block.renewed_ms);
            let expected = Block {
                renewed_ms,
                ..block.clone()
            };
            prop_assert_eq!(kept, &expected);
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    /// Guards against a list that depends on the order in which decisions arrive.
    #[test]
    fn the_list_follows_from_the_decisions_in_any_order(ops in vec(op(), 1..60)) {
        let (mut state, mut model) = (State::default(), Model::default());
        for (i, (now_ms, command)) in commands(&ops).into_iter().enumerate() {
            let before = state.clone();
            let reply = apply(&mut state, i as u64 + 1, now_ms, command.clone());
            model.record(state.clock_ms(), &command);
            check(&model, &before, &state, &command, &reply)?;
        }
    }

    /// Guards against blocks that are lost or changed by a snapshot.
    #[test]
    fn a_restored_table_behaves_like_the_original(ops in vec(op(), 1..60), cut in 0..60_usize) {
        let commands = commands(&ops);
        let cut = cut.min(commands.len());
        let mut state = State::default();
        for (i, (now_ms, command)) in commands[..cut].iter().enumerate() {
            apply(&mut state, i as u64 + 1, *now_ms, command.clone());
        }
        let mut restored = State::restore(&state.snapshot()).unwrap();
        prop_assert_eq!(&restored, &state);
        for (i, (now_ms, command)) in commands.iter().enumerate().skip(cut) {
            let reply = apply(&mut state, i as u64 + 1, *now_ms, command.clone());
            prop_assert_eq!(apply(&mut restored, i as u64 + 1, *now_ms, command.clone()), reply);
        }
        prop_assert_eq!(restored.digest(), state.digest());
        prop_assert_eq!(restored.snapshot(), state.snapshot());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, ..ProptestConfig::default() })]

    /// Guards against a table that grows without bound, or that keeps old blocks rather than new.
    #[test]
    fn the_newest_blocks_stay_in_a_full_table(ages in vec(0..1_000_u64, 257..400)) {
        let mut state = State::default();
        let mut now_ms = START_MS;
        for (part, age_ms) in ages.iter().enumerate() {
            now_ms += 2_000;
            let i = part as u64;
            apply(&mut state, i + 1, now_ms, block(i, "gate", *age_ms));
            prop_assert!(state.blocked_parts.blocks().len() <= MAX_BLOCKED_PARTS);
        }
        let oldest = (ages.len() - MAX_BLOCKED_PARTS) as u64;
        let kept: Vec<u64> = state.blocked_parts.blocks().keys().copied().collect();
        prop_assert_eq!(kept, (oldest..ages.len() as u64).collect::<Vec<_>>());
        prop_assert_eq!(state.blocked_parts.version(), ages.len() as u64 + oldest);
    }
}

/// Guards against a block that begins or ends without a line in the log.
#[test]
fn each_change_of_the_list_is_an_event() {
    let day_ms = BLOCK_DURATION.as_millis() as u64;
    let steps = [
        (0, block(1, "gate-a", 0)),
        (1, block(1, "gate-b", 0)),
        (2, unblock(1)),
        (3, block(1, "gate-c", 2_000)),
        (4, block(1, "gate-c", 0)),
        (day_ms + 4, unrelated()),
        (day_ms + 5, unblock(1)),
    ];
    let mut state = State::default();
    let mut lines = Vec::new();
    for (i, (after_ms, command)) in steps.into_iter().enumerate() {
        let entry = encode(&Entry {
            stamp: stamp(START_MS + after_ms),
            command,
        });
        for event in state.apply(i as u64 + 1, &entry).events {
            let value = serde_json::to_value(&event).unwrap();
            lines.push((after_ms, value));
        }
    }
    let line = |is_blocked, service, author, why| {
        serde_json::json!({
            "kind": "part_block_changed",
            "part": "0000000000000001",
            "is_blocked": is_blocked,
            "service": service,
            "author": author,
            "why": why,
        })
    };
    let (llm, crashes) = (Some("llm"), "3 crashes: llm-1");
    let expected = [
        (0, line(true, llm, Some("gate-a"), crashes)),
        (2, line(false, llm, Some("noura"), "fixed")),
        (4, line(true, llm, Some("gate-c"), crashes)),
        (day_ms + 4, line(false, llm, None, "expired")),
        (day_ms + 5, line(false, None, Some("noura"), "fixed")),
    ];
    assert_eq!(lines, expected);
}

/// Guards against unblocks that pile up, or of which the newest is forgotten.
#[test]
fn the_newest_unblocks_are_remembered() {
    let mut state = State::default();
    let parts = MAX_UNBLOCKED_PARTS as u64 + 8;
    // Downwards, so that the order of the parts is not that of the times.
    for i in (0..parts).rev() {
        apply(&mut state, parts - i, START_MS + parts - i, unblock(i));
    }
    let kept: Vec<u64> = state.blocked_parts.unblocks().keys().copied().collect();
    assert_eq!(kept, (0..MAX_UNBLOCKED_PARTS as u64).collect::<Vec<_>>());
    let unblock = &state.blocked_parts.unblocks()[&0];
    assert_eq!(
        (unblock.author.as_str(), unblock.reason.as_str()),
        ("noura", "fixed")
    );
}

/// Guards against a table whose bounds allow more bytes than the documentation says.
#[test]
fn a_full_table_fits_in_the_documented_size() {
    const MAX_NAME_BYTES: usize = 256;
    const DOCUMENTED_BYTES: usize = 2 << 20;
    let mut state = State::default();
    let empty = state.snapshot().len();
    let name = "n".repeat(MAX_NAME_BYTES);
    for part in 0..MAX_BLOCKED_PARTS as u64 {
        let command = Command::BlockPart(BlockedPart {
            part: u64::MAX - part,
            service: name.clone(),
            crashes: u32::MAX,
            endpoints: vec![name.clone(); 8],
            requests: vec![name.clone(); 8],
            source: name.clone(),
            age: Duration::ZERO,
        });
        apply(&mut state, part + 1, START_MS, command);
    }
    let size = state.snapshot().len() - empty;
    println!("{size} bytes");
    assert!(size <= DOCUMENTED_BYTES, "{size}");
}

/// Returns `snapshot` without the field `key` of its head, as versions before that field wrote it.
fn without_field(snapshot: &[u8], key: &str) -> Vec<u8> {
    let (prefix, rest) = snapshot.split_at(SNAPSHOT_PREFIX_BYTES);
    let (len, rest) = rest.split_first_chunk().unwrap();
    let (head, ledger) = rest.split_at(u32::from_be_bytes(*len) as usize);
    let Value::Map(mut fields) = ciborium::from_reader(head).unwrap() else {
        panic!("the head of a snapshot is a map");
    };
    let before = fields.len();
    fields.retain(|(name, _)| name.as_text() != Some(key));
    assert_eq!(fields.len(), before - 1);
    let head = encode(&Value::Map(fields));
    let len = (head.len() as u32).to_be_bytes();
    [prefix, &len, &head, ledger].concat()
}

/// Guards against keepers that can't read what the version before blocked parts wrote.
#[test]
fn snapshots_and_entries_of_versions_without_the_table_are_read() {
    // `Entry { stamp, command: EndLease { name: "a", fencing: 1 } }`.
    const OLD_ENTRY: &str = "a26173a6616e1b000001a229f12800617219ea60617319138861671903e8616b1903e8\
        616f1a001000006163a168456e644c65617365a2646e616d6561616766656e63696e6701";
    let bytes: Vec<u8> = (0..OLD_ENTRY.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&OLD_ENTRY[i..i + 2], 16).unwrap())
        .collect();
    let mut state = State::default();
    let reply: KeeperReply = decode(&state.apply(1, &bytes).reply).unwrap();
    assert_eq!(reply, KeeperReply::LeaseEnded);
    let old = without_field(&state.snapshot(), "blocked_parts");
    let mut restored = State::restore(&old).unwrap();
    assert_eq!(restored, state);
    let reply = apply(&mut restored, 2, START_MS, block(7, "gate", 0));
    assert_eq!(reply, KeeperReply::PartBlocked { is_blocked: true });
}
