mod unrelated_crashes;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};
use routing::{Crash, Suspect};
use tokio::time::Instant;

use super::{BlockedParts, State, part_name};
use crate::{
    incoming::{IncomingRequest, Prompt},
    metrics::Metrics,
};

/// Number of gates.
const GATES: usize = 3;
/// Number of endpoints.
const ENDPOINTS: usize = 9;
/// Length of one step of the model.
const STEP: Duration = Duration::from_millis(20);
/// Steps between the start of a response and the crash that it causes.
const CRASH_STEPS: u32 = 3;
/// Steps between a crash and the next start.
const DOWN_STEPS: u32 = 100;
/// Steps that a sound call takes.
const CALL_STEPS: u32 = 10;
/// Part of all requests.
const SHARED: u64 = 1;
/// Part that crashes endpoints.
const CRASHING: u64 = 2;
/// Most crashes under the part until it is blocked.
const MAX_CRASHES: usize = 16;

#[derive(Clone, Debug)]
struct Call {
    id: u64,
    gate: usize,
    parts: Vec<u64>,
    ends_at: u32,
}

#[derive(Clone, Debug, Default)]
struct Endpoint {
    starts: u32,
    down_until: u32,
    calls: Vec<Call>,
}

/// Gates with their state, and endpoints, on a clock of steps.
struct Model {
    started_at: Instant,
    step: u32,
    next_id: u64,
    gates: Vec<State>,
    endpoints: Vec<Endpoint>,
    crashes: usize,
}

impl Model {
    fn new() -> Self {
        Self {
            started_at: Instant::now(),
            step: 0,
            next_id: 0,
            gates: (0..GATES).map(|_| State::default()).collect(),
            endpoints: vec![Endpoint::default(); ENDPOINTS],
            crashes: 0,
        }
    }

    fn now(&self) -> Instant {
        self.started_at + STEP * self.step
    }

    fn is_blocked(&self, gate: usize, parts: &[u64]) -> bool {
        let blocked = self.gates[gate].list.in_force();
        parts.iter().any(|part| blocked.contains_key(part))
    }

    /// Sends a request with `parts` from `gate` unless it is refused.
    fn send(&mut self, gate: usize, endpoint: usize, parts: Vec<u64>) {
        let is_up = self.endpoints[endpoint].down_until <= self.step;
        if self.is_blocked(gate, &parts) || !is_up {
            return;
        }
        self.next_id += 1;
        let steps = match parts.contains(&CRASHING) {
            true => CRASH_STEPS,
            false => CALL_STEPS,
        };
        let call = Call {
            id: self.next_id,
            gate,
            parts,
            ends_at: self.step + steps,
        };
        self.endpoints[endpoint].calls.push(call);
    }

    /// Ends the calls that are due; crashes endpoints under the part.
    fn advance(&mut self) {
        self.step += 1;
        let now = self.now();
        for index in 0..ENDPOINTS {
            let step = self.step;
            let calls = std::mem::take(&mut self.endpoints[index].calls);
            let (due, open): (Vec<Call>, Vec<Call>) =
                calls.into_iter().partition(|call| call.ends_at <= step);
            if due.iter().any(|call| call.parts.contains(&CRASHING)) {
                let all: Vec<Call> = due.into_iter().chain(open).collect();
                self.crash(index, &all);
                continue;
            }
            self.endpoints[index].calls = open;
            for call in due {
                self.gates[call.gate].record_good(&call.parts, now);
            }
        }
    }

    /// Crashes an endpoint with `calls` in flight; each gate tells its calls to all others.
    fn crash(&mut self, index: usize, calls: &[Call]) {
        let now = self.now();
        self.crashes += 1;
        let endpoint = &mut self.endpoints[index];
        let name = format!("e-{index}/{}", endpoint.starts);
        endpoint.starts += 1;
        endpoint.down_until = self.step + DOWN_STEPS;
        endpoint.calls.clear();
        let mut by_gate: BTreeMap<usize, Vec<Suspect>> = BTreeMap::new();
        for call in calls {
            by_gate.entry(call.gate).or_default().push(Suspect {
                request: call.id.to_string(),
                parts: call.parts.clone(),
                has_begun: true,
            });
        }
        for (sender, suspects) in by_gate {
            let parts: BTreeSet<u64> = suspects.iter().flat_map(|s| s.parts.clone()).collect();
            let good = parts.into_iter().filter_map(|part| {
                let at = self.gates[sender].evidence.last_good(part)?;
                Some((part, at))
            });
            let good: Vec<(u64, Instant)> = good.collect();
            let crash = Crash {
                endpoint: name.clone(),
                address: SocketAddr::from(([127, 0, 0, 1], index as u16 + 1)),
                at: now,
                suspects,
            };
            for gate in 0..GATES {
                let evidence = &mut self.gates[gate].evidence;
                for (part, at) in &good {
                    evidence.record_good(&[*part], *at);
                }
                evidence.record_crash(crash.clone());
                self.decide(gate);
            }
        }
    }

