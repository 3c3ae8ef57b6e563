//! What became of the processes: which still run, how the others ended.

use std::fs;

use crate::{
    fleet::{Fleet, Process},
    results::Results,
};

const RULE: &str = "no process ends by itself";

impl Process {
    /// Returns true if the process runs. Records a violation if it has ended although nothing killed
    /// or stopped it.
    pub(crate) fn check_running(&mut self, results: &Results) -> eyre::Result<bool> {
        let Some(role) = &mut self.role else {
            return Ok(false);
        };
        let status = role.exit_status()?;
        if let Some(status) = status {
            results.record_once(RULE, format!("{}: {status}", self.name));
        }
        Ok(status.is_none())
    }

    /// Returns a description such as `running, S (sleeping)` or `ended, signal: 9 (SIGKILL)`.
    fn state(&mut self) -> String {
        let Some(role) = &mut self.role else {
            return "not started".to_owned();
        };
        match role.exit_status() {
            Ok(None) => format!("running, {}", scheduler_state(role.id())),
            Ok(Some(status)) => format!("ended, {status}"),
            Err(e) => format!("{e:#}"),
        }
    }
}

impl Fleet {
    /// Checks that every process runs.
    pub(crate) fn check_processes(&mut self, results: &Results) -> eyre::Result<()> {
        for process in self.keepers.iter_mut().chain(&mut self.gates) {
            process.check_running(results)?;
        }
        Ok(())
    }

    /// Returns a line for each process: its state and the last line of its log.
    pub(crate) fn process_states(&mut self) -> Vec<String> {
        let processes = self.keepers.iter_mut().chain(&mut self.gates);
        let describe = |process: &mut Process| {
            let state = process.state();
            let last = self.folders.last_log_line(&process.name);
            format!("{}: {state}; last line: {last}", process.name)
        };
        processes.map(describe).collect()
    }
}

/// Returns the state of a process as the kernel reports it, such as `T (stopped)`.
fn scheduler_state(id: i32) -> String {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let state = status
        .lines()
        .find_map(|line| line.strip_prefix("State:"))
        .map_or("state unknown", str::trim);
    state.to_owned()
}
