//! Restarts of processes, beside which other faults start and end.

use std::time::Duration;

use bench::processes::RoleProcess;
use tokio::time::{Instant, sleep_until};

use crate::{
    fleet::{Fleet, Process},
    results::Results,
    topology::ProcessId,
};

/// Time within which a process exits after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// How the predecessor of a restarted process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Predecessor {
    /// It was killed.
    Killed,
    /// It received SIGTERM and exits by itself.
    Stopping,
}

/// A process that was started again.
#[derive(Debug)]
pub(crate) struct Restarted {
    id: ProcessId,
    role: RoleProcess,
    /// Why the end of its predecessor was not as it should be.
    bad_exit: Option<String>,
}

impl Fleet {
    /// Restarts a process in a task of its own once its predecessor has ended.
    pub(crate) fn spawn_restart(&mut self, id: ProcessId, predecessor: Predecessor) {
        let (program, settings) = self.program_and_settings(id);
        let (folders, process) = (self.folders.clone(), self.process_mut(id));
        let (name, role) = (process.name.clone(), process.role.take());
        self.restarts.spawn(async move {
            let bad_exit = match role.filter(|_| predecessor == Predecessor::Stopping) {
                Some(role) => bad_exit(role).await,
                None => None,
            };
            let role = folders.start(program, &name, &settings).await?;
            Ok(Restarted { id, role, bad_exit })
        });
    }

    /// Waits until `at` and takes restarted processes into use meanwhile.
    pub(crate) async fn restart_until(
        &mut self,
        at: Instant,
        results: &Results,
    ) -> eyre::Result<()> {
        loop {
            tokio::select! {
                () = sleep_until(at) => return Ok(()),
                Some(restarted) = self.restarts.join_next() => {
                    self.take_into_use(restarted??, results)?;
                }
            }
        }
    }

    /// Waits until no restart of `id` is pending.
    pub(crate) async fn wait_for_restart(
        &mut self,
        id: ProcessId,
        results: &Results,
    ) -> eyre::Result<()> {
        while self.process(id).role.is_none() {
            let Some(restarted) = self.restarts.join_next().await else {
                return Ok(());
            };
            self.take_into_use(restarted??, results)?;
        }
        Ok(())
    }

    /// Waits until no restart is pending.
    pub(crate) async fn wait_for_restarts(&mut self, results: &Results) -> eyre::Result<()> {
        while let Some(restarted) = self.restarts.join_next().await {
            self.take_into_use(restarted??, results)?;
        }
        Ok(())
    }

    fn take_into_use(&mut self, restarted: Restarted, results: &Results) -> eyre::Result<()> {
        let Restarted { id, role, bad_exit } = restarted;
        if let Some(bad_exit) = bad_exit {
            results.record("a gate that is told to stop exits with success", bad_exit);
        }
        self.process_mut(id).set_running(role)?;
        if let ProcessId::Gate(gate) = id {
            self.gate_faults.end(gate);
        }
        Ok(())
    }

    pub(crate) fn process(&self, id: ProcessId) -> &Process {
        match id {
            ProcessId::Keeper(n) => &self.keepers[n],
            ProcessId::Gate(n) => &self.gates[n],
        }
    }

    pub(crate) fn process_mut(&mut self, id: ProcessId) -> &mut Process {
        match id {
            ProcessId::Keeper(n) => &mut self.keepers[n],
            ProcessId::Gate(n) => &mut self.gates[n],
        }
    }
}

/// Waits for the exit of a process that received SIGTERM. Returns what is wrong with it, if anything.
async fn bad_exit(mut role: RoleProcess) -> Option<String> {
    match role.wait_for_exit(STOP_TIMEOUT).await {
        Ok(Some(0)) => None,
        Ok(Some(code)) => Some(format!("{}: exit code {code}", role.name)),
        Ok(None) => Some(format!("{}: ended by a signal", role.name)),
        // Dropping the process kills it.
        Err(e) => Some(format!("{e:#}")),
    }
}
