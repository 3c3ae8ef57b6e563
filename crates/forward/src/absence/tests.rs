//! Who may begin and end each state of an endpoint.

use std::time::Duration;

use membership::EndpointState::{Leaving, Ready, Suspect};
use tokio::time::{Instant, advance};

use super::{Absence, Absences, MAX_PAUSE};

const SECOND: Duration = Duration::from_secs(1);

fn now(absences: &Absences) -> Option<Absence> {
    absences.now(Ready, true, None, Instant::now())
}

#[tokio::test(start_paused = true)]
async fn a_pause_lasts_for_its_time_and_only_a_longer_one_replaces_it() {
    let mut absences = Absences::default();
    assert!(absences.pause(2 * SECOND, Instant::now()).is_some());
    advance(SECOND).await;
    assert!(absences.pause(SECOND / 2, Instant::now()).is_none());
    assert!(matches!(now(&absences), Some(Absence::Paused(_))));
    advance(SECOND).await;
    assert_eq!(now(&absences), None);
    assert!(absences.pause(SECOND, Instant::now()).is_some());
    assert!(absences.pause(3 * SECOND, Instant::now()).is_some());
    advance(2 * SECOND).await;
    assert!(matches!(now(&absences), Some(Absence::Paused(_))));
}

#[tokio::test(start_paused = true)]
async fn an_absurd_pause_is_bounded_and_none_is_none() {
    let mut absences = Absences::default();
    assert!(absences.pause(Duration::ZERO, Instant::now()).is_none());
    let longest = absences.pause(Duration::MAX, Instant::now());
    assert_eq!(longest, Some(MAX_PAUSE));
    advance(MAX_PAUSE).await;
    assert_eq!(now(&absences), None);
}

#[tokio::test(start_paused = true)]
async fn nothing_but_a_new_incarnation_ends_leaving() {
    let mut absences = Absences::default();
    assert!(absences.leave());
    assert!(!absences.leave());
    absences.reach();
    advance(MAX_PAUSE * 10).await;
    for state in [Ready, Suspect, Leaving] {
        let absence = absences.now(state, true, None, Instant::now());
        assert_eq!(absence, Some(Absence::Leaving));
    }
}

#[tokio::test(start_paused = true)]
async fn the_weightiest_reason_is_told() {
    let mut absences = Absences::default();
    let soon = Instant::now() + SECOND;
    absences.fill(soon);
    assert_eq!(now(&absences), Some(Absence::Full(soon)));
    let ejected = absences.now(Ready, true, Some(soon), Instant::now());
    assert_eq!(ejected, Some(Absence::Ejected(soon)));
    absences.misplace(soon);
    assert_eq!(now(&absences), Some(Absence::Misplaced(soon)));
    absences.pause(SECOND, Instant::now());
    assert_eq!(now(&absences), Some(Absence::Paused(soon)));
    let cut = absences.now(Ready, false, None, Instant::now());
    assert_eq!(cut, Some(Absence::ZoneCut));
    let silent = absences.now(Suspect, false, None, Instant::now());
    assert_eq!(silent, Some(Absence::Suspect));
}

/// An endpoint crashes while many items wait for its pool: each refused connection costs a moment,
/// and a growing pause keeps the moments few.
#[tokio::test(start_paused = true)]
async fn an_endpoint_that_refuses_connections_is_left_at_once_and_tried_ever_less_often() {
    let mut absences = Absences::default();
    let start = Instant::now();
    let mut tries = 0;
    while start.elapsed() < 2 * SECOND {
        if now(&absences).is_none() {
            assert_eq!(absences.miss(Instant::now()), tries == 0);
            tries += 1;
        }
        advance(Duration::from_millis(10)).await;
    }
    assert!(tries <= 5, "{tries} calls in two seconds");
    absences.reach();
    assert_eq!(now(&absences), None);
}
