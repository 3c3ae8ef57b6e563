use std::time::Duration;

use tokio::time::Instant;

use super::{MAX_CALLERS, RateShare, fraction};

fn gates(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("g{n}")).collect()
}

#[test]
fn shares_of_all_gates_add_up_to_the_rate() {
    for count in [1, 2, 3, 5, 33] {
        let gates = gates(count);
        for endpoint in ["e1", "e2", "e3"] {
            let shares = gates.iter().map(|gate| fraction(endpoint, gate, &gates));
            let shares: Vec<f64> = shares.filter(|share| *share > 0.0).collect();
            assert_eq!(shares.len(), count.min(MAX_CALLERS));
            assert!((shares.iter().sum::<f64>() - 1.0).abs() < 1e-9);
        }
    }
    // A gate that its own settings do not list counts as well.
    assert!((fraction("e1", "g9", &gates(1)) - 0.5).abs() < 1e-9);
}

#[test]
fn different_endpoints_have_different_callers() {
    let gates = gates(33);
    let names: Vec<String> = (0..200).map(|n| format!("e{n}")).collect();
    for gate in &gates {
        let with_share = |name: &&String| fraction(name, gate, &gates) > 0.0;
        assert!(names.iter().filter(with_share).count() > 5);
    }
}

#[test]
fn calls_follow_the_share() {
    let start = Instant::now();
    let share = RateShare::default();
    let mut sent = 0;
    for ms in 0..10_050_u64 {
        let now = start + Duration::from_millis(ms);
        if share.wait(2.0, now).is_zero() && share.try_take() {
            sent += 1;
        }
    }
    assert_eq!(sent, 20);
    assert!(!share.wait(2.0, start + Duration::from_secs(10)).is_zero());
    assert!(!share.wait(0.0, start).is_zero());
}
