//! Checks that two controllers may never send orders at once, whatever clock drift and network
//! delays occur.

use std::time::Duration;

use controller::authority::Authority;
use proptest::prelude::*;
use tokio::time::Instant;

const LEASE: Duration = Duration::from_secs(6);
/// Time that keepers wait after the end of a lease: a fiftieth of its duration.
const KEEPER_MARGIN: Duration = Duration::from_millis(120);

/// A clock that runs at `rate_permille` thousandths of the true rate.
#[derive(Clone, Copy, Debug)]
struct Clock {
    start: Instant,
    rate_permille: u64,
}

impl Clock {
    fn at(&self, true_ms: u64) -> Instant {
        self.start + Duration::from_micros(true_ms * self.rate_permille)
    }
}

/// One request for the lease, in true milliseconds: the delay before it, and how long request and
/// reply take; `None` is a lost reply.
#[derive(Clone, Debug)]
struct LeaseAttempt {
    delay: u64,
    request_ms: u64,
    reply_ms: Option<u64>,
}

fn attempts() -> impl Strategy<Value = Vec<LeaseAttempt>> {
    let reply_ms = prop_oneof![4 => (1..800_u64).prop_map(Some), 1 => Just(None)];
    let attempt = (1..7_000_u64, 1..800_u64, reply_ms);
    let attempt = attempt.prop_map(|(delay, request_ms, reply_ms)| LeaseAttempt {
        delay,
        request_ms,
        reply_ms,
    });
    prop::collection::vec(attempt, 1..20)
}

type Grant = fn(u64, bool, Instant, Instant, Duration, Option<&Authority>) -> Authority;

/// The authority of one controller over time, in true milliseconds.
type History = Vec<(u64, Option<Authority>)>;

/// Simulates the lease requests of two controllers against the rule of the keepers.
fn simulate(
    attempts: [Vec<LeaseAttempt>; 2],
    clocks: [Clock; 2],
    keepers: Clock,
    grant: Grant,
) -> [History; 2] {
    // (arrival, controller, sent, arrival of the reply)
    let mut requests = Vec::new();
    for (controller, attempts) in attempts.into_iter().enumerate() {
        let mut now = controller as u64;
        for attempt in attempts {
            now += attempt.delay;
            let arrives_at = now + attempt.request_ms;
            requests.push((
                arrives_at,
                controller,
                now,
                attempt.reply_ms.map(|reply_ms| arrives_at + reply_ms),
            ));
            // The next request waits for this reply or for its timeout.
            now = attempt
                .reply_ms
                .map_or(arrives_at + 2_000, |reply_ms| arrives_at + reply_ms);
        }
    }
    requests.sort_unstable();
    let mut histories: [History; 2] = [vec![(0, None)], vec![(0, None)]];
    let mut lease: Option<(usize, u64, Instant, bool)> = None;
    for (fencing, (arrives_at, controller, sent, arrival)) in (1_u64..).zip(requests) {
        let now = keepers.at(arrives_at);
        let reply = match lease {
            Some((holder, number, _, previous)) if holder == controller => Some((number, previous)),
            Some((_, _, renewed, _)) if now < renewed + LEASE + KEEPER_MARGIN => None,
            Some(_) => Some((fencing, true)),
            None => Some((fencing, false)),
        };
        if let Some((number, previous)) = reply {
            lease = Some((controller, number, now, previous));
        }
        let Some(arrival) = arrival else { continue };
        let previous_authority = histories[controller]
            .last()
            .and_then(|(_, authority)| *authority);
        let clock = clocks[controller];
        let next = reply.map(|(number, previous)| {
            let (requested_at, now) = (clock.at(sent), clock.at(arrival));
            grant(
                number,
                previous,
                requested_at,
                now,
                LEASE,
                previous_authority.as_ref(),
            )
        });
        histories[controller].push((arrival, next));
    }
    histories
}

/// Returns the first true millisecond at which both controllers may send orders.
fn first_overlap(
    histories: &[History; 2],
    clocks: [Clock; 2],
    checks_fencing: bool,
) -> Option<u64> {
    let end = histories
        .iter()
        .flatten()
        .map(|(at, _)| *at)
        .max()
        .unwrap_or(0)
        + 10_000;
    let can_send = |controller: usize, at: u64| {
        let known = histories[controller]
            .iter()
            .rev()
            .find(|(since, _)| *since <= at);
        let authority = known.and_then(|(_, authority)| *authority);
        authority.is_some_and(|a| {
            a.send_window(checks_fencing, clocks[controller].at(at))
                .is_some()
        })
    };
    (0..end)
        .step_by(10)
        .find(|at| can_send(0, *at) && can_send(1, *at))
}

fn clock(start: Instant, rate_permille: u64) -> Clock {
    Clock {
        start,
        rate_permille,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn two_controllers_never_may_send_orders_at_once(
        first in attempts(),
        second in attempts(),
        rates in (995..1_005_u64, 995..1_005_u64, 995..1_005_u64),
    ) {
        let start = Instant::now();
        let clocks = [clock(start, rates.0), clock(start, rates.1)];
        let keepers = clock(start, rates.2);
        let histories = simulate([first, second], clocks, keepers, Authority::granted);
        prop_assert_eq!(first_overlap(&histories, clocks, false), None);
        prop_assert_eq!(first_overlap(&histories, clocks, true), None);
    }
}

/// Counts the lease from the arrival of the reply, which is wrong.
fn granted_from_reply(
    fencing: u64,
    has_previous: bool,
    _requested_at: Instant,
    now: Instant,
    duration: Duration,
    previous_authority: Option<&Authority>,
) -> Authority {
    Authority::granted(
        fencing,
        has_previous,
        now,
        now,
        duration,
        previous_authority,
    )
}

#[test]
fn the_check_detects_a_lease_counted_from_its_reply() {
    let attempt = |delay, request_ms, reply_ms| LeaseAttempt {
        delay,
        request_ms,
        reply_ms: Some(reply_ms),
    };
    let first = vec![attempt(1, 1, 700)];
    let second = vec![attempt(6_130, 1, 1)];
    let start = Instant::now();
    let clocks = [clock(start, 1_000); 2];
    let right = simulate(
        [first.clone(), second.clone()],
        clocks,
        clocks[0],
        Authority::granted,
    );
    assert_eq!(first_overlap(&right, clocks, true), None);
    let wrong = simulate([first, second], clocks, clocks[0], granted_from_reply);
    assert!(first_overlap(&wrong, clocks, true).is_some());
}

#[test]
fn endpoints_without_a_fencing_check_get_no_order_for_a_whole_lease() {
    let start = Instant::now();
    let granted = |previous| Authority::granted(7, previous, start, start, LEASE, None);
    assert!(granted(false).send_window(false, start).is_some());
    let after = granted(true);
    assert!(after.send_window(true, start).is_some());
    assert!(after.send_window(false, start).is_none());
    let requested_at = start + LEASE / 2;
    let renewed = Authority::granted(7, true, requested_at, requested_at, LEASE, Some(&after));
    assert!(renewed.send_window(true, start + LEASE).is_some());
    assert!(renewed.send_window(false, start + LEASE).is_none());
    let margin = Duration::from_millis(200);
    assert!(renewed.send_window(false, start + LEASE + margin).is_some());
}