    /// Lets `gate` ask the others and block what it finds; tells the others.
    fn decide(&mut self, gate: usize) {
        let now = self.now();
        let Some(culprit) = self.gates[gate].evidence.culprit(ENDPOINTS, now) else {
            return;
        };
        let part = culprit.part;
        let others = self.gates.iter().map(|g| g.evidence.last_good(part));
        if let Some(at) = others.flatten().max() {
            let evidence = &mut self.gates[gate].evidence;
            evidence.record_good(&[part], at);
        }
        let confirmed = self.gates[gate].evidence.culprit(ENDPOINTS, now);
        let Some(confirmed) = confirmed.filter(|culprit| culprit.part == part) else {
            return;
        };
        self.gates[gate].block(confirmed, "chat", &format!("gate-{gate}"), now);
        let view = self.gates[gate].list.view(now);
        for other in &mut self.gates {
            other.list.merge(view.clone(), now);
            other.apply_changes();
        }
    }

    fn blocked_parts(&self) -> BTreeSet<u64> {
        let lists = self.gates.iter().map(|gate| gate.list.in_force());
        lists
            .flat_map(std::collections::HashMap::into_keys)
            .collect()
    }
}

/// A sound prompt: the shared part, and one of several further parts.
fn sound_parts(rng: &mut impl Rng) -> Vec<u64> {
    vec![SHARED, 100 + rng.random_range(0..5_u64)]
}

/// A prompt with the part that crashes endpoints at any place.
fn crashing_parts(rng: &mut impl Rng) -> Vec<u64> {
    let mut parts = sound_parts(rng);
    let place = rng.random_range(0..=parts.len());
    parts.insert(place, CRASHING);
    parts
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against a part that goes on to crash endpoints, and against blame of the parts that
    /// sound requests share with it.
    #[test]
    fn the_crashing_part_is_blocked_everywhere_and_no_other(seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut model = Model::new();
        for step in 0..1_000_u32 {
            for gate in 0..GATES {
                let endpoint = rng.random_range(0..ENDPOINTS);
                let parts = sound_parts(&mut rng);
                model.send(gate, endpoint, parts);
                if step > 100 && rng.random_bool(0.1) {
                    let endpoint = rng.random_range(0..ENDPOINTS);
                    let parts = crashing_parts(&mut rng);
                    model.send(gate, endpoint, parts);
                }
            }
            model.advance();
            let blocked = model.blocked_parts();
            prop_assert!(
                blocked.iter().all(|part| *part == CRASHING),
                "blocked: {:?}", blocked.iter().map(|p| part_name(*p)).collect::<Vec<_>>()
            );
        }
        for gate in 0..GATES {
            prop_assert!(model.is_blocked(gate, &[CRASHING]));
        }
        prop_assert!(model.crashes <= MAX_CRASHES, "{} crashes", model.crashes);
    }

    /// Guards against blame of parts when endpoints crash whatever their requests are.
    #[test]
    fn endpoints_that_crash_at_random_block_nothing(seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut model = Model::new();
        for _ in 0..1_000_u32 {
            for gate in 0..GATES {
                let endpoint = rng.random_range(0..ENDPOINTS);
                let parts = sound_parts(&mut rng);
                model.send(gate, endpoint, parts);
            }
            let index = rng.random_range(0..ENDPOINTS);
            let calls = model.endpoints[index].calls.clone();
            if rng.random_bool(0.03) && !calls.is_empty() {
                model.crash(index, &calls);
            }
            model.advance();
            prop_assert!(model.blocked_parts().is_empty());
        }
    }
}

/// Guards against a block that stays although an endpoint answers a request with the part.
#[test]
fn a_good_response_ends_the_block_of_its_parts() {
    let mut model = Model::new();
    let mut rng = SmallRng::seed_from_u64(1);
    for step in 0..1_000 {
        let parts = match step % 10 {
            0 => crashing_parts(&mut rng),
            _ => sound_parts(&mut rng),
        };
        let endpoint = rng.random_range(0..ENDPOINTS);
        model.send(0, endpoint, parts);
        model.advance();
    }
    assert!(model.is_blocked(0, &[CRASHING]));
    let now = model.now() + STEP;
    let state = &mut model.gates[0];
    state.record_good(&[CRASHING], now);
    state.apply_changes();
    assert!(!state.list.in_force().contains_key(&CRASHING));
    assert_eq!(state.list.proposed_withdrawals(), [CRASHING]);
}

fn incoming(prompt: Option<Prompt>) -> IncomingRequest {
    IncomingRequest {
        id: "r".to_owned(),
        method: Method::POST,
        host: "h".to_owned(),
        target: "/".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        key: None,
        timeout: None,
        received_at: Instant::now(),
        prompt,
        items: Vec::new(),
        item_key: None,
        last_event_id: None,
    }
}

/// Guards against a gate that has just started and serves requests with a part that it does not know
/// to be blocked.
#[test]
fn a_gate_without_a_list_knows_no_part() {
    let parts = BlockedParts::new(Metrics::new().unwrap());
    let with_prompt = incoming(Some(Prompt::new(
        "m",
        10,
        1,
        [("a", 5), ("b", 5)].into_iter(),
    )));
    assert!(parts.is_unknown(&with_prompt));
    assert!(!parts.is_unknown(&incoming(None)));
    parts.set_loaded();
    assert!(!parts.is_unknown(&with_prompt));
}
