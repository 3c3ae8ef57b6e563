use std::time::Duration;

use tokio::time::Instant;

use super::{AssumedCold, CATCH_UP_TIME, MAX_ASSUMED, MAX_TABLE_AGE, TableContact};

const SECOND: Duration = Duration::from_secs(1);

fn confirmed(at: Instant) -> TableContact {
    let mut contact = TableContact::default();
    contact.record_confirmation(at, at);
    contact
}

/// Guards against endpoints that are limited after each lost connection although the keepers' table
/// says that they are warm.
#[test]
fn signs_say_nothing_while_the_table_is_current() {
    let now = Instant::now();
    let mut cold = AssumedCold::default();
    cold.record_restart_sign(confirmed(now), now + MAX_TABLE_AGE);
    cold.record_report(SECOND, confirmed(now), now);
    assert_eq!(cold.until(now), None);
}

/// Guards against a gate without contact that sends to a restarted endpoint as to a warm one.
#[test]
fn endpoint_is_assumed_cold_after_a_sign_without_contact() {
    let now = Instant::now();
    let late = now + MAX_TABLE_AGE + Duration::from_millis(1);
    let mut cold = AssumedCold::default();
    cold.record_restart_sign(confirmed(now), late);
    assert_eq!(cold.until(late), Some(late + MAX_ASSUMED));
    assert_eq!(cold.until(late + MAX_ASSUMED), None);
    let mut told = AssumedCold::default();
    told.record_report(2 * SECOND, TableContact::default(), now);
    assert_eq!(told.until(now), Some(now + 2 * SECOND));
    // A shorter report of another gate doesn't end it.
    told.record_report(SECOND, TableContact::default(), now);
    assert_eq!(told.until(now), Some(now + 2 * SECOND));
}

/// Guards against an assumption that ends before the table has the endpoint's cold time, and one that
/// later confirmations prolong.
#[test]
fn assumption_ends_once_the_table_has_caught_up() {
    let start = Instant::now();
    let mut contact = confirmed(start);
    let lost = start + 5 * SECOND;
    let mut cold = AssumedCold::default();
    cold.record_restart_sign(contact, lost);
    cold.apply_contact(contact, lost);
    assert_eq!(cold.until(lost), Some(lost + MAX_ASSUMED));
    let back = lost + SECOND;
    for step in 0..3 {
        let now = back + step * Duration::from_millis(700);
        contact.record_confirmation(now, now);
        cold.apply_contact(contact, now);
    }
    assert_eq!(cold.until(back), Some(back + CATCH_UP_TIME));
    assert_eq!(cold.until(back + CATCH_UP_TIME), None);
}
