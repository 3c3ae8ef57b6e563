//! The ledger's sorted map against the library's, and its copies against later changes.

use std::collections::BTreeMap;

use keeper::ChunkedMap;
use proptest::{collection::vec, prelude::*};

#[derive(Clone, Debug)]
enum Op {
    Insert(u16),
    /// So many keys in order behind the last one.
    Append(u16),
    Change(u16),
    PopFirst(u16),
    Copy,
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        4 => any::<u16>().prop_map(Op::Insert),
        2 => (1..400u16).prop_map(Op::Append),
        4 => any::<u16>().prop_map(Op::Change),
        2 => (1..300u16).prop_map(Op::PopFirst),
        1 => Just(Op::Copy),
    ];
    vec(op, 1..200)
}

type Pair = (ChunkedMap<u32>, BTreeMap<u128, u32>);

fn apply(pair: &mut Pair, n: u32, op: &Op) {
    let (records, model) = pair;
    match op {
        Op::Insert(key) => {
            records.insert(u128::from(*key), n);
            model.insert(u128::from(*key), n);
        }
        Op::Append(count) => {
            let last = model.last_key_value().map_or(0, |(key, _)| *key);
            for key in (last + 1..).take(usize::from(*count)) {
                records.insert(key, n);
                model.insert(key, n);
            }
        }
        Op::Change(key) => {
            let key = model
                .range(u128::from(*key)..)
                .next()
                .map_or(0, |(key, _)| *key);
            let found = records.get_mut(key).map(|value| *value = n);
            let expected = model.get_mut(&key).map(|value| *value = n);
            assert_eq!(found, expected);
        }
        Op::PopFirst(count) => {
            for _ in 0..*count {
                assert_eq!(records.first_key(), model.keys().next().copied());
                assert_eq!(records.pop_first(), model.pop_first());
            }
        }
        Op::Copy => {}
    }
}

fn check(pair: &Pair) {
    let (records, model) = pair;
    assert_eq!(records.len(), model.len());
    assert_eq!(records.is_empty(), model.is_empty());
    assert!(records.iter().map(|(key, n)| (key, n)).eq(model));
    for key in (0..70_000).step_by(997) {
        assert_eq!(records.get(key), model.get(&key));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn records_are_a_sorted_map_and_copies_stay_as_they_were(ops in ops()) {
        let mut pair = Pair::default();
        let mut copies = Vec::new();
        for (n, op) in ops.iter().enumerate() {
            apply(&mut pair, n as u32, op);
            if matches!(op, Op::Copy) {
                copies.push(pair.clone());
            }
        }
        check(&pair);
        copies.iter().for_each(check);
        let mut again = ChunkedMap::default();
        pair.1.iter().for_each(|(key, n)| again.insert(*key, *n));
        prop_assert!(again == pair.0);
    }
}
