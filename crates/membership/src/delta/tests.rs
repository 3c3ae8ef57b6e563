use std::time::Duration;

use proptest::prelude::*;
use uuid::Uuid;

use super::{Delta, with_cold_times};
use crate::{Announcement, Load, LoadedModel, Readiness, Request, StageRole};

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn delta_round_trips(
        names: [String; 4],
        incarnation: u128,
        seq: u64,
        flags: (bool, bool, u8),
        models: Vec<(String, u32, Vec<String>)>,
        slots: Option<u32>,
        age_ms: u64,
        cold: Option<(u32, u32)>,
    ) {
        let [endpoint, service, az, address] = names;
        let models = models.into_iter();
        let announced = Announcement {
            endpoint,
            service,
            az,
            address,
            incarnation: Uuid::from_u128(incarnation),
            seq,
            state: if flags.0 { Readiness::Leaving } else { Readiness::Ready },
            models: models
                .map(|(model, version, adapters)| LoadedModel { model, version, adapters })
                .collect(),
            role: [StageRole::Both, StageRole::Prefill, StageRole::Decode]
                [usize::from(flags.2 % 3)],
            checks_fencing: flags.1,
            slots,
            cold_left_ms: cold.map_or(0, |(announced, _)| u64::from(announced)),
            load: Load::default(),
        };
        let delta = Delta {
            announced,
            age: Duration::from_millis(age_ms),
            cold_left: cold.map(|(_, left)| Duration::from_millis(left.into())),
        };
        let encoded = link::encode(&Request::push(String::new(), 0, vec![delta.clone()]));
        let Ok(Request::Deltas { deltas, cold, .. }) = link::decode(&encoded) else {
            panic!("not a push");
        };
        prop_assert_eq!(with_cold_times(deltas, &cold), [delta]);
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes: Vec<u8>) {
        let _ = link::decode::<Delta>(&bytes);
        let _ = link::decode::<crate::Request>(&bytes);
    }
}
