use std::time::Duration;

use tokio::time::Instant;

use super::{
    ConnectionEnd, Delivery, MAX_PROXY_TIME, RESET_DELAY, SMALL_REQUEST_BYTES, SendQueue,
    is_last_byte_held,
    proxies::{BURST_TIME, EARLY_RESPONSE_TIME, LARGE_REQUEST_BYTES, MAX_DELAY_DIVISOR},
};

const UPLOAD_BYTES: u64 = 3_000_000;
/// Pace of a link of 10 Mbit/s, over which a proxy passes on 8 KiB in 6.6 ms.
const BYTES_PER_SEC: u64 = 1_250_000;
const PROXY_BYTES: u64 = 128 << 10;

const EMPTY: SendQueue = SendQueue {
    unacknowledged: 0,
    unsent: 0,
};

/// A send queue whose bytes the peer's window doesn't take.
fn unsent(bytes: u64) -> SendQueue {
    SendQueue {
        unacknowledged: bytes,
        unsent: bytes,
    }
}

/// Delivery of `bytes` that were all acknowledged after `elapsed`, and the time of that.
fn delivered(bytes: u64, elapsed: Duration) -> (Delivery, Instant) {
    let start = Instant::now();
    let mut delivery = Delivery::default();
    delivery.record_write(start, bytes / 2);
    delivery.record_write(start, bytes - bytes / 2);
    let now = start + elapsed;
    delivery.record_queue(now, EMPTY, true);
    (delivery, now)
}

/// Time in which `bytes` pass over the link.
fn time_of(bytes: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / BYTES_PER_SEC as f64)
}

/// Delivery of a request whose last byte is held back, the rest of which, `bytes`, was acknowledged at
/// the pace of the link after proxies took the first `proxy_bytes` at once; and the time of that.
fn held_back(bytes: u64, proxy_bytes: u64) -> (Delivery, Instant) {
    let start = Instant::now();
    let mut delivery = Delivery::default();
    delivery.start(true);
    delivery.record_write(start, bytes);
    let mut now = start;
    while delivery.next_poll(now).is_some() {
        now += Duration::from_millis(1);
        let passed_on = ((now - start).as_secs_f64() * BYTES_PER_SEC as f64) as u64;
        delivery.record_queue(
            now,
            unsent(bytes.saturating_sub(passed_on + proxy_bytes)),
            true,
        );
    }
    (delivery, now)
}

/// Guards against a part of a response that passes for the whole one, since a proxy held the last part
/// of the request alone and never reported that the peer was gone.
#[test]
fn end_before_the_last_byte_is_released_is_not_the_end_of_a_response() {
    for proxy_bytes in [0, 32 << 10, PROXY_BYTES] {
        let (mut delivery, now) = held_back(UPLOAD_BYTES, proxy_bytes);
        delivery.record_read();
        let passed_on = now + time_of(proxy_bytes);
        let release = delivery.release_at().unwrap();
        assert!(release >= passed_on + *BURST_TIME.start(), "{proxy_bytes}");
        assert_eq!(
            delivery.on_end(release, release, EMPTY),
            ConnectionEnd::Unread
        );
    }
}

/// Guards against a wait that callers would feel: the estimate is close to what proxies need, and no
/// longer than before if they hold nothing.
#[test]
fn last_byte_is_released_soon_after_proxies_have_passed_on_the_rest() {
    for proxy_bytes in [0, 32 << 10, PROXY_BYTES] {
        let (mut delivery, now) = held_back(UPLOAD_BYTES, proxy_bytes);
        let passed_on = now + time_of(proxy_bytes);
        let tolerance = Duration::from_millis(20);
        let release = delivery.release_at().unwrap();
        assert!(release <= passed_on + tolerance, "{proxy_bytes}");
        delivery.record_read();
        let release = delivery.release_at().unwrap();
        assert!(release <= passed_on + *BURST_TIME.end(), "{proxy_bytes}");
        delivery.release();
        let until = release + *RESET_DELAY.start();
        assert_eq!(
            delivery.on_end(release, release, EMPTY),
            ConnectionEnd::Undecided(until)
        );
        assert_eq!(
            delivery.on_end(until, release, EMPTY),
            ConnectionEnd::Complete
        );
    }
}

/// Guards against a delay of endpoints that read the whole request before they respond.
#[test]
fn last_byte_is_delayed_by_a_small_part_of_the_upload() {
    for bytes in [SMALL_REQUEST_BYTES + 1, 100_000, 200_000, UPLOAD_BYTES] {
        for proxy_bytes in [0, 32 << 10, PROXY_BYTES, u64::MAX >> 1] {
            let (delivery, now) = held_back(bytes, proxy_bytes);
            let elapsed = time_of(bytes) + Duration::from_millis(1);
            let most = (elapsed / MAX_DELAY_DIVISOR).max(EARLY_RESPONSE_TIME);
            assert!(delivery.release_at().unwrap() <= now + most, "{bytes}");
        }
    }
}

