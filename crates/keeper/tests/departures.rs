//! The replicated record of departures: order, bounds, and the state that a snapshot restores.

mod stamps;

use keeper::{Command, DEPARTURE_RETENTION, Departures, Entry, MAX_DEPARTURES, State};
use link::{
    decode, encode,
    keeper::{Departure, KeeperReply},
};
use proptest::{collection::vec, prelude::*};
use stamps::stamp;
use uuid::Uuid;

/// Start time of the tests, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_796_000_000_000;

fn departure(endpoint: impl ToString, generation: u8) -> Departure {
    Departure {
        endpoint: endpoint.to_string(),
        incarnation: Uuid::from_u128(u128::from(generation)),
    }
}

fn entry(now_ms: u64, departures: Vec<Departure>) -> Vec<u8> {
    let stamp = stamp(now_ms);
    let command = Command::Depart(departures);
    encode(&Entry { stamp, command })
}

#[test]
fn departures_survive_a_snapshot() {
    let mut state = State::default();
    for n in 0..300 {
        let bytes = entry(START_MS + n, vec![departure(n % 100, 1 + (n / 100) as u8)]);
        let reply = state.apply(n + 1, &bytes).reply;
        assert_eq!(
            decode::<KeeperReply>(&reply).unwrap(),
            KeeperReply::Departed
        );
    }
    let mut restored = State::restore(&state.snapshot()).unwrap();
    assert_eq!(restored, state);
    assert_eq!(restored.departures.len(), 100);
    assert!(restored.departures.covers(&departure(7, 3)));
    assert!(!restored.departures.covers(&departure(7, 4)));
    let next = entry(START_MS + 300, vec![departure(7, 4)]);
    assert_eq!(restored.apply(301, &next), state.apply(301, &next));
    assert_eq!(restored.departures, state.departures);
}

#[test]
fn oldest_departures_are_dropped_by_age_and_number() {
    let retention_ms = DEPARTURE_RETENTION.as_millis() as u64;
    let mut departures = Departures::default();
    departures.record(START_MS, &departure("first", 1));
    departures.record(START_MS + retention_ms - 1, &departure("second", 1));
    assert_eq!(departures.len(), 2);
    departures.record(START_MS + retention_ms, &departure("third", 1));
    assert!(!departures.covers(&departure("first", 1)));
    assert!(departures.covers(&departure("second", 1)));
    for n in 0..MAX_DEPARTURES {
        departures.record(START_MS + retention_ms, &departure(n, 1));
    }
    assert_eq!(departures.len(), MAX_DEPARTURES);
    assert!(!departures.covers(&departure("third", 1)));
    assert!(departures.covers(&departure(0, 1)));
}

proptest! {
    /// Whatever is recorded stays covered, and a reader that asks by version misses nothing.
    #[test]
    fn readers_by_version_know_every_departure(
        steps in vec((0_u8..8, 0_u8..4, any::<bool>()), 1..60),
    ) {
        let mut departures = Departures::default();
        let mut reader = Departures::default();
        let mut version = 0;
        let mut told: Vec<Departure> = Vec::new();
        for (endpoint, generation, reads) in steps {
            let departure = departure(endpoint, generation);
            departures.record(START_MS, &departure);
            told.push(departure);
            if reads {
                departures.since(version).for_each(|(_, d)| reader.record(START_MS, d));
                version = departures.version();
                prop_assert!(told.iter().all(|d| reader.covers(d)));
            }
            prop_assert!(told.iter().all(|d| departures.covers(d)));
        }
    }
}
