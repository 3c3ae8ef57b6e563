//! Faults and the schedule that a seed determines.

use std::time::Duration;

use bench::{proxy::Cut, stand_in::Fault as EndpointFault};
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::topology::{GATE_ZONES, ProcessId, ZONES};

/// Time between the starts of two drawn faults, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 100..500;
/// Time between the starts of two drawn faults of the second series, in milliseconds.
const SECOND_INTERVAL_MS: std::ops::Range<u64> = 300..1_000;
/// Salt of the second series, so that it does not change the first one.
const SECOND_SERIES: u64 = 1 << 40;
/// Time for which a sound endpoint falls silent, in milliseconds.
const PAUSE_MS: u64 = 1_000;
/// Duration of a fault, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..2_500;
/// Number of endpoints in the fleet: three services in each zone.
const ENDPOINT_COUNT: usize = 9;

/// A fault and its target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// Links to the process pass no data in one or both directions, without a FIN or RST.
    LinkCut(ProcessId, Cut),
    /// Links to it are delayed.
    LinkSlow(ProcessId),
    /// Links to it are reset.
    LinkReset(ProcessId),
    /// Existing links to it stay open and pass no more data; new ones work.
    LinkSilent(ProcessId),
    /// The process is suspended with SIGSTOP.
    Freeze(ProcessId),
    /// The process is killed, then restarted.
    Kill(ProcessId),
    /// A gate receives SIGTERM, then is restarted.
    Stop(usize),
    /// A gate receives SIGTERM, is killed at the end if it still shuts down, and is restarted.
    KillStopping(usize),
    /// A keeper is killed, a partial record is appended to its log, and it is restarted.
    TearLog(usize),
    /// Connections to an endpoint pass no data in one or both directions.
    EndpointCut(usize, Cut),
    /// Connections to an endpoint are reset.
    EndpointReset(usize),
    /// An endpoint answers wrongly, late or not at all.
    EndpointMisbehaves(usize, EndpointFault),
    /// An endpoint is killed, then replaced by a new incarnation at the same address.
    EndpointRestart(usize),
    /// A keeper receives announcements that no endpoint would send.
    OddAnnouncements(usize),
}

/// A scheduled fault; times count from the start of the soak.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScheduledFault {
    pub(crate) starts_at: Duration,
    pub(crate) ends_at: Duration,
    pub(crate) fault: Fault,
}

/// Returns the faults of `seed` that start within `duration`, ordered by start: two series that
/// overlap.
pub(crate) fn schedule(seed: u64, duration: Duration) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    let rng = SmallRng::seed_from_u64(seed);
    add_series(&mut faults, duration, rng, FAULT_INTERVAL_MS, random_fault);
    let rng = SmallRng::seed_from_u64(seed ^ SECOND_SERIES);
    add_series(
        &mut faults,
        duration,
        rng,
        SECOND_INTERVAL_MS,
        random_second_fault,
    );
    faults.sort_by_key(|f| f.starts_at);
    faults
}

fn add_series(
    faults: &mut Vec<ScheduledFault>,
    duration: Duration,
    mut rng: SmallRng,
    interval_ms: std::ops::Range<u64>,
    random_fault: impl Fn(&mut SmallRng) -> Fault,
) {
    let mut starts_at = Duration::from_millis(rng.random_range(interval_ms.clone()));
    while starts_at < duration {
        let ends_at = starts_at + Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        let fault = random_fault(&mut rng);
        // At most one fault per process or endpoint at a time, and at most one of the three keepers
        // is affected at a time.
        let is_conflicting = |f: &ScheduledFault| {
            f.starts_at < ends_at && f.ends_at > starts_at && conflicts(f.fault, fault)
        };
        if !faults.iter().any(is_conflicting) {
            faults.push(ScheduledFault {
                starts_at,
                ends_at,
                fault,
            });
        }
        starts_at += Duration::from_millis(rng.random_range(interval_ms.clone()));
    }
}

/// Returns true if `a` and `b` must not overlap.
fn conflicts(a: Fault, b: Fault) -> bool {
    match (target(a), target(b)) {
        (
            FaultTarget::Process(ProcessId::Keeper(_)),
            FaultTarget::Process(ProcessId::Keeper(_)),
        ) => true,
        (a, b) => a == b,
    }
}

/// The process or endpoint that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultTarget {
    Process(ProcessId),
    Endpoint(usize),
    Announcements,
}

fn target(fault: Fault) -> FaultTarget {
    match fault {
        Fault::LinkCut(id, _)
        | Fault::LinkSlow(id)
        | Fault::LinkReset(id)
        | Fault::LinkSilent(id)
        | Fault::Freeze(id)
        | Fault::Kill(id) => FaultTarget::Process(id),
        Fault::Stop(gate) | Fault::KillStopping(gate) => {
            FaultTarget::Process(ProcessId::Gate(gate))
        }
        Fault::TearLog(keeper) => FaultTarget::Process(ProcessId::Keeper(keeper)),
        Fault::EndpointCut(n, _)
        | Fault::EndpointReset(n)
        | Fault::EndpointMisbehaves(n, _)
        | Fault::EndpointRestart(n) => FaultTarget::Endpoint(n),
        Fault::OddAnnouncements(_) => FaultTarget::Announcements,
    }
}

fn random_fault(rng: &mut SmallRng) -> Fault {
    let id = match rng.random_bool(0.4) {
        true => ProcessId::Keeper(rng.random_range(0..ZONES.len())),
        false => ProcessId::Gate(rng.random_range(0..GATE_ZONES.len())),
    };
    let endpoint = rng.random_range(0..ENDPOINT_COUNT);
    let cuts = [Cut::Both, Cut::ToUpstream, Cut::FromUpstream];
    let cut = *cuts.choose(rng).unwrap_or(&Cut::Both);
    let faults = [
        Fault::LinkCut(id, cut),
        Fault::LinkSlow(id),
        Fault::LinkReset(id),
        Fault::LinkSilent(id),
        Fault::Freeze(id),
        Fault::Kill(id),
        Fault::Stop(rng.random_range(0..GATE_ZONES.len())),
        Fault::TearLog(rng.random_range(0..ZONES.len())),
        Fault::EndpointCut(endpoint, cut),
        Fault::EndpointReset(endpoint),
        Fault::EndpointMisbehaves(endpoint, EndpointFault::CloseEarly),
        Fault::EndpointMisbehaves(endpoint, EndpointFault::Refuse),
        Fault::EndpointMisbehaves(endpoint, EndpointFault::WrongCallId),
        Fault::EndpointMisbehaves(endpoint, EndpointFault::Stall),
        Fault::EndpointMisbehaves(endpoint, EndpointFault::Slow(20.0)),
        Fault::EndpointRestart(endpoint),
    ];
    *faults.choose(rng).unwrap_or(&faults[0])
}

fn random_second_fault(rng: &mut SmallRng) -> Fault {
    let endpoint = rng.random_range(0..ENDPOINT_COUNT);
    let faults = [
        Fault::EndpointMisbehaves(endpoint, EndpointFault::Pause(PAUSE_MS)),
        Fault::KillStopping(rng.random_range(0..GATE_ZONES.len())),
        Fault::OddAnnouncements(rng.random_range(0..ZONES.len())),
    ];
    *faults.choose(rng).unwrap_or(&faults[0])
}
