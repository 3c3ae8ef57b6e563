//! Runs one soak: start-up, faults while callers and an operator are active, recovery, final checks.

use std::{path::Path, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    callers::{CALLER_COUNT, Callers, Kind},
    faults::schedule,
    fleet::Fleet,
    injection::inject_faults,
    operator::{self, RevocationTime},
    results::{Results, Violation},
};

/// Time within which the system must recover once no fault is active.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(25);
/// Time for requests and changes in progress at the end to finish.
const SETTLE_DELAY: Duration = Duration::from_millis(500);
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Parameters of one soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakConfig {
    /// Seed of every random choice: faults, requests, proxies and endpoints.
    pub seed: u64,
    /// Time during which faults start.
    pub fault_duration: Duration,
    /// If true, late and missing answers of undisturbed gates are violations. Leave it off on a busy
    /// machine, which may make answers late.
    pub check_latency: bool,
}

/// What one soak observed.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// One line with the counts.
    pub summary: String,
    /// The violations, oldest first.
    pub violations: Vec<Violation>,
    /// A line for each process at the end: whether it runs, how it ended, the last line of its log.
    pub processes: Vec<String>,
}

/// Runs one soak with its settings, data and logs in `work`. An error means that the soak itself could
/// not run.
pub async fn run(cfg: SoakConfig, work: &Path) -> eyre::Result<Outcome> {
    let mut fleet = Fleet::start(work, cfg.seed).await?;
    operator::submit_first(fleet.keeper_addresses(), RECOVERY_TIMEOUT).await?;
    let faults = schedule(cfg.seed, cfg.fault_duration);
    let results = Arc::new(Results::default());
    let revocation_time = RevocationTime::default();
    let callers = Callers {
        seed: cfg.seed,
        gate_addresses: fleet.gate_addresses(),
        results: Arc::clone(&results),
        check_latency: cfg.check_latency,
        gate_faults: fleet.gate_faults.clone(),
        revocation_time: revocation_time.clone(),
        bookings: Arc::default(),
    };
    wait_until_served(&callers, cfg.seed, &results, "start").await;
    fleet.name_limits();
    let start = Instant::now();
    let end = start + cfg.fault_duration;
    let mut caller_tasks = JoinSet::new();
    for caller in 0..CALLER_COUNT {
        caller_tasks.spawn(callers.clone().send_until(caller, end));
    }
    let revoke_after = start + cfg.fault_duration / 2;
    let operator_task =
        operator::submit_until(fleet.keeper_addresses(), revoke_after, end, revocation_time);
    let operator_task = tokio::spawn(operator_task);
    inject_faults(&mut fleet, start, &faults, &results).await?;
    sleep_until(end).await;
    caller_tasks.join_all().await;
    let acknowledged = operator_task.await?;
    sleep(SETTLE_DELAY).await;
    wait_until_served(&callers, cfg.seed, &results, "end").await;
    let keepers = fleet.keeper_addresses();
    acknowledged
        .check(keepers, &results, RECOVERY_TIMEOUT)
        .await;
    check_bookings(&fleet, &callers, &results);
    fleet.check_limits(&results);
    fleet.check_processes(&results)?;
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
    Ok(Outcome {
        summary,
        violations: results.violations(),
        processes: fleet.process_states(),
    })
}

/// Waits until every gate serves every kind of request; records a violation after
/// [`RECOVERY_TIMEOUT`].
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
                if start.elapsed() > RECOVERY_TIMEOUT {
                    let details = format!("{kind:?} at gate {gate} at the {moment}");
                    return results.record("without faults everything is served", details);
                }
                sleep(RECHECK_INTERVAL).await;
            }
        }
    }
}

/// Checks that no request that must not be repeated ran twice, that refused ones did not run and
/// that served ones did.
fn check_bookings(fleet: &Fleet, callers: &Callers, results: &Results) {
    let bookings = callers
        .bookings
        .lock()
        .expect("no holder of this lock panics");
    for booking in bookings.iter() {
        let runs = fleet.execution_count("desk", &booking.id);
        let details = || {
            format!(
                "{} was told {:?} and ran {runs} times",
                booking.id, booking.status
            )
        };
        match booking.status {
            _ if runs > 1 => results.record("no booking runs twice", details()),
            Some(503) if runs > 0 => results.record("what was refused did not run", details()),
            Some(200) if runs == 0 => results.record("what was answered did run", details()),
            _ => {}
        }
    }
}
