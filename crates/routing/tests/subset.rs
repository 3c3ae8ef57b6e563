//! Tests of subsetting.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use routing::subset::{GatePosition, choose, size};

const MIN_SUBSET: usize = 20;
const GATES_PER_ENDPOINT: usize = 3;

fn names(endpoints: usize) -> Vec<String> {
    (0..endpoints).map(|at| format!("e{at}")).collect()
}

fn subsets(names: &[String], gates: usize) -> Vec<BTreeSet<&str>> {
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let size = size(names.len(), gates, MIN_SUBSET, GATES_PER_ENDPOINT);
    let of = |index| {
        choose(&names, GatePosition { index, gates }, size)
            .into_iter()
            .collect()
    };
    (0..gates).map(of).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn each_endpoint_has_enough_gates_and_subsets_are_bounded(
        endpoints in 1..1_500_usize,
        gates in 1..60_usize,
    ) {
        let names = names(endpoints);
        let subsets = subsets(&names, gates);
        let mut covered: BTreeMap<&str, usize> = BTreeMap::new();
        for subset in &subsets {
            let bound = MIN_SUBSET.max(GATES_PER_ENDPOINT * endpoints / gates + 2);
            prop_assert!(subset.len() <= bound);
            for name in subset {
                *covered.entry(name).or_default() += 1;
            }
        }
        prop_assert_eq!(covered.len(), endpoints);
        let least = covered.values().min().copied().unwrap_or(0);
        prop_assert!(least >= GATES_PER_ENDPOINT.min(gates));
    }

    #[test]
    fn adding_an_endpoint_changes_few_assignments(endpoints in 1..1_500_usize, gates in 1..60_usize) {
        const MAX_CHANGED: usize = 4;
        let (before, after) = (names(endpoints), names(endpoints + 1));
        for (old, new) in subsets(&before, gates).iter().zip(subsets(&after, gates)) {
            let changed = old.symmetric_difference(&new).count();
            prop_assert!(changed <= MAX_CHANGED, "{}", changed);
        }
    }
}
