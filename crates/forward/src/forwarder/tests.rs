use std::time::Duration;

use super::{START_WAIT, STARTING, start_wait};

#[test]
fn a_request_waits_for_a_gates_start_for_a_part_of_its_time_and_only_then() {
    let second = Duration::from_secs(1);
    assert_eq!(start_wait(Duration::ZERO, None), START_WAIT);
    assert_eq!(start_wait(second, Some(600 * second)), START_WAIT);
    assert_eq!(start_wait(second, Some(second)), second / 3);
    assert_eq!(start_wait(STARTING, Some(600 * second)), Duration::ZERO);
    assert_eq!(start_wait(STARTING * 9, None), Duration::ZERO);
}
