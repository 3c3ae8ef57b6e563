//! Faults, the schedule that a seed determines, and their injection into the fleet.

use std::time::Duration;

use bench::{
    processes::Signal,
    proxy::{Cut, Rules},
    stand_in::Fault as EndpointFault,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::fleet::{Fleet, GATE_ZONES, ZONES};

/// Time between the starts of two drawn faults, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 100..500;
/// Duration of a fault, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..2_500;
/// Time within which a process exits after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
/// Number of endpoints in the fleet: three services in each zone.
const ENDPOINT_COUNT: usize = 9;

/// A keeper or a gate, by its index in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessId {
    Keeper(usize),
    Gate(usize),
}

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
}

/// A scheduled fault; times count from the start of the soak.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScheduledFault {
    pub(crate) starts_at: Duration,
    pub(crate) ends_at: Duration,
    pub(crate) fault: Fault,
}

/// Returns the faults of `seed` that start within `duration`, ordered by start.
pub(crate) fn schedule(seed: u64, duration: Duration) -> Vec<ScheduledFault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults: Vec<ScheduledFault> = Vec::new();
    let mut starts_at = Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS));
    while starts_at < duration {
        let ends_at = starts_at + Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        let fault = random_fault(&mut rng);
        // At most one fault per process or endpoint at a time, and at most one of the three keepers
        // is affected at a time.
        let is_conflicting =
            |f: &&ScheduledFault| f.ends_at > starts_at && conflicts(f.fault, fault);
        if faults.iter().find(is_conflicting).is_none() {
            faults.push(ScheduledFault {
                starts_at,
                ends_at,
                fault,
            });
        }
        starts_at += Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS));
    }
    faults
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
}

fn target(fault: Fault) -> FaultTarget {
    match fault {
        Fault::LinkCut(id, _)
        | Fault::LinkSlow(id)
        | Fault::LinkReset(id)
        | Fault::LinkSilent(id)
        | Fault::Freeze(id)
        | Fault::Kill(id) => FaultTarget::Process(id),
        Fault::Stop(gate) => FaultTarget::Process(ProcessId::Gate(gate)),
        Fault::TearLog(keeper) => FaultTarget::Process(ProcessId::Keeper(keeper)),
        Fault::EndpointCut(n, _)
        | Fault::EndpointReset(n)
        | Fault::EndpointMisbehaves(n, _)
        | Fault::EndpointRestart(n) => FaultTarget::Endpoint(n),
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

impl Fleet {
    /// Injects `fault`.
    pub(crate) async fn start_fault(&mut self, fault: Fault) -> eyre::Result<()> {
        match fault {
            Fault::LinkCut(id, cut) => self.process(id).link.set_rules(Rules::cut(cut)),
            Fault::LinkSlow(id) => {
                let slow = Rules {
                    jitter_us: 150_000,
                    ..Rules::delayed(Duration::from_millis(120))
                };
                self.process(id).link.set_rules(slow);
            }
            Fault::LinkReset(id) => self.process(id).link.reset_connections(),
            Fault::LinkSilent(id) => self.process(id).link.silence_connections(),
            Fault::Freeze(id) => self.signal(id, Signal::STOP)?,
            Fault::Kill(id) => self.kill(id).await?,
            Fault::Stop(gate) => self.signal(ProcessId::Gate(gate), Signal::TERM)?,
            Fault::TearLog(keeper) => {
                self.kill(ProcessId::Keeper(keeper)).await?;
                append_partial_record(&self.folders.work.join(format!("data-{keeper}")))?;
            }
            Fault::EndpointCut(n, cut) => self.endpoints[n].proxy.set_rules(Rules::cut(cut)),
            Fault::EndpointReset(n) => self.endpoints[n].proxy.reset_connections(),
            Fault::EndpointMisbehaves(n, behavior) => self.set_endpoint_fault(n, behavior),
            Fault::EndpointRestart(n) => self.kill_endpoint(n),
        }
        Ok(())
    }

    /// Removes `fault`; restarts what it killed or stopped.
    pub(crate) async fn end_fault(&mut self, fault: Fault) -> eyre::Result<()> {
        match fault {
            Fault::LinkCut(id, _) | Fault::LinkSlow(id) => {
                self.process(id).link.set_rules(Rules::default());
            }
            Fault::LinkReset(_) | Fault::LinkSilent(_) | Fault::EndpointReset(_) => {}
            Fault::Freeze(id) => self.signal(id, Signal::CONT)?,
            Fault::Kill(ProcessId::Keeper(n)) | Fault::TearLog(n) => self.start_keeper(n).await?,
            Fault::Kill(ProcessId::Gate(n)) => self.start_gate(n).await?,
            Fault::Stop(gate) => {
                if let Some(role) = &mut self.gates[gate].role {
                    role.wait_for_exit(STOP_TIMEOUT).await?;
                }
                self.start_gate(gate).await?;
            }
            Fault::EndpointCut(n, _) => self.endpoints[n].proxy.set_rules(Rules::default()),
            Fault::EndpointMisbehaves(n, _) => self.set_endpoint_fault(n, EndpointFault::None),
            Fault::EndpointRestart(n) => self.start_endpoint(n).await?,
        }
        Ok(())
    }

    fn process(&self, id: ProcessId) -> &crate::fleet::Process {
        match id {
            ProcessId::Keeper(n) => &self.keepers[n],
            ProcessId::Gate(n) => &self.gates[n],
        }
    }

    fn signal(&self, id: ProcessId, signal: Signal) -> eyre::Result<()> {
        match &self.process(id).role {
            Some(role) => role.signal(signal),
            None => Ok(()),
        }
    }

    async fn kill(&mut self, id: ProcessId) -> eyre::Result<()> {
        let process = match id {
            ProcessId::Keeper(n) => &mut self.keepers[n],
            ProcessId::Gate(n) => &mut self.gates[n],
        };
        match &mut process.role {
            Some(role) => role.kill().await,
            None => Ok(()),
        }
    }

    fn set_endpoint_fault(&self, number: usize, behavior: EndpointFault) {
        if let Some(stand_in) = &self.endpoints[number].stand_in {
            stand_in.set_fault(behavior);
        }
    }
}

/// Appends a partial record to the newest log file in `folder`, as a power failure during a write
/// leaves it.
fn append_partial_record(folder: &std::path::Path) -> eyre::Result<()> {
    use std::io::Write;

    let files = std::fs::read_dir(folder)?.filter_map(Result::ok);
    let is_log_file = |path: &std::path::PathBuf| path.extension().is_some_and(|e| e == "log");
    let log_files = files.map(|file| file.path()).filter(is_log_file);
    let Some(newest) = log_files.max() else {
        return Ok(());
    };
    let mut file = std::fs::File::options().append(true).open(newest)?;
    file.write_all(&[0, 0, 1, 7, 42, 9])?;
    Ok(())
}
