use std::time::Duration;

use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderName, RETRY_AFTER},
};

use super::{NamedRate, Notice, parse_rate, parse_retry_after};

fn pause(values: &[&'static str]) -> Option<Duration> {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(RETRY_AFTER, value.parse().unwrap());
    }
    parse_retry_after(&headers)
}

#[test]
fn longest_time_in_fractional_seconds_is_parsed() {
    assert_eq!(pause(&["0.3"]), Some(Duration::from_millis(300)));
    assert_eq!(pause(&[" 2 "]), Some(Duration::from_secs(2)));
    assert_eq!(pause(&["1", "3", "2"]), Some(Duration::from_secs(3)));
    assert_eq!(pause(&["x", "1"]), Some(Duration::from_secs(1)));
    assert_eq!(pause(&["1e9"]), Some(Duration::from_secs(1_000_000_000)));
    assert_eq!(pause(&["1e300"]), Some(Duration::MAX));
    assert_eq!(pause(&["inf"]), Some(Duration::MAX));
}

#[test]
fn values_without_a_positive_time_are_ignored() {
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
fn pause_requires_status_503_and_leaving_requires_the_value_1() {
    let name = HeaderName::from_static("leaving");
    let mut headers = HeaderMap::new();
    headers.insert(RETRY_AFTER, "2".parse().unwrap());
    let limit = HeaderName::from_static("limit");
    let parse = |status, headers: &HeaderMap| Notice::parse(status, headers, &name, &limit);
    let unlimited = Notice {
        rate: NamedRate::Unlimited,
        ..Notice::default()
    };
    assert_eq!(parse(StatusCode::OK, &headers), unlimited);
    let refused = parse(StatusCode::SERVICE_UNAVAILABLE, &headers);
    assert_eq!(refused.pause, Some(Duration::from_secs(2)));
    for (value, is_leaving) in [("1", true), ("0", false), ("yes", false)] {
        headers.insert(&name, value.parse().unwrap());
        assert_eq!(parse(StatusCode::OK, &headers).is_leaving, is_leaving);
    }
}

fn rate(values: &[&'static str]) -> NamedRate {
    let name = HeaderName::from_static("limit");
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(&name, value.parse().unwrap());
    }
    parse_rate(StatusCode::OK, &headers, &name)
}

#[test]
fn lowest_readable_rate_is_parsed() {
    assert_eq!(rate(&[]), NamedRate::Unlimited);
    assert_eq!(rate(&["0"]), NamedRate::PerSecond(0.0));
    assert_eq!(rate(&[" 1.5 "]), NamedRate::PerSecond(1.5));
    assert_eq!(rate(&["3", "x", "2"]), NamedRate::PerSecond(2.0));
    for nonsense in ["", "-1", "NaN", "inf", "1e999", "1,5", "0x10", "ten"] {
        assert_eq!(rate(&[nonsense]), NamedRate::Unknown, "{nonsense}");
    }
    // Failures may lack the header while a limit is in effect.
    let name = HeaderName::from_static("limit");
    let failed = parse_rate(StatusCode::BAD_GATEWAY, &HeaderMap::new(), &name);
    assert_eq!(failed, NamedRate::Unknown);
}
