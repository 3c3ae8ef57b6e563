use std::time::Duration;

use tokio::time::Instant;
use uuid::Uuid;

use super::{EngineCandidate, EngineTable, FirstEvent, PromptCall};
use crate::prefix_cache::PrefixPart;

const LONG: u32 = 9_190;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("e-{n}")).collect()
}

fn engine(name: &str) -> EngineCandidate<'_> {
    EngineCandidate {
        name,
        incarnation: Uuid::nil(),
        slots: 32,
        memory_tokens: None,
        is_local: true,
        extra_ms: 0.0,
    }
}

/// The parts of a prompt of [`LONG`] tokens about a subject.
fn parts(subject: u64, own: u64) -> [PrefixPart; 2] {
    [(subject, 6_300), (1_000 + own, LONG - 6_300)]
}

fn call(id: u64, parts: &[PrefixPart]) -> PromptCall<'_> {
    PromptCall {
        id,
        parts,
        tokens: parts.iter().map(|(_, tokens)| tokens).sum(),
        max_generated: 200,
    }
}

/// Draws that cover `0.0..1.0` evenly.
fn draw(n: u64) -> f64 {
    (n * 37 % 100) as f64 / 100.0
}

/// Guards against calls of several gates that pile up at one engine although others are idle.
#[test]
fn calls_of_all_gates_are_spread_over_the_engines() {
    let names = names(10);
    let engines: Vec<_> = names.iter().map(|name| engine(name)).collect();
    let (mut table, now) = (EngineTable::default(), Instant::now());
    let mut counts = [0; 10];
    for n in 0..40 {
        let gate = if n % 2 == 0 { "g-1" } else { "g-2" };
        let parts = parts(n, n);
        let choice = table.choose(gate, &call(n, &parts), &engines, draw(n), now);
        counts[choice.unwrap().index] += 1;
    }
    assert!(
        counts.iter().all(|count| (2..=6).contains(count)),
        "{counts:?}"
    );
}

/// Guards against a shared part that is read once in each zone although one engine could keep it.
#[test]
fn coordinators_of_all_zones_prefer_the_same_engine() {
    let names = names(12);
    for subject in 0..20 {
        let chosen = [0, 1, 2].map(|zone| {
            let engines = names.iter().enumerate().map(|(n, name)| EngineCandidate {
                is_local: n % 3 == zone,
                extra_ms: if n % 3 == zone { 0.0 } else { 8.0 },
                ..engine(name)
            });
            let engines: Vec<_> = engines.collect();
            let parts = parts(subject, 1);
            let mut table = EngineTable::default();
            let choice = table.choose("g", &call(1, &parts), &engines, 0.5, Instant::now());
            choice.unwrap().index
        });
        assert_eq!([chosen[0]; 3], chosen, "subject {subject}");
    }
}

/// Guards against a prompt whose shared part is read again although the engine that has it is idle.
#[test]
fn a_shared_part_is_found_where_it_was_read() {
    let names = names(10);
    let engines: Vec<_> = names.iter().map(|name| engine(name)).collect();
    let (mut table, now) = (EngineTable::default(), Instant::now());
    let first = table
        .choose("g-1", &call(1, &parts(7, 1)), &engines, 0.4, now)
        .unwrap();
    // The shared part may have been read there for another zone, which counts for nine tenths.
    assert_eq!(first.unread_tokens, u64::from(LONG) - 5_670);
    table.record_end("g-1", 1, now);
    let second = table
        .choose("g-2", &call(1, &parts(7, 2)), &engines, 0.9, now)
        .unwrap();
    assert_eq!((second.index, second.unread_tokens), (first.index, 2_890));
}

/// Guards against an engine whose memory overflows while another one has room, and against a request
/// that is rejected because no engine has.
#[test]
fn an_engine_without_memory_gets_a_call_only_if_no_other_has_memory() {
    let names = names(2);
    let mut engines: Vec<_> = names.iter().map(|name| engine(name)).collect();
    (engines[0].memory_tokens, engines[1].memory_tokens) = (Some(10_000), Some(100_000));
    engines[1].extra_ms = 3_000.0;
    let (mut table, now) = (EngineTable::default(), Instant::now());
    let mut choose = |n| {
        let parts = parts(n, n);
        let choice = table.choose("g", &call(n, &parts), &engines, 0.5, now);
        choice.unwrap().index
    };
    assert_eq!(choose(0), 0);
    let chosen: Vec<usize> = (1..=10).map(&mut choose).collect();
    assert_eq!(chosen, [1; 10]);
    // Now neither has room.
    assert_eq!(choose(11), 0);
}

