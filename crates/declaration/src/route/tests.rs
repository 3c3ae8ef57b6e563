use proptest::prelude::*;

use super::{RouteStage, WeightedService};

proptest! {
    #[test]
    fn stages_and_weights_round_trip(
        service in "[a-z][a-z0-9-]{0,9}",
        result_bytes in any::<u64>(),
        after in proptest::collection::vec(0_usize..9, 0..4),
        weight in any::<u32>(),
    ) {
        let stage = RouteStage { service: service.clone(), result_bytes, after };
        prop_assert_eq!(stage.to_string().parse(), Ok(stage));
        let weighted = WeightedService { service, weight };
        prop_assert_eq!(weighted.to_string().parse(), Ok(weighted));
    }
}

#[test]
fn malformed_stages_are_refused() {
    for text in [
        "",
        "a",
        "a b",
        "a 1 behind 0",
        "a 1 after x",
        "a 1 after 0 1",
    ] {
        assert!(text.parse::<RouteStage>().is_err(), "{text}");
    }
}
