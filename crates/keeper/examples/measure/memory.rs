//! Memory of the state by its size, and the time of its snapshots.

use std::time::Instant;

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
        max_output_bytes: u64::MAX,
    };
    link::encode(&Entry { stamp, command })
}

/// Grants and settles `n` keys that come in the order of their time, a thousand a second.
pub fn ledger(n: usize) {
    let mut state = State::default();
    let before = resident_bytes();
    let start = Instant::now();
    for i in 0..n as u64 {
        let now_ms = START_MS + i;
        let random = Uuid::new_v4().as_u128() & ((1 << 62) - 1);
        let key = Uuid::from_u128(u128::from(now_ms) << 80 | 7 << 76 | 2 << 62 | random);
        let attempt = Uuid::new_v4();
        let intent = Command::Intent(GrantIntent {
            key,
            digest: [1; DIGEST_BYTES],
            attempt,
            expires_ms: 10_000,
        });
        state.apply(2 * i + 1, &entry(now_ms, intent));
        let settle = Command::Settle(Settle {
            key,
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
}

/// Declares `n` workspaces.
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
    assert_eq!(state.declared_revision(), 1);
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
