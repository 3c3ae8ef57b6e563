//! Injects the scheduled faults into the fleet.

use std::{fs::File, io::Write as _, sync::Arc, time::Duration};

use bench::{processes::Signal, proxy::Rules, stand_in::Fault as EndpointFault};
use eyre::eyre;
use tokio::time::Instant;

use crate::{
    faults::{Fault, ScheduledFault},
    fleet::Fleet,
    odd_announcements,
    restarts::Predecessor,
    results::Results,
    topology::ProcessId,
};

/// File in the folder of the soak with the time at which each fault started and ended.
const FAULT_LOG: &str = "faults.log";

/// Starts and ends the faults as scheduled from `start` on. Returns once every restarted process runs.
pub(crate) async fn inject_faults(
    fleet: &mut Fleet,
    start: Instant,
    faults: &[ScheduledFault],
    results: &Arc<Results>,
) -> eyre::Result<()> {
    let starts = faults.iter().map(|f| (f.starts_at, true, f.fault));
    let ends = faults.iter().map(|f| (f.ends_at, false, f.fault));
    let mut steps: Vec<_> = starts.chain(ends).collect();
    steps.sort_by_key(|(at, is_start, _)| (*at, *is_start));
    let mut log = File::create(fleet.folders.work.join(FAULT_LOG))?;
    for (at, is_start, fault) in steps {
        fleet.restart_until(start + at, results).await?;
        let step = if is_start { "starts" } else { "ends" };
        writeln!(log, "{:?} {step}: {fault:?}", start.elapsed())?;
        match is_start {
            true => fleet.start_fault(fault, results).await?,
            false => fleet.end_fault(fault, results).await?,
        }
    }
    fleet.wait_for_restarts(results).await
}

impl Fleet {
    async fn start_fault(&mut self, fault: Fault, results: &Arc<Results>) -> eyre::Result<()> {
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
            Fault::Freeze(id) => self.begin_and_signal(id, Signal::STOP, results).await?,
            Fault::Kill(id) => self.begin_and_signal(id, Signal::KILL, results).await?,
            Fault::Stop(gate) | Fault::KillStopping(gate) => {
                let id = ProcessId::Gate(gate);
                self.begin_and_signal(id, Signal::TERM, results).await?;
            }
            Fault::TearLog(keeper) => {
                let id = ProcessId::Keeper(keeper);
                self.begin_and_signal(id, Signal::KILL, results).await?;
                append_partial_record(&self.folders.work.join(format!("data-{keeper}")))?;
            }
            Fault::EndpointCut(n, cut) => self.endpoints[n].proxy.set_rules(Rules::cut(cut)),
            Fault::EndpointReset(n) => self.endpoints[n].proxy.reset_connections(),
            Fault::EndpointMisbehaves(n, behavior) => self.set_endpoint_fault(n, behavior),
            Fault::EndpointRestart(n) => self.kill_endpoint(n),
            Fault::OddAnnouncements(keeper) => {
                let address = self.keepers[keeper].http.address();
                // Not awaited: a keeper with a fault of its own may not answer.
                tokio::spawn(odd_announcements::send(address, Arc::clone(results)));
            }
        }
        Ok(())
    }

    /// Removes `fault`; starts again what it killed or stopped.
    async fn end_fault(&mut self, fault: Fault, results: &Results) -> eyre::Result<()> {
        match fault {
            Fault::LinkCut(id, _) | Fault::LinkSlow(id) => {
                self.process(id).link.set_rules(Rules::default());
            }
            Fault::LinkReset(_)
            | Fault::LinkSilent(_)
            | Fault::EndpointReset(_)
            | Fault::OddAnnouncements(_) => {}
            Fault::Freeze(id) => self.resume(id, results)?,
            Fault::Kill(id) => self.spawn_restart(id, Predecessor::Killed),
            Fault::TearLog(n) => self.spawn_restart(ProcessId::Keeper(n), Predecessor::Killed),
            Fault::Stop(n) => self.spawn_restart(ProcessId::Gate(n), Predecessor::Stopping),
            Fault::KillStopping(n) => self.kill_stopping(n).await?,
            Fault::EndpointCut(n, _) => self.endpoints[n].proxy.set_rules(Rules::default()),
            Fault::EndpointMisbehaves(n, _) => self.set_endpoint_fault(n, EndpointFault::None),
            Fault::EndpointRestart(n) => self.start_endpoint(n).await?,
        }
        Ok(())
    }

    /// Signals a process, once it runs again if its restart is pending. SIGKILL is waited for.
    async fn begin_and_signal(
        &mut self,
        id: ProcessId,
        signal: Signal,
        results: &Results,
    ) -> eyre::Result<()> {
        self.wait_for_restart(id, results).await?;
        if let ProcessId::Gate(gate) = id {
            self.gate_faults.begin(gate);
        }
        let process = self.process_mut(id);
        let is_running = process.check_running(results)?;
        match &mut process.role {
            Some(role) if is_running && signal == Signal::KILL => role.kill().await,
            Some(role) if is_running => role.signal(signal),
            _ => Ok(()),
        }
    }

    /// Kills a gate that received SIGTERM, unless it has exited, and restarts it.
    async fn kill_stopping(&mut self, gate: usize) -> eyre::Result<()> {
        let id = ProcessId::Gate(gate);
        let role = self.process_mut(id).role.as_mut();
        let role = role.ok_or_else(|| eyre!("gate {gate} has no process"))?;
        let predecessor = match role.exit_status()? {
            Some(_) => Predecessor::Stopping,
            None => {
                role.kill().await?;
                Predecessor::Killed
            }
        };
        self.spawn_restart(id, predecessor);
        Ok(())
    }

    fn resume(&mut self, id: ProcessId, results: &Results) -> eyre::Result<()> {
        let process = self.process_mut(id);
        let is_running = process.check_running(results)?;
        if let Some(role) = process.role.as_ref().filter(|_| is_running) {
            role.signal(Signal::CONT)?;
        }
        if let ProcessId::Gate(gate) = id {
            self.gate_faults.end(gate);
        }
        Ok(())
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

#[cfg(test)]
mod tests;
