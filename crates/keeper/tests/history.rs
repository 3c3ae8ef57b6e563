//! The bound of the audit trail.

mod stamps;

use declaration::{Change, SectionChange, SectionId, SectionText};
use keeper::{Command, Entry, State};
use link::keeper::{ChangeReply, KeeperReply};
use stamps::stamp;
use uuid::Uuid;

const MAX_BYTES: u64 = 100_000;
const CHANGES: u64 = 50;

/// Returns the change that makes `revision`: a zone with a large comment.
fn change(revision: u64) -> Change {
    let entries = [("region".to_owned(), format!("region-{revision}"))];
    let text = SectionText {
        entries: entries.into(),
        comments: vec!["c".repeat(5_000)],
    };
    Change {
        change: Uuid::from_u128(u128::from(revision)),
        base_revision: revision - 1,
        author: "ana".to_owned(),
        reason: "another region".to_owned(),
        sections: vec![SectionChange {
            id: SectionId {
                kind: "availability-zone".to_owned(),
                name: "rockland".to_owned(),
            },
            after: Some(text),
        }],
    }
}

fn apply(state: &mut State, index: u64, change: Change, max_bytes: u64) -> KeeperReply {
    let entry = Entry {
        stamp: keeper::Stamp {
            max_history_bytes: max_bytes,
            ..stamp(1_796_000_000_000)
        },
        command: Command::Change(change),
    };
    link::decode(&state.apply(index, &link::encode(&entry)).reply).unwrap()
}

fn accepted(revision: u64, applied: bool) -> KeeperReply {
    KeeperReply::Change(ChangeReply::Accepted { revision, applied })
}

/// Guards against an audit trail that outgrows its bound, and against losing other records than the oldest.
#[test]
fn the_oldest_records_beyond_the_bound_are_dropped() {
    let mut state = State::default();
    for n in 1..=CHANGES {
        assert_eq!(
            apply(&mut state, n, change(n), MAX_BYTES),
            accepted(n, true)
        );
        assert!(state.declaration.history_bytes() as u64 <= MAX_BYTES);
    }
    let oldest = state.declaration.oldest_audit();
    assert!(oldest > 1 && oldest < CHANGES, "{oldest}");
    let kept: Vec<u64> = state.declaration.audit(1).map(|r| r.revision).collect();
    assert_eq!(kept, (oldest..=CHANGES).collect::<Vec<_>>());
    // A retry of a change that is kept is recognized, one of a dropped change is refused.
    let retry = apply(&mut state, CHANGES + 1, change(oldest), MAX_BYTES);
    assert_eq!(retry, accepted(oldest, false));
    let retry = apply(&mut state, CHANGES + 2, change(1), MAX_BYTES);
    assert!(matches!(retry, KeeperReply::Invalid(_)), "{retry:?}");
    assert_eq!(State::restore(&state.snapshot()).unwrap(), state);
}

/// Guards against a keeper that loses the last change, or its declaration, to a bound below its size.
#[test]
fn the_last_record_is_kept_whatever_its_size() {
    let mut state = State::default();
    for n in 1..=3 {
        assert_eq!(apply(&mut state, n, change(n), 1), accepted(n, true));
    }
    assert_eq!(state.declaration.oldest_audit(), 3);
    assert_eq!(state.declaration.document().sections.len(), 1);
    assert_eq!(state.declaration.last().unwrap().revision, 3);
}

#[test]
fn pages_are_bounded_by_records_and_size() {
    let mut state = State::default();
    for n in 1..=CHANGES {
        apply(&mut state, n, change(n), u64::MAX);
    }
    let page = |from, records, bytes| {
        let page = state.declaration.audit_page(from, records, bytes);
        page.into_iter().map(|r| r.revision).collect::<Vec<_>>()
    };
    assert_eq!(page(7, 3, usize::MAX), [7, 8, 9]);
    assert_eq!(page(7, 3, 1), [7]);
    assert!(page(CHANGES + 1, 3, usize::MAX).is_empty());
}