/// Guards against endpoints that read on and wait for a byte that never comes.
#[test]
fn last_byte_is_always_released_once_the_rest_is_acknowledged() {
    for elapsed in [Duration::ZERO, Duration::from_mins(10)] {
        let start = Instant::now();
        let mut delivery = Delivery::default();
        delivery.start(true);
        delivery.record_write(start, UPLOAD_BYTES);
        delivery.record_queue(start, unsent(UPLOAD_BYTES), false);
        // Everything in the last moment.
        let before = start + elapsed.saturating_sub(Duration::from_micros(1));
        delivery.record_queue(before, unsent(UPLOAD_BYTES - 1), true);
        let now = start + elapsed;
        delivery.record_queue(now, EMPTY, true);
        delivery.record_read();
        let most = MAX_PROXY_TIME + *BURST_TIME.end();
        assert!(delivery.release_at().unwrap() <= now + most);
    }
}

/// Guards against a part of a response that passes for the whole one if a proxy takes the request at once, so
/// that its pace tells nothing of the proxy.
#[test]
fn last_byte_of_a_request_that_proxies_took_at_once_waits_for_an_early_response() {
    for bytes in [20_000, 100_000] {
        let start = Instant::now();
        let mut delivery = Delivery::default();
        delivery.start(true);
        delivery.record_write(start, bytes);
        delivery.record_queue(start, EMPTY, true);
        let release = delivery.release_at().unwrap();
        let is_large = bytes > LARGE_REQUEST_BYTES;
        assert_eq!(release >= start + EARLY_RESPONSE_TIME, is_large, "{bytes}");
        delivery.record_read();
        let release = delivery.release_at().unwrap();
        assert!(release > start + time_of(bytes), "{bytes}");
        assert!(release <= start + Duration::from_millis(100), "{bytes}");
    }
}

#[test]
fn last_byte_of_a_small_request_is_not_held() {
    assert!(!is_last_byte_held(SMALL_REQUEST_BYTES as usize));
    assert!(is_last_byte_held(SMALL_REQUEST_BYTES as usize + 1));
}

#[test]
fn end_with_unacknowledged_bytes_is_not_the_end_of_a_response() {
    for bytes in [1, UPLOAD_BYTES] {
        let now = Instant::now();
        let mut delivery = Delivery::default();
        delivery.record_write(now, bytes);
        delivery.record_queue(now, unsent(1), true);
        assert_eq!(delivery.on_end(now, now, unsent(1)), ConnectionEnd::Unread);
    }
}

/// The pace is that of a link of 10 Mbit/s, over which a proxy passes on 8 KiB in 6.6 ms.
#[test]
fn end_while_a_proxy_may_hold_the_request_waits_for_a_reset() {
    let (mut delivery, now) = delivered(UPLOAD_BYTES, Duration::from_millis(2_400));
    // The time of 128 KiB.
    let end = now + Duration::from_millis(105);
    let ConnectionEnd::Undecided(until) = delivery.on_end(end, end, EMPTY) else {
        panic!("{delivery:?}");
    };
    assert!(until > end + Duration::from_millis(7) && until <= end + *RESET_DELAY.end());
    assert_eq!(
        delivery.on_end(end + Duration::from_millis(1), end, EMPTY),
        ConnectionEnd::Undecided(until)
    );
    assert_eq!(delivery.on_end(until, end, EMPTY), ConnectionEnd::Complete);
}

#[test]
fn end_some_time_after_the_upload_waits_for_nothing() {
    let (mut delivery, now) = delivered(UPLOAD_BYTES, Duration::from_mins(1));
    assert_eq!(
        delivery.on_end(
            now + Duration::from_secs(1),
            now + Duration::from_secs(1),
            EMPTY
        ),
        ConnectionEnd::Complete
    );
}

/// Guards against a wait as long as an endpoint that reads slowly.
#[test]
fn wait_after_the_end_is_short_however_slow_the_upload() {
    for bytes in [SMALL_REQUEST_BYTES + 1, UPLOAD_BYTES] {
        let (mut delivery, now) = delivered(bytes, Duration::from_mins(1));
        delivery.on_end(now, now, EMPTY);
        let waited = now + *RESET_DELAY.end();
        assert_eq!(delivery.on_end(waited, now, EMPTY), ConnectionEnd::Complete);
    }
}

#[test]
fn end_after_a_small_request_waits_for_nothing() {
    let (mut delivery, now) = delivered(SMALL_REQUEST_BYTES, Duration::from_secs(2));
    assert_eq!(delivery.on_end(now, now, EMPTY), ConnectionEnd::Complete);
    assert_eq!(delivery.next_poll(now), None);
}

#[test]
fn wait_is_never_longer_than_the_upload() {
    for bytes in [SMALL_REQUEST_BYTES + 1, 100_000, UPLOAD_BYTES] {
        let elapsed = Duration::from_millis(3);
        let (mut delivery, now) = delivered(bytes, elapsed);
        assert_eq!(
            delivery.on_end(now + elapsed, now, EMPTY),
            ConnectionEnd::Complete
        );
    }
}

/// Guards against the time between two calls counting as time of the second upload.
#[test]
fn next_request_starts_anew() {
    let (mut delivery, now) = delivered(UPLOAD_BYTES, Duration::from_secs(1));
    let start = now + Duration::from_secs(30);
    delivery.start(false);
    delivery.record_write(start, UPLOAD_BYTES);
    assert_eq!(
        delivery.on_end(start, start, unsent(1)),
        ConnectionEnd::Unread
    );
    delivery.record_queue(start, EMPTY, true);
    assert_eq!(
        delivery.on_end(start, start, EMPTY),
        ConnectionEnd::Complete
    );
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
