//! Compares `ChunkedMap` with `BTreeMap`, and checks that clones don't see later changes.

use std::collections::BTreeMap;

use keeper::ChunkedMap;
use proptest::{collection::vec, prelude::*};

#[derive(Clone, Debug)]
enum Op {
    Insert(u16),
    /// Inserts this many keys in order after the last one.
    Append(u16),
    Change(u16),
    PopFirst(u16),
    Clone,
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        4 => any::<u16>().prop_map(Op::Insert),
        2 => (1..400u16).prop_map(Op::Append),
        4 => any::<u16>().prop_map(Op::Change),
        2 => (1..300u16).prop_map(Op::PopFirst),
        1 => Just(Op::Clone),
    ];
    vec(op, 1..200)
}

type Maps = (ChunkedMap<u32>, BTreeMap<u128, u32>);

fn apply_to_both(maps: &mut Maps, n: u32, op: &Op) {
    let (map, model) = maps;
    match op {
        Op::Insert(key) => {
            map.insert(u128::from(*key), n);
            model.insert(u128::from(*key), n);
        }
        Op::Append(count) => {
            let last = model.last_key_value().map_or(0, |(key, _)| *key);
            for key in (last + 1..).take(usize::from(*count)) {
                map.insert(key, n);
                model.insert(key, n);
            }
        }
        Op::Change(key) => {
            let key = model
                .range(u128::from(*key)..)
                .next()
                .map_or(0, |(key, _)| *key);
            let found = map.get_mut(key).map(|value| *value = n);
            let expected = model.get_mut(&key).map(|value| *value = n);
            assert_eq!(found, expected);
        }
        Op::PopFirst(count) => {
            for _ in 0..*count {
                assert_eq!(map.first_key(), model.keys().next().copied());
                assert_eq!(map.pop_first(), model.pop_first());
            }
        }
        Op::Clone => {}
    }
}

fn assert_equal(maps: &Maps) {
    let (map, model) = maps;
    assert_eq!(map.len(), model.len());
    assert_eq!(map.is_empty(), model.is_empty());
    assert!(map.iter().map(|(key, n)| (key, n)).eq(model));
    for key in (0..70_000).step_by(997) {
        assert_eq!(map.get(key), model.get(&key));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn behaves_like_a_btree_map_and_clones_are_independent(ops in ops()) {
        let mut maps = Maps::default();
        let mut clones = Vec::new();
        for (n, op) in ops.iter().enumerate() {
            apply_to_both(&mut maps, n as u32, op);
            if matches!(op, Op::Clone) {
                clones.push(maps.clone());
            }
        }
        assert_equal(&maps);
        clones.iter().for_each(assert_equal);
        let mut rebuilt = ChunkedMap::default();
        maps.1.iter().for_each(|(key, n)| rebuilt.insert(*key, *n));
        prop_assert!(rebuilt == maps.0);
    }
}
