//! One soak: start, faults while callers and an operator go on, healing, the last checks.

use std::{path::Path, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    callers::{CALLER_COUNT, Callers, Kind},
    faults::{Fault, ProcessId, ScheduledFault, schedule},
    fleet::Fleet,
    operator::{self, RevocationTime},
    results::{Results, Violation},
};

/// Bound on everything that has to happen once nothing is at fault.
const RECOVERY: Duration = Duration::from_secs(25);
/// Time after a gate's fault for which it need not answer in time.
const AFTER_FAULT: Duration = Duration::from_secs(3);
/// Time for what is under way at the end to settle.
const SETTLE: Duration = Duration::from_millis(500);
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// Parameters of one soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakConfig {
    /// Seed of the fault schedule and of the callers' requests.
    pub seed: u64,
    /// Time during which faults start.
    pub fault_duration: Duration,
    /// If true, late and missing responses are violations. Off where a busy machine may delay them.
    pub check_latency: bool,
}

/// Which gates are undisturbed when.
#[derive(Clone, Debug)]
pub(crate) struct FaultTimeline {
    start: Instant,
    faults: Arc<Vec<ScheduledFault>>,
}

impl FaultTimeline {
    /// Whether `gate` had no fault of its own from `since` to `until`.
    pub(crate) fn is_undisturbed(&self, gate: usize, since: Instant, until: Instant) -> bool {
        let is_its = |f: &&ScheduledFault| match f.fault {
            Fault::Freeze(id) | Fault::Kill(id) => id == ProcessId::Gate(gate),
            Fault::Stop(of) => of == gate,
            _ => false,
        };
        let meets = |f: &ScheduledFault| {
            self.start + f.starts_at <= until && since <= self.start + f.ends_at + AFTER_FAULT
        };
        !self.faults.iter().filter(is_its).any(meets)
    }
}

/// Runs `cfg` with its files in `work`; gives a line that sums it up and what was broken.
pub async fn run(cfg: SoakConfig, work: &Path) -> eyre::Result<(String, Vec<Violation>)> {
    let mut fleet = Fleet::start(work, cfg.seed).await?;
    operator::submit_first(fleet.keeper_addresses(), RECOVERY).await?;
    let faults = Arc::new(schedule(cfg.seed, cfg.fault_duration));
    let results = Arc::new(Results::default());
    let revocation_time = RevocationTime::default();
    let mut callers = Callers {
        seed: cfg.seed,
        gate_addresses: fleet.gate_addresses(),
        results: Arc::clone(&results),
        check_latency: cfg.check_latency,
        timeline: FaultTimeline {
            start: Instant::now(),
            faults: Arc::default(),
        },
        revocation_time: revocation_time.clone(),
        bookings: Arc::default(),
    };
    wait_until_served(&callers, cfg.seed, &results, "start").await;
    let start = Instant::now();
    callers.timeline = FaultTimeline {
        start,
        faults: Arc::clone(&faults),
    };
    let end = start + cfg.fault_duration;
    let mut asking = JoinSet::new();
    for caller in 0..CALLER_COUNT {
        asking.spawn(callers.clone().send_until(caller, end));
    }
    let revoke_after = start + cfg.fault_duration / 2;
    let changing =
        operator::submit_until(fleet.keeper_addresses(), revoke_after, end, revocation_time);
    let changing = tokio::spawn(changing);
    inject_faults(&mut fleet, start, &faults).await?;
    sleep_until(end).await;
    asking.join_all().await;
    let acknowledged = changing.await?;
    sleep(SETTLE).await;
    wait_until_served(&callers, cfg.seed, &results, "end").await;
    let operators = fleet.keeper_addresses();
    acknowledged.check(operators, &results, RECOVERY).await;
    check_booked(&fleet, &callers, &results);
    let count = |n: &std::sync::atomic::AtomicU64| n.load(std::sync::atomic::Ordering::Relaxed);
    let summary = format!(
        "seed {}: {} faults in {:?}, {} served, {} refused, {} failed, {} changes",
        cfg.seed,
        faults.len(),
        cfg.fault_duration,
        count(&results.served),
        count(&results.refused),
        count(&results.failed),
        acknowledged.count(),
    );
    Ok((summary, results.violations()))
}

/// Begins and ends the faults at their times.
async fn inject_faults(
    fleet: &mut Fleet,
    start: Instant,
    faults: &[ScheduledFault],
) -> eyre::Result<()> {
    let begins = faults.iter().map(|f| (f.starts_at, true, f.fault));
    let ends = faults.iter().map(|f| (f.ends_at, false, f.fault));
    let mut steps: Vec<_> = begins.chain(ends).collect();
    steps.sort_by_key(|(at, begins, _)| (*at, *begins));
    for (at, begins, fault) in steps {
        sleep_until(start + at).await;
        match begins {
            true => fleet.start_fault(fault).await?,
            false => fleet.end_fault(fault).await?,
        }
    }
    Ok(())
}

/// Waits until every gate serves every kind of request.
async fn wait_until_served(callers: &Callers, run: u64, results: &Results, moment: &str) {
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(run);
    for gate in 0..callers.gate_addresses.len() {
        for kind in Kind::ALL {
            loop {
                let id = format!("{run}-{moment}-{gate}-{}", rng.random::<u32>());
                if callers.is_served(gate, kind, &id).await {
                    break;
                }
                if start.elapsed() > RECOVERY {
                    let seen = format!("{kind:?} at gate {gate} at the {moment}");
                    return results.record("without faults everything is served", seen);
                }
                sleep(LOOK_AGAIN).await;
            }
        }
    }
}

/// Requests that may not be repeated ran once at most, and those refused not at all.
fn check_booked(fleet: &Fleet, callers: &Callers, results: &Results) {
    let bookings = callers
        .bookings
        .lock()
        .expect("no holder of this lock panics");
    for booking in bookings.iter() {
        let runs = fleet.execution_count("desk", &booking.id);
        let seen = || {
            format!(
                "{} was told {:?} and ran {runs} times",
                booking.id, booking.status
            )
        };
        match booking.status {
            _ if runs > 1 => results.record("no booking runs twice", seen()),
            Some(503) if runs > 0 => results.record("what was refused did not run", seen()),
            Some(200) if runs == 0 => results.record("what was answered did run", seen()),
            _ => {}
        }
    }
}
