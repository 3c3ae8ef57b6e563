use std::time::Duration;

use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderName, RETRY_AFTER},
};

use super::{Notice, parse_retry_after};

fn pause(values: &[&'static str]) -> Option<Duration> {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(RETRY_AFTER, value.parse().unwrap());
    }
    parse_retry_after(&headers)
}

#[test]
fn a_pause_is_read_in_seconds_with_fractions_the_longest_counts() {
    assert_eq!(pause(&["0.3"]), Some(Duration::from_millis(300)));
    assert_eq!(pause(&[" 2 "]), Some(Duration::from_secs(2)));
    assert_eq!(pause(&["1", "3", "2"]), Some(Duration::from_secs(3)));
    assert_eq!(pause(&["x", "1"]), Some(Duration::from_secs(1)));
    assert_eq!(pause(&["1e9"]), Some(Duration::from_secs(1_000_000_000)));
    assert_eq!(pause(&["1e300"]), Some(Duration::MAX));
    assert_eq!(pause(&["inf"]), Some(Duration::MAX));
}

#[test]
fn what_is_no_time_ahead_is_none() {
    let date = "Wed, 21 Oct 2026 07:28:00 GMT";
    for values in [
        &[][..],
        &["0"],
        &["-1"],
        &["NaN"],
        &["soon"],
        &[date],
        &["1,2"],
    ] {
        assert_eq!(pause(values), None, "{values:?}");
    }
}

#[test]
fn only_what_was_turned_away_asks_for_a_pause_and_only_a_1_says_leaving() {
    let name = HeaderName::from_static("leaving");
    let mut headers = HeaderMap::new();
    headers.insert(RETRY_AFTER, "2".parse().unwrap());
    let read = |status, headers: &HeaderMap| Notice::parse(status, headers, &name);
    assert_eq!(read(StatusCode::OK, &headers), Notice::default());
    let turned_away = read(StatusCode::SERVICE_UNAVAILABLE, &headers);
    assert_eq!(turned_away.pause, Some(Duration::from_secs(2)));
    for (word, is_leaving) in [("1", true), ("0", false), ("yes", false)] {
        headers.insert(&name, word.parse().unwrap());
        assert_eq!(read(StatusCode::OK, &headers).is_leaving, is_leaving);
    }
}
