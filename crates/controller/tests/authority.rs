//! Two controllers never may give orders at once, whatever their clocks and the network do.

use std::time::Duration;

use controller::authority::Authority;
use proptest::prelude::*;
use tokio::time::Instant;

const LEASE: Duration = Duration::from_secs(6);
/// The margin that keepers keep after the end of a lease: a fiftieth.
const KEEPERS_MARGIN: Duration = Duration::from_millis(120);

/// A clock that runs at `permille` thousandths of the true pace.
#[derive(Clone, Copy, Debug)]
struct Clock {
    start: Instant,
    permille: u64,
}

impl Clock {
    fn at(&self, true_ms: u64) -> Instant {
        self.start + Duration::from_micros(true_ms * self.permille)
    }
}

/// One request for the lease: when it is sent, and how long its two ways take; lost answers do not
/// arrive.
#[derive(Clone, Debug)]
struct Ask {
    pause: u64,
    there: u64,
    back: Option<u64>,
}

fn asks() -> impl Strategy<Value = Vec<Ask>> {
    let back = prop_oneof![4 => (1..800_u64).prop_map(Some), 1 => Just(None)];
    let ask = (1..7_000_u64, 1..800_u64, back);
    let ask = ask.prop_map(|(pause, there, back)| Ask { pause, there, back });
    prop::collection::vec(ask, 1..20)
}

type Grant = fn(u64, bool, Instant, Instant, Duration, Option<&Authority>) -> Authority;

/// When each controller held which right, in true milliseconds.
type Held = Vec<(u64, Option<Authority>)>;

/// Runs the requests of two controllers against the keepers' rule.
fn run(asks: [Vec<Ask>; 2], clocks: [Clock; 2], keepers: Clock, grant: Grant) -> [Held; 2] {
    // (arrival, controller, sent, answer's arrival)
    let mut requests = Vec::new();
    for (who, asks) in asks.into_iter().enumerate() {
        let mut now = who as u64;
        for ask in asks {
            now += ask.pause;
            let arrives = now + ask.there;
            requests.push((arrives, who, now, ask.back.map(|back| arrives + back)));
            // The next request waits for this answer, or for the limit.
            now = ask.back.map_or(arrives + 2_000, |back| arrives + back);
        }
    }
    requests.sort_unstable();
    let mut held: [Held; 2] = [vec![(0, None)], vec![(0, None)]];
    let mut lease: Option<(usize, u64, Instant, bool)> = None;
    for (fencing, (arrives, who, sent, back)) in (1_u64..).zip(requests) {
        let now = keepers.at(arrives);
        let answer = match lease {
            Some((holder, number, _, previous)) if holder == who => Some((number, previous)),
            Some((_, _, renewed, _)) if now < renewed + LEASE + KEEPERS_MARGIN => None,
            Some(_) => Some((fencing, true)),
            None => Some((fencing, false)),
        };
        if let Some((number, previous)) = answer {
            lease = Some((who, number, now, previous));
        }
        let Some(back) = back else { continue };
        let before = held[who].last().and_then(|(_, authority)| *authority);
        let clock = clocks[who];
        let next = answer.map(|(number, previous)| {
            let (asked, now) = (clock.at(sent), clock.at(back));
            grant(number, previous, asked, now, LEASE, before.as_ref())
        });
        held[who].push((back, next));
    }
    held
}

/// True milliseconds at which both controllers may give orders.
fn overlap(held: &[Held; 2], clocks: [Clock; 2], checks_fencing: bool) -> Option<u64> {
    let end = held.iter().flatten().map(|(at, _)| *at).max().unwrap_or(0) + 10_000;
    let may = |who: usize, at: u64| {
        let known = held[who].iter().rev().find(|(since, _)| *since <= at);
        let authority = known.and_then(|(_, authority)| *authority);
        authority.is_some_and(|a| a.send_window(checks_fencing, clocks[who].at(at)).is_some())
    };
    (0..end).step_by(10).find(|at| may(0, *at) && may(1, *at))
}

fn clock(start: Instant, permille: u64) -> Clock {
    Clock { start, permille }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn two_controllers_never_may_give_orders_at_once(
        first in asks(),
        second in asks(),
        rates in (995..1_005_u64, 995..1_005_u64, 995..1_005_u64),
    ) {
        let start = Instant::now();
        let clocks = [clock(start, rates.0), clock(start, rates.1)];
        let keepers = clock(start, rates.2);
        let held = run([first, second], clocks, keepers, Authority::granted);
        prop_assert_eq!(overlap(&held, clocks, false), None);
        prop_assert_eq!(overlap(&held, clocks, true), None);
    }
}

/// Counts the lease from its answer, which is wrong.
fn from_answer(
    fencing: u64,
    has_previous: bool,
    _asked: Instant,
    now: Instant,
    duration: Duration,
    before: Option<&Authority>,
) -> Authority {
    Authority::granted(fencing, has_previous, now, now, duration, before)
}

#[test]
fn the_check_sees_a_lease_counted_from_its_answer() {
    let ask = |pause, there, back| Ask {
        pause,
        there,
        back: Some(back),
    };
    let first = vec![ask(1, 1, 700)];
    let second = vec![ask(6_130, 1, 1)];
    let start = Instant::now();
    let clocks = [clock(start, 1_000); 2];
    let right = run(
        [first.clone(), second.clone()],
        clocks,
        clocks[0],
        Authority::granted,
    );
    assert_eq!(overlap(&right, clocks, true), None);
    let wrong = run([first, second], clocks, clocks[0], from_answer);
    assert!(overlap(&wrong, clocks, true).is_some());
}

#[test]
fn endpoints_that_check_nothing_are_left_alone_for_a_whole_lease() {
    let start = Instant::now();
    let granted = |previous| Authority::granted(7, previous, start, start, LEASE, None);
    assert!(granted(false).send_window(false, start).is_some());
    let after = granted(true);
    assert!(after.send_window(true, start).is_some());
    assert!(after.send_window(false, start).is_none());
    let asked = start + LEASE / 2;
    let renewed = Authority::granted(7, true, asked, asked, LEASE, Some(&after));
    assert!(renewed.send_window(true, start + LEASE).is_some());
    assert!(renewed.send_window(false, start + LEASE).is_none());
    let margin = Duration::from_millis(200);
    assert!(renewed.send_window(false, start + LEASE + margin).is_some());
}
