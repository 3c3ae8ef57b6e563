//! Memory use of the state, and the time to encode and restore its snapshots.

use std::{thread, time::Instant};

use declaration::{Change, Declaration, SectionChange};
use keeper::{Command, DIGEST_BYTES, Entry, GrantIntent, Stamp, State};
use link::keeper::{Output, Settle, Settlement};
use uuid::Uuid;

use crate::group::{document, resident_bytes};

const START_MS: u64 = 1_796_000_000_000;
const OUTPUT_BYTES: usize = 100;

fn entry(now_ms: u64, command: Command) -> Vec<u8> {
    let stamp = Stamp {
        now_ms,
        retention_ms: 24 * 3_600 * 1_000,
        skew_ms: 60_000,
        grace_ms: 60_000,
        max_keys: u64::MAX,
        max_total_output_bytes: u64::MAX,
        max_history_bytes: 64 << 20,
    };
    link::encode(&Entry { stamp, command })
}

/// Returns the key of the `i`th booking.
fn key(i: u64) -> Uuid {
    let random = i.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 2;
    let time = u128::from(START_MS + i) << 80;
    Uuid::from_u128(time | 7 << 76 | 2 << 62 | u128::from(random))
}

fn grant(i: u64, attempt: Uuid) -> Vec<u8> {
    let intent = Command::Intent(GrantIntent {
        key: key(i),
        digest: [1; DIGEST_BYTES],
        attempt,
        expires_ms: 10_000,
    });
    entry(START_MS + i, intent)
}

/// Grants and settles `n` keys in timestamp order, one per millisecond.
pub fn ledger(n: usize) {
    let mut state = State::default();
    let before = resident_bytes();
    let start = Instant::now();
    for i in 0..n as u64 {
        let now_ms = START_MS + i;
        let attempt = Uuid::new_v4();
        state.apply(2 * i + 1, &grant(i, attempt));
        let settle = Command::Settle(Settle {
            key: key(i),
            attempt,
            settlement: Settlement::Completed(Output::Whole(vec![b'x'; OUTPUT_BYTES])),
        });
        state.apply(2 * i + 2, &entry(now_ms, settle));
    }
    let applied = start.elapsed();
    let bytes = resident_bytes() - before;
    assert_eq!(state.ledger.len(), n);
    println!("keys {n}, outputs of {OUTPUT_BYTES} bytes");
    println!(
        "resident: {bytes} bytes, {:.0} a key",
        bytes as f64 / n as f64
    );
    println!(
        "entries applied a second: {:.0}",
        2.0 * n as f64 / applied.as_secs_f64()
    );
    snapshot(&state);
    apply_during_snapshot(state, n as u64);
}

/// Applies new bookings, and retries of old ones across the ledger, while a clone of the state is
/// encoded; the longest step is the longest pause of the applying task.
fn apply_during_snapshot(mut state: State, n: u64) {
    let before = resident_bytes();
    let start = Instant::now();
    let clone = state.clone();
    let clone_time = start.elapsed();
    let encoding = thread::spawn(move || clone.snapshot().len());
    let (mut steps, mut count) = (Vec::new(), 0);
    let start = Instant::now();
    while !encoding.is_finished() {
        let i = match count % 2 {
            0 => n + count,
            _ => count.wrapping_mul(0x9e37_79b9) % n,
        };
        let bytes = grant(i, Uuid::nil());
        let step = Instant::now();
        state.apply(2 * n + count, &bytes);
        steps.push(step.elapsed());
        count += 1;
    }
    let elapsed = start.elapsed();
    steps.sort_unstable();
    let longest = steps.last().copied().unwrap_or_default();
    let p999 = steps
        .get(steps.len() * 999 / 1_000)
        .copied()
        .unwrap_or_default();
    println!(
        "view taken in {clone_time:?}, encoded in {elapsed:?}; meanwhile {count} entries applied, longest \
         step {longest:?}, p99.9 {p999:?}, {:.0} a second, resident at most {} bytes more",
        count as f64 / elapsed.as_secs_f64(),
        resident_bytes().saturating_sub(before),
    );
}

/// Measures a declaration of `n` workspaces.
pub fn workspaces(n: usize) {
    let document = document(n);
    let mut state = State::default();
    let before = resident_bytes();
    let sections = document.sections.iter().map(|(id, text)| SectionChange {
        id: id.clone(),
        after: Some(text.clone()),
    });
    let change = Command::Change(Change {
        change: Uuid::now_v7(),
        base_revision: 0,
        author: "measure".to_owned(),
        reason: "measure".to_owned(),
        sections: sections.collect(),
    });
    let bytes = entry(START_MS, change);
    let start = Instant::now();
    state.apply(1, &bytes);
    let applied = start.elapsed();
    let resident = resident_bytes() - before;
    assert_eq!(state.declaration_revision(), 1);
    println!(
        "workspaces {n}: entry {} bytes, applied in {applied:?}",
        bytes.len()
    );
    println!(
        "resident: {resident} bytes, {:.0} a workspace",
        resident as f64 / n as f64
    );
    let start = Instant::now();
    Declaration::from_document(&document).unwrap();
    println!("document checked in {:?}", start.elapsed());
    let start = Instant::now();
    let clone = state.clone();
    println!("view taken in {:?}", start.elapsed());
    drop(clone);
    snapshot(&state);
}

fn snapshot(state: &State) {
    let start = Instant::now();
    let snapshot = state.snapshot();
    println!(
        "snapshot: {} bytes in {:?}",
        snapshot.len(),
        start.elapsed()
    );
    let start = Instant::now();
    let restored = State::restore(&snapshot).unwrap();
    println!("restored in {:?}", start.elapsed());
    assert_eq!(restored.digest(), state.digest());
}
