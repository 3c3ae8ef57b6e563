//! Tests of finding the prompt part under which endpoints crash.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};
use routing::{Crash, CrashEvidence, Suspect};
use tokio::time::Instant;

const SYSTEM: u64 = 1;
const CULPRIT: u64 = 666;
const ENDPOINTS: usize = 9;

fn address(endpoint: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + endpoint as u16))
}

fn suspect(request: usize, parts: &[u64], has_begun: bool) -> Suspect {
    Suspect {
        request: format!("r{request}"),
        parts: parts.to_vec(),
        has_begun,
    }
}

fn crash(number: usize, endpoint: usize, at: Instant, suspects: Vec<Suspect>) -> Crash {
    Crash {
        endpoint: format!("e{endpoint}-{number}"),
        address: address(endpoint),
        at,
        suspects,
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Records good answers to other requests.
fn answer_well(evidence: &mut CrashEvidence, at: Instant) {
    for n in 0..600 {
        evidence.record_good(&[SYSTEM, 10_000 + n], at);
    }
}

fn part(evidence: &CrashEvidence, now: Instant) -> Option<u64> {
    evidence.culprit(ENDPOINTS, now).map(|culprit| culprit.part)
}

/// Guards against a part that crashes one endpoint after the other and is never found.
#[test]
fn a_part_common_to_three_crashes_and_never_answered_is_the_culprit() {
    let mut evidence = CrashEvidence::default();
    let start = Instant::now();
    answer_well(&mut evidence, start);
    for n in 0..3 {
        let at = start + ms(500 * (n as u64 + 1));
        let suspects = vec![
            suspect(n, &[SYSTEM, 100 + n as u64, CULPRIT], true),
            suspect(50 + n, &[SYSTEM, 200 + n as u64], true),
        ];
        assert_eq!(part(&evidence, at), None, "after {n} crashes");
        evidence.record_crash(crash(n, n, at, suspects));
    }
    let now = start + ms(1_600);
    let culprit = evidence.culprit(ENDPOINTS, now).unwrap();
    assert_eq!((culprit.part, culprit.crashes), (CULPRIT, 3));
    assert_eq!(culprit.requests, ["r0", "r1", "r2"]);
    evidence.explain(CULPRIT);
    assert_eq!(part(&evidence, now), None);
}

/// Guards against blaming a part that answers prove to be sound.
#[test]
fn a_good_answer_clears_a_part() {
    let mut evidence = CrashEvidence::default();
    let start = Instant::now();
    for n in 0..5 {
        let at = start + ms(300 * n as u64);
        evidence.record_crash(crash(n, n, at, vec![suspect(n, &[7], true)]));
        evidence.record_good(&[7], at + ms(50));
    }
    let now = start + ms(2_000);
    assert_eq!(part(&evidence, now), None);
    assert!(!evidence.is_suspect(&[7], now));
}

/// Guards against a rack that loses power, whose crashes all come at once, being taken for a series.
#[test]
fn crashes_at_the_same_moment_count_once() {
    let mut evidence = CrashEvidence::default();
    let at = Instant::now();
    for n in 0..8 {
        let at = at + ms(n as u64 * 3);
        evidence.record_crash(crash(n, n, at, vec![suspect(n, &[SYSTEM], true)]));
    }
    assert_eq!(part(&evidence, at + ms(100)), None);
    assert!(!evidence.is_suspect(&[SYSTEM], at + ms(100)));
}

/// Guards against one broken machine, whose endpoint crashes again and again, blaming a part.
#[test]
fn one_address_blames_nothing_while_there_are_others() {
    let mut evidence = CrashEvidence::default();
    let start = Instant::now();
    for n in 0..10 {
        let at = start + ms(500 * n as u64);
        evidence.record_crash(crash(n, 0, at, vec![suspect(n, &[7], true)]));
    }
    let now = start + ms(6_000);
    assert_eq!(part(&evidence, now), None);
    // A service with a single endpoint has no other one.
    assert_eq!(evidence.culprit(1, now).unwrap().part, 7);
}

/// Guards against one request that is tried again and again blaming its parts.
#[test]
fn one_request_counts_once() {
    let mut evidence = CrashEvidence::default();
    let start = Instant::now();
    for n in 0..8 {
        let at = start + ms(500 * n as u64);
        evidence.record_crash(crash(n, n, at, vec![suspect(1, &[7], true)]));
    }
    assert_eq!(part(&evidence, start + ms(5_000)), None);
}

/// Guards against reports of one crash from several gates counting as several crashes.
#[test]
fn reports_of_one_crash_are_merged() {
    let mut evidence = CrashEvidence::default();
    let at = Instant::now();
    for gate in 0..8 {
        let seen_at = at + ms(gate as u64 * 150);
        evidence.record_crash(crash(0, 0, seen_at, vec![suspect(gate, &[7], true)]));
    }
    assert_eq!(evidence.culprit(1, at + ms(1_500)), None);
}

/// Guards against a part that operators took back being blamed for what happened before.
#[test]
fn forgiven_parts_need_new_evidence() {
    let mut evidence = CrashEvidence::default();
    let start = Instant::now();
    answer_well(&mut evidence, start);
    let record = |evidence: &mut CrashEvidence, n: usize| {
        let at = start + ms(500 * n as u64);
        evidence.record_crash(crash(n, n % ENDPOINTS, at, vec![suspect(n, &[7], true)]));
        at
    };
    for n in 0..3 {
        record(&mut evidence, n);
    }
    evidence.explain(7);
    evidence.forgive(7);
    for n in 4..6 {
        let now = record(&mut evidence, n);
        assert_eq!(part(&evidence, now), None);
    }
    let now = record(&mut evidence, 6);
    assert_eq!(part(&evidence, now), Some(7));
}

/// A request in a simulation.
struct InFlight {
    id: usize,
    parts: Vec<u64>,
    endpoint: usize,
    begins_at: u64,
    ends_at: u64,
}

/// What a simulation did. Times are in milliseconds.
#[derive(Default)]
struct Summary {
    blocked: BTreeSet<u64>,
    /// Times of crashes by the culprit.
    crashes: Vec<u64>,
    /// Times at which requests with the culprit reached endpoints.
    sent: Vec<u64>,
}

/// Load of a simulation; rates are in requests or crashes per second.
struct Load {
    sound: f64,
    culprit: f64,
    random_crashes: f64,
    subjects: u64,
    seconds: u64,
}

/// Plays requests on endpoints that crash, with evidence as one gate collects it that sees all.
fn simulate(load: &Load, seed: u64) -> Summary {
    const STEP: u64 = 10;
    const DOWN: u64 = 3_000;
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut evidence = CrashEvidence::default();
    let mut up_at = [0_u64; ENDPOINTS];
    let mut in_flight: Vec<InFlight> = Vec::new();
    let mut summary = Summary::default();
    let mut next_id = 0;
    // Starts with a while of normal operation.
    for now in (0..load.seconds * 1_000).step_by(STEP as usize) {
        let has_culprit = now > 5_000;
        let at = start + ms(now);
        let mut arrive = |rate: f64, is_culprit: bool, rng: &mut StdRng| {
            if !rng.random_bool((rate * STEP as f64 / 1_000.0).min(1.0)) {
                return;
            }
            let mut parts = vec![SYSTEM, 1_000 + rng.random_range(0..load.subjects)];
            if is_culprit {
                parts.insert(rng.random_range(0..=parts.len()), CULPRIT);
            }
            let up: Vec<usize> = (0..ENDPOINTS).filter(|e| up_at[*e] <= now).collect();
            let is_blocked = parts.iter().any(|part| summary.blocked.contains(part));
            if up.is_empty() || is_blocked {
                return;
            }
            if is_culprit {
                summary.sent.push(now);
            }
            next_id += 1;
            let begins_at = now + rng.random_range(50..400);
            in_flight.push(InFlight {
                id: next_id,
                parts,
                endpoint: up[rng.random_range(0..up.len())],
                begins_at,
                ends_at: begins_at
                    + if is_culprit {
                        70
                    } else {
                        rng.random_range(50..600)
                    },
            });
        };
        arrive(load.sound, false, &mut rng);
        if has_culprit {
            arrive(load.culprit, true, &mut rng);
        }
        let mut crashed: BTreeSet<usize> = BTreeSet::new();
        for req in in_flight.iter().filter(|req| req.ends_at <= now) {
            match req.parts.contains(&CULPRIT) {
                true => {
                    crashed.insert(req.endpoint);
                    summary.crashes.push(now);
                }
                false => {
                    evidence.record_good(&req.parts, at);
                }
            }
        }
        in_flight.retain(|req| req.ends_at > now || req.parts.contains(&CULPRIT));
        if rng.random_bool((load.random_crashes * STEP as f64 / 1_000.0).min(1.0)) {
            crashed.insert(rng.random_range(0..ENDPOINTS));
        }
        for endpoint in crashed {
            let lost: Vec<InFlight> = in_flight
                .extract_if(.., |r| r.endpoint == endpoint)
                .collect();
            let suspects = lost
                .iter()
                .map(|r| suspect(r.id, &r.parts, r.begins_at <= now));
            up_at[endpoint] = now + DOWN;
            evidence.record_crash(Crash {
                endpoint: format!("e{endpoint}-{now}"),
                address: address(endpoint),
                at,
                suspects: suspects.collect(),
            });
            while let Some(culprit) = evidence.culprit(ENDPOINTS, at) {
                evidence.explain(culprit.part);
                summary.blocked.insert(culprit.part);
            }
        }
    }
    summary
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against sound parts that are blamed when endpoints crash for reasons of their own.
    #[test]
    fn random_crashes_blame_nothing(
        seed: u64,
        sound in 5.0..60.0,
        random_crashes in 0.1..3.0,
        subjects in 1_u64..150,
    ) {
        let load = Load { sound, culprit: 0.0, random_crashes, subjects, seconds: 40 };
        prop_assert_eq!(simulate(&load, seed).blocked, BTreeSet::new());
    }

    /// Guards against a culprit that is found late, and against sound parts blamed beside it.
    #[test]
    fn the_culprit_alone_is_found_in_time(
        seed: u64,
        sound in 10.0..60.0,
        culprit in 0.5..10.0,
        random_crashes in 0.0..0.5,
        subjects in 1_u64..150,
    ) {
        let load = Load { sound, culprit, random_crashes, subjects, seconds: 30 };
        let summary = simulate(&load, seed);
        let is_expected = |part: &u64| *part == CULPRIT;
        prop_assert!(summary.blocked.iter().all(is_expected), "blocked {:?}", summary.blocked);
        if let Some(fifth) = summary.crashes.get(4) {
            let late = summary.sent.iter().filter(|at| **at > fifth + 3_000).count();
            prop_assert!(late <= 3, "{late} more were sent");
        }
    }
}
