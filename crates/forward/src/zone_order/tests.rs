//! Tests with zones that are lost, empty or crowded.

use std::collections::{BTreeMap, BTreeSet};

use super::zones_to_try;

fn healthy(zones: &[(&str, usize)]) -> BTreeMap<String, usize> {
    let zones = zones.iter();
    zones.map(|(az, n)| ((*az).to_owned(), *n)).collect()
}

#[test]
fn the_preferred_zone_goes_first_then_the_own_one() {
    let healthy = healthy(&[("a", 2), ("b", 2), ("c", 2), ("d", 2)]);
    for n in 0..30 {
        let request = format!("r{n}");
        let zones = zones_to_try("c", "a", &healthy, &request);
        assert_eq!(zones[..2], ["c", "a"]);
        assert_eq!(zones.len(), 3);
    }
}

/// A zone is lost in a burst, with its gates and endpoints. If each gate collected for it alone,
/// they would call the same endpoints as other collectors.
#[test]
fn items_for_a_lost_zone_go_to_the_collector_of_the_own_zone() {
    let healthy = healthy(&[("a", 2), ("b", 2)]);
    assert_eq!(zones_to_try("c", "a", &healthy, "r1"), ["a", "b"]);
}

/// A zone without endpoints of the service, which is also the gate's own zone.
#[test]
fn requests_of_a_zone_without_endpoints_are_spread_over_the_others() {
    let healthy = healthy(&[("b", 2), ("c", 2), ("d", 2)]);
    let first = |n: u32| zones_to_try("a", "a", &healthy, &format!("r{n}"))[0];
    let firsts: BTreeSet<&str> = (0..30).map(first).collect();
    assert_eq!(firsts, BTreeSet::from(["b", "c", "d"]));
}

#[test]
fn the_preferred_zone_is_used_if_no_endpoint_is_known() {
    assert_eq!(zones_to_try("a", "b", &BTreeMap::new(), "r1"), ["a"]);
}
