use std::{net::SocketAddr, time::Duration};

use link::{Identity, LinkConfig, Role};
use tokio::time::Instant;
use uuid::Uuid;

use super::Reporter;
use crate::{
    blocked_parts::{
        BlockedParts,
        messages::{CrashReport, PartRequest, ReportedCall},
    },
    fleet::Fleet,
    gates::Gates,
    metrics::Metrics,
};

/// Part of all requests.
const SHARED: u64 = 1;
/// Number of calls in a report; each has a part of its own that was answered well.
const CALLS: u64 = 60;
/// Number of crashes that are enough only where hardly any request is lost otherwise.
const FEW_CRASHES: u64 = 4;

/// A gate that has just started and has no links.
fn reporter() -> Reporter {
    Reporter {
        vm: "g0".to_owned(),
        parts: BlockedParts::new(Metrics::new().unwrap()),
        fleet: Fleet::default(),
        gates: Gates::new(LinkConfig::new(Identity {
            vm: "g0".to_owned(),
            az: "a".to_owned(),
            role: Role::Gate,
            incarnation: Uuid::nil(),
        })),
    }
}

/// What another gate tells of crash `number`, and when it last had good answers with the parts.
fn report(number: u64) -> CrashReport {
    let own_part = |call: u64| 1_000 * (number + 1) + call;
    CrashReport {
        endpoint: format!("e{number}"),
        service: "llm".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)),
        age: Duration::from_millis(500 * (FEW_CRASHES - number)),
        calls: (0..CALLS)
            .map(|call| ReportedCall {
                request: format!("r{number}-{call}"),
                parts: vec![SHARED, own_part(call)],
                has_begun: true,
            })
            .collect(),
        good: (0..CALLS)
            .map(|call| (own_part(call), Duration::from_secs(30)))
            .collect(),
    }
}

/// Guards against a gate that has just started and blames a part after a few crashes, since it
/// takes the good answers that another gate tells for many of its own.
#[tokio::test(start_paused = true)]
async fn good_answers_of_other_gates_are_no_answers_of_this_gate() {
    let reporter = reporter();
    for number in 0..FEW_CRASHES {
        let req = PartRequest::Crash(report(number));
        assert!(!reporter.answer(&link::encode(&req)).is_empty());
    }
    reporter.parts.update(|state| {
        let culprit = state.evidence.culprit(1, Instant::now());
        assert_eq!(culprit.map(|culprit| culprit.part), None);
        assert!(state.evidence.last_good(1_000).is_some());
    });
}
