use std::{sync::Arc, time::Duration};

use bench::processes::Signal;
use rustix::process::{Pid, kill_process};
use tokio::time::{Instant, sleep, timeout};

use super::inject_faults;
use crate::{
    faults::{Fault, ScheduledFault},
    fleet::Fleet,
    results::Results,
    topology::ProcessId,
};

/// Limit of all waits.
const LONG: Duration = Duration::from_mins(1);

fn at_ms(starts_at: u64, ends_at: u64, fault: Fault) -> ScheduledFault {
    ScheduledFault {
        starts_at: Duration::from_millis(starts_at),
        ends_at: Duration::from_millis(ends_at),
        fault,
    }
}

/// Guards against a gate that takes long to exit and holds up all other faults, so that they happen at
/// times at which the checks do not expect them.
#[tokio::test(flavor = "multi_thread")]
async fn a_gate_that_exits_late_does_not_hold_up_other_faults() {
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = Fleet::start(folder.path(), 1).await.unwrap();
    let slow_gate = fleet.process(ProcessId::Gate(0)).role.as_ref().unwrap();
    let pid = Pid::from_raw(slow_gate.id()).unwrap();
    kill_process(pid, Signal::STOP).unwrap();
    let faults = [
        at_ms(0, 1, Fault::Stop(0)),
        at_ms(2, 3, Fault::Kill(ProcessId::Gate(1))),
    ];
    let (results, gate_faults) = (Arc::new(Results::default()), fleet.gate_faults.clone());
    let injecting = inject_faults(&mut fleet, Instant::now(), &faults, &results);
    let continue_after_other_fault = async {
        let now = Instant::now();
        while gate_faults.is_undisturbed(1, now, Instant::now()) {
            sleep(Duration::from_millis(5)).await;
        }
        kill_process(pid, Signal::CONT).unwrap();
    };
    let both = async { tokio::join!(injecting, continue_after_other_fault).0 };
    timeout(LONG, both).await.unwrap().unwrap();
    fleet.check_processes(&results).unwrap();
    assert_eq!(results.violations(), []);
}

/// Guards against a process that ends by itself and is noticed only by its failed requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_ends_by_itself_is_a_violation() {
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = Fleet::start(folder.path(), 1).await.unwrap();
    let gate = fleet.process_mut(ProcessId::Gate(2)).role.as_mut().unwrap();
    gate.kill().await.unwrap();
    let results = Arc::new(Results::default());
    let faults = [at_ms(0, 1, Fault::Freeze(ProcessId::Gate(2)))];
    let injected = inject_faults(&mut fleet, Instant::now(), &faults, &results).await;
    injected.unwrap();
    fleet.check_processes(&results).unwrap();
    let violations = results.violations();
    let details: Vec<&str> = violations.iter().map(|v| v.details.as_str()).collect();
    assert_eq!(details, ["gate-2: signal: 9 (SIGKILL)"]);
    let states = fleet.process_states();
    let is_dead = |line: &&String| line.contains("ended, signal: 9 (SIGKILL)");
    assert_eq!(states.iter().filter(is_dead).count(), 1, "{states:?}");
}
