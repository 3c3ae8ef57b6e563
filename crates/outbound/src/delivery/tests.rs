use std::time::Duration;

use tokio::time::Instant;

use super::{ConnectionEnd, Delivery, RESET_DELAY, SMALL_REQUEST_BYTES};

const UPLOAD_BYTES: u64 = 3_000_000;

/// Delivery of `bytes` that were all acknowledged after `elapsed`, and the time of that.
fn delivered(bytes: u64, elapsed: Duration) -> (Delivery, Instant) {
    let start = Instant::now();
    let mut delivery = Delivery::default();
    delivery.record_write(start, bytes / 2);
    delivery.record_write(start, bytes - bytes / 2);
    let now = start + elapsed;
    delivery.record_unacknowledged(now, 0);
    (delivery, now)
}

#[test]
fn end_with_unacknowledged_bytes_is_not_the_end_of_a_response() {
    for bytes in [1, UPLOAD_BYTES] {
        let now = Instant::now();
        let mut delivery = Delivery::default();
        delivery.record_write(now, bytes);
        delivery.record_unacknowledged(now, 1);
        assert_eq!(delivery.on_end(now), ConnectionEnd::Unread);
    }
}

/// The pace is that of a link of 10 Mbit/s, over which a proxy passes on 8 KiB in 6.6 ms.
#[test]
fn end_while_a_proxy_may_hold_the_request_waits_for_a_reset() {
    let (mut delivery, now) = delivered(UPLOAD_BYTES, Duration::from_millis(2_400));
    // The time of 128 KiB.
    let end = now + Duration::from_millis(105);
    let ConnectionEnd::Undecided(until) = delivery.on_end(end) else {
        panic!("{delivery:?}");
    };
    assert!(until > end + Duration::from_millis(7) && until <= end + *RESET_DELAY.end());
    assert_eq!(
        delivery.on_end(end + Duration::from_millis(1)),
        ConnectionEnd::Undecided(until)
    );
    assert_eq!(delivery.on_end(until), ConnectionEnd::Complete);
}

#[test]
fn end_some_time_after_the_upload_waits_for_nothing() {
    let (mut delivery, now) = delivered(UPLOAD_BYTES, Duration::from_mins(1));
    assert_eq!(
        delivery.on_end(now + Duration::from_secs(1)),
        ConnectionEnd::Complete
    );
}

/// Guards against a wait as long as an endpoint that reads slowly.
#[test]
fn wait_after_the_end_is_short_however_slow_the_upload() {
    for bytes in [SMALL_REQUEST_BYTES + 1, UPLOAD_BYTES] {
        let (mut delivery, now) = delivered(bytes, Duration::from_mins(1));
        delivery.on_end(now);
        let waited = now + *RESET_DELAY.end();
        assert_eq!(delivery.on_end(waited), ConnectionEnd::Complete);
    }
}

#[test]
fn end_after_a_small_request_waits_for_nothing() {
    let (mut delivery, now) = delivered(SMALL_REQUEST_BYTES, Duration::from_secs(2));
    assert_eq!(delivery.on_end(now), ConnectionEnd::Complete);
    assert_eq!(delivery.next_poll(now), None);
}

#[test]
fn wait_is_never_longer_than_the_upload() {
    for bytes in [SMALL_REQUEST_BYTES + 1, 100_000, UPLOAD_BYTES] {
        let elapsed = Duration::from_millis(3);
        let (mut delivery, now) = delivered(bytes, elapsed);
        assert_eq!(delivery.on_end(now + elapsed), ConnectionEnd::Complete);
    }
}

/// Guards against the time between two calls counting as time of the second upload.
#[test]
fn next_request_starts_anew() {
    let (mut delivery, now) = delivered(UPLOAD_BYTES, Duration::from_secs(1));
    let start = now + Duration::from_secs(30);
    delivery.record_write(start, UPLOAD_BYTES);
    assert_eq!(delivery.on_end(start), ConnectionEnd::Unread);
    delivery.record_unacknowledged(start, 0);
    assert_eq!(delivery.on_end(start), ConnectionEnd::Complete);
}

#[test]
fn looks_at_an_upload_get_rarer() {
    let start = Instant::now();
    let mut delivery = Delivery::default();
    delivery.record_write(start, UPLOAD_BYTES);
    let mut now = start;
    let mut looks = 0;
    while now < start + Duration::from_secs(10) {
        now = delivery.next_poll(now).unwrap();
        looks += 1;
    }
    assert!(looks < 150, "{looks}");
}