/// Guards against engines that are persistently slow, or say that work takes long now, and get as much
/// as the others; and against an old report that counts as a new one.
#[test]
fn slow_engines_get_less() {
    let names = names(2);
    let engines: Vec<_> = names.iter().map(|name| engine(name)).collect();
    let (mut table, mut now) = (EngineTable::default(), Instant::now());
    let first = |took_ms, slowdown| FirstEvent {
        took_ms,
        slowdown,
        ..FirstEvent::default()
    };
    for n in 0..60 {
        now += Duration::from_millis(500);
        let parts = parts(n, n);
        let index = (n % 2) as usize;
        table.record_start("g", &call(n, &parts), &names[index], false, now);
        let took_ms = if index == 0 { 425.0 } else { 250.0 };
        table.record_first_event("g", n, &first(took_ms, None), now);
        table.record_end("g", n, now);
    }
    let mut expect = |id, now| {
        let parts = parts(id, id);
        let expected = [0, 1].map(|index: usize| {
            let only = &engines[index..=index];
            let choice = table
                .choose("g", &call(id, &parts), only, 0.5, now)
                .unwrap();
            table.record_end("g", id, now);
            choice.expected_ms
        });
        expected[0] / expected[1]
    };
    let ratio = expect(100, now);
    assert!((1.2..2.2).contains(&ratio), "{ratio}");

    let parts = parts(200, 200);
    table.record_start("g", &call(200, &parts), &names[1], false, now);
    table.record_first_event("g", 200, &first(250.0, Some(4.0)), now);
    table.record_end("g", 200, now);
    let mut expect = |id, now| {
        let only = &engines[1..=1];
        let choice = table
            .choose("g", &call(id, &parts), only, 0.5, now)
            .unwrap();
        table.record_end("g", id, now);
        choice.expected_ms
    };
    let (fresh, old) = (expect(201, now), expect(202, now + Duration::from_secs(3)));
    assert!(fresh > 2.5 * old, "{fresh} {old}");
}

/// Guards against calls that leave their zone for a small gain, and calls that stay in it at a high
/// cost.
#[test]
fn another_zone_is_chosen_only_for_a_gain_beyond_the_transfer() {
    let names = names(2);
    let mut engines: Vec<_> = names.iter().map(|name| engine(name)).collect();
    (engines[1].is_local, engines[1].extra_ms) = (false, 8.0);
    let (mut table, now) = (EngineTable::default(), Instant::now());
    // They share nothing, so no engine is preferred for them.
    let short = |id: u64| [(id, 150)];
    let report = FirstEvent {
        took_ms: 60.0,
        calls: Some(0),
        ..FirstEvent::default()
    };
    table.record_start("g", &call(1, &short(1)), "e-1", false, now);
    table.record_first_event("g", 1, &report, now);
    table.record_end("g", 1, now);
    for n in 2..4 {
        let choice = table.choose("g", &call(n, &short(n)), &engines, 0.99, now);
        assert_eq!(choice.unwrap().index, 0);
    }
    for n in 10..14 {
        let parts = parts(n, n);
        table.record_start("g", &call(n, &parts), "e-0", false, now);
    }
    let parts = parts(20, 20);
    let choice = table.choose("g", &call(20, &parts), &engines, 0.5, now);
    assert_eq!(choice.unwrap().index, 1);
}

/// Guards against calls of a gate that is gone, or that was told an endpoint too late and chose another
/// one, which keep counting at an engine.
#[test]
fn calls_that_moved_or_whose_gate_is_gone_no_longer_count() {
    let names = names(2);
    let engines: Vec<_> = names.iter().map(|name| engine(name)).collect();
    let (mut table, now) = (EngineTable::default(), Instant::now());
    let parts = parts(1, 1);
    let choice = table.choose("g", &call(1, &parts), &engines, 0.0, now);
    let (chosen, other) = (choice.unwrap().index, 1 - choice.unwrap().index);
    table.record_start("g", &call(1, &parts), &names[other], false, now);
    assert_eq!(table.sizes().calls, 1);
    assert_eq!(table.engines[&names[chosen]].calls, 0);
    assert_eq!(table.engines[&names[other]].calls, 1);
    table.retain_gates(|gate| gate != "g", now);
    assert_eq!(table.sizes().calls, 0);
    for engine in table.engines.values() {
        assert_eq!((engine.calls, engine.memory_in_use()), (0, 0));
        assert!(engine.queued_tokens(0.02, now).abs() < f64::EPSILON);
    }
    // Late reports of it change nothing.
    table.record_first_event("g", 1, &FirstEvent::default(), now);
    table.record_end("g", 1, now);
    assert_eq!(table.sizes().calls, 0);
}
