//! Property test: whatever happens among the gates, a cold endpoint gets no more than the bound.

use std::time::Duration;

use membership::ColdState;
use proptest::prelude::*;
use tokio::time::Instant;
use uuid::Uuid;

use crate::{BorrowedShares, CallPermission, Grant, Lender, Limiter, Permits};

const AZ: &str = "a";
const GATES: usize = 4;
const COLD_RATE: f64 = 9.1;
/// What an endpoint may get in any second: 1.5 times its rate, and 5.
const MAX_PER_SECOND: usize = 18;
const MILLISECOND: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u64),
    /// All gates hear that the endpoint stays cold for this long.
    Announce(u64),
    /// A gate calls the endpoint several times; another one grants permits, with the delays of the
    /// request and the reply. The reply may be lost.
    Call {
        gate: usize,
        granter: usize,
        calls: usize,
        there_ms: u64,
        back_ms: u64,
        is_lost: bool,
    },
    /// A gate borrows the shares of all others but one that it can't reach.
    Borrow {
        borrower: usize,
        unreachable: usize,
        there_ms: u64,
    },
    Restart(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let gate = 0..GATES;
    let call = (
        gate.clone(),
        gate.clone(),
        1..9_usize,
        0..90_u64,
        0..90_u64,
        any::<bool>(),
    );
    let step = prop_oneof![
        4 => (0..40_u64).prop_map(Step::Wait),
        1 => (100..4_000_u64).prop_map(Step::Announce),
        12 => call.prop_map(|(gate, granter, calls, there_ms, back_ms, is_lost)| Step::Call {
            gate, granter, calls, there_ms, back_ms, is_lost: is_lost && calls > 6,
        }),
        4 => (gate.clone(), gate.clone(), 0..200_u64).prop_map(|(borrower, unreachable, there_ms)| {
            Step::Borrow { borrower, unreachable, there_ms }
        }),
        1 => gate.prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..900)
}

struct Gate {
    permits: Permits,
    limiter: Limiter,
    lender: Lender,
    borrowed: BorrowedShares,
}

impl Gate {
    fn start(boot: Duration, cold: ColdState, now: Instant) -> Self {
        let mut permits = Permits::default();
        permits.record_cold(Some(cold), Some(COLD_RATE), now);
        Self {
            permits,
            limiter: Limiter::default(),
            lender: Lender::new(boot),
            borrowed: BorrowedShares::default(),
        }
    }

    fn grant(
        &mut self,
        n: usize,
        cold: Option<(f64, Instant)>,
        boot: Duration,
        now: Instant,
    ) -> Grant {
        let holders: Vec<String> = (0..GATES).map(|n| n.to_string()).collect();
        let has_own = self.lender.lend(AZ, &n.to_string(), boot);
        let fraction = self.borrowed.fraction(AZ, &holders, has_own, boot);
        self.limiter.set_cold("e", Uuid::nil(), cold, now);
        self.limiter.grant("e", fraction, now)
    }
}

/// Runs the steps and returns when the endpoint got calls while it was cold.
fn run(steps: &[Step]) -> Vec<Instant> {
    let start = Instant::now();
    // The gates have run for some time when the endpoint turns cold.
    let mut elapsed = Duration::from_secs(10);
    let mut cold = ColdState {
        seq: 1,
        until: start + elapsed + Duration::from_secs(3),
    };
    let mut gates: Vec<Gate> = (0..GATES)
        .map(|_| Gate::start(Duration::ZERO, cold, start))
        .collect();
    let mut sent = Vec::new();
    for step in steps {
        let now = start + elapsed;
        match *step {
            Step::Wait(ms) => elapsed += MILLISECOND * ms as u32,
            Step::Announce(ms) => {
                cold = ColdState {
                    seq: cold.seq + 1,
                    until: now + MILLISECOND * ms as u32,
                };
                for gate in &mut gates {
                    gate.permits.record_cold(Some(cold), Some(COLD_RATE), now);
                }
            }
            Step::Restart(n) => gates[n] = Gate::start(elapsed, cold, now),
            Step::Borrow {
                borrower,
                unreachable,
                there_ms,
            } => {
                let answered = elapsed + MILLISECOND * there_ms as u32;
                for lender in (0..GATES).filter(|n| *n != unreachable && *n != borrower) {
                    if gates[lender]
                        .lender
                        .lend(AZ, &borrower.to_string(), answered)
                    {
                        let name = lender.to_string();
                        gates[borrower].borrowed.record(AZ, &name, elapsed);
                    }
                }
                elapsed = answered;
            }
            Step::Call {
                gate,
                granter,
                calls,
                there_ms,
                back_ms,
                is_lost,
            } => {
                for _ in 0..calls {
                    let now = start + elapsed;
                    let permission = gates[gate].permits.try_take(now);
                    if permission == CallPermission::Needed {
                        let reported = gates[gate].permits.cold_limit(now);
                        elapsed += MILLISECOND * there_ms as u32;
                        let at = start + elapsed;
                        let grant = gates[granter].grant(granter, reported, elapsed, at);
                        elapsed += MILLISECOND * back_ms as u32;
                        let back = start + elapsed;
                        let permits = &mut gates[gate].permits;
                        match grant {
                            _ if is_lost => permits.refuse(back + 300 * MILLISECOND),
                            Grant::Permits(granted) => permits.grant(granted, now, back),
                            Grant::Refused(wait) => permits.refuse(back + wait),
                        }
                    }
                    let now = start + elapsed;
                    if gates[gate].permits.try_take(now) == CallPermission::Granted
                        || permission == CallPermission::Granted
                    {
                        sent.extend((now < cold.until).then_some(now));
                    }
                }
            }
        }
    }
    sent
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against several gates that each allow the whole rate of a cold endpoint, after losses
    /// of shares, restarts and announcements in any order.
    #[test]
    fn a_cold_endpoint_gets_no_more_than_the_bound_in_any_second(steps in steps()) {
        let sent = run(&steps);
        for (n, from) in sent.iter().enumerate() {
            let in_second = sent[n..].iter().take_while(|at| **at < *from + 1_000 * MILLISECOND);
            prop_assert!(in_second.count() <= MAX_PER_SECOND);
        }
    }
}

/// Guards against a property test that holds since nothing is ever sent.
#[test]
fn a_gate_with_all_shares_uses_the_rate() {
    let round = [
        Step::Borrow {
            borrower: 0,
            unreachable: 0,
            there_ms: 1,
        },
        Step::Call {
            gate: 1,
            granter: 0,
            calls: 1,
            there_ms: 1,
            back_ms: 1,
            is_lost: false,
        },
        Step::Wait(17),
    ];
    let sent = run(&round.repeat(140));
    assert!((20..=32).contains(&sent.len()), "{}", sent.len());
}
