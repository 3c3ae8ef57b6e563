use std::time::Duration;

use proptest::prelude::*;

use super::{BorrowedShares, LOAN_DURATION, Lender, START_DELAY};

const AZ: &str = "a";
const MILLISECOND: Duration = Duration::from_millis(1);

#[test]
fn a_share_is_lent_to_one_gate_at_a_time() {
    let mut lender = Lender::new(Duration::ZERO);
    let now = START_DELAY;
    assert!(lender.lend(AZ, "g1", now));
    let shortly_before = now + (LOAN_DURATION.saturating_sub(MILLISECOND));
    assert!(!lender.lend(AZ, "g2", shortly_before));
    // The borrower may renew it at any time.
    assert!(lender.lend(AZ, "g1", shortly_before));
    assert!(!lender.lend(AZ, "g2", now + LOAN_DURATION));
    assert!(lender.lend(AZ, "g2", now + 2 * LOAN_DURATION));
    // Each zone has shares of its own.
    assert!(lender.lend("b", "g1", now + 2 * LOAN_DURATION));
}

/// A gate that was restarted does not know to whom it lent its share before.
#[test]
fn a_gate_that_just_started_does_not_lend() {
    let mut lender = Lender::new(Duration::from_hours(1));
    let now = Duration::from_hours(1);
    assert!(!lender.lend(AZ, "g1", now));
    assert!(!lender.lend(AZ, "g1", now + START_DELAY.saturating_sub(MILLISECOND)));
    assert!(lender.lend(AZ, "g1", now + START_DELAY));
    assert!(LOAN_DURATION < START_DELAY);
}

#[test]
fn too_few_shares_are_not_used() {
    let holders: Vec<String> = (0..8).map(|n| format!("g{n}")).collect();
    let mut shares = BorrowedShares::default();
    let fraction = |shares: &BorrowedShares| shares.fraction(AZ, &holders, true, Duration::ZERO);
    assert!(fraction(&shares) <= 0.0);
    shares.record(AZ, "g1", Duration::ZERO);
    assert!((fraction(&shares) - 0.25).abs() < 1e-9);
    // A gate that holds no share of the zone adds nothing.
    shares.record(AZ, "another", Duration::ZERO);
    assert!((fraction(&shares) - 0.25).abs() < 1e-9);
    assert!(shares.fraction(AZ, &holders, true, LOAN_DURATION) <= 0.0);
}

/// What happens in a zone of gates.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Wait(u64),
    /// A gate asks another one for its share; the request and the reply take this long. The reply
    /// may be lost.
    Borrow {
        borrower: usize,
        lender: usize,
        there_ms: u64,
        back_ms: u64,
        is_lost: bool,
    },
    /// A gate is restarted.
    Restart(usize),
}

const GATES: usize = 5;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0_u64..900).prop_map(Step::Wait),
        6 => (0..GATES, 0..GATES, 0_u64..1_000, 0_u64..1_000, any::<bool>()).prop_map(
            |(borrower, lender, there_ms, back_ms, is_lost)| Step::Borrow {
                borrower, lender, there_ms, back_ms, is_lost,
            }
        ),
        1 => (0..GATES).prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    /// Whoever borrows from whom, however slow the links are and whoever is restarted: at no time
    /// are more shares in use than there are.
    #[test]
    fn shares_in_use_never_exceed_one(steps in steps()) {
        let holders: Vec<String> = (0..GATES).map(|n| format!("g{n}")).collect();
        let mut now = Duration::from_secs(10);
        let mut lenders: Vec<Lender> = (0..GATES).map(|_| Lender::new(Duration::ZERO)).collect();
        let mut borrowed: Vec<BorrowedShares> =
            (0..GATES).map(|_| BorrowedShares::default()).collect();
        for step in steps {
            match step {
                Step::Wait(ms) => now += Duration::from_millis(ms),
                Step::Borrow { borrower, lender, there_ms, back_ms, is_lost }
                    if borrower != lender =>
                {
                    let requested_at = now;
                    now += Duration::from_millis(there_ms);
                    let is_lent = lenders[lender].lend(AZ, &holders[borrower], now);
                    now += Duration::from_millis(back_ms);
                    if is_lent && !is_lost {
                        borrowed[borrower].record(AZ, &holders[lender], requested_at);
                    }
                }
                Step::Borrow { .. } => {}
                Step::Restart(gate) => {
                    lenders[gate] = Lender::new(now);
                    borrowed[gate] = BorrowedShares::default();
                }
            }
            // Every gate that has shares uses them, and its own one.
            let used: f64 = (0..GATES)
                .map(|gate| {
                    let has_own = lenders[gate].lend(AZ, &holders[gate], now);
                    borrowed[gate].fraction(AZ, &holders, has_own, now)
                })
                .sum();
            prop_assert!(used <= 1.0 + 1e-9, "{used} of the shares are in use");
        }
    }
}
