use std::time::Duration;

use super::{ForwardError, Refusal, retry_after_value};

/// Callers that are told to come back after no time would all come back at once.
#[test]
fn a_refusal_never_says_to_come_back_after_no_time() {
    for (micros, expected) in [
        (0, "0.01"),
        (1, "0.01"),
        (4_900, "0.01"),
        (12_000, "0.02"),
        (400_000, "0.40"),
        (7_301_000, "7.31"),
    ] {
        let refused = ForwardError::retry_later(Refusal::Limited, Duration::from_micros(micros));
        let ForwardError::Refused {
            retry_after: Some(after),
            ..
        } = refused
        else {
            panic!("it has a retry time");
        };
        assert_eq!(retry_after_value(after), expected);
    }
}
