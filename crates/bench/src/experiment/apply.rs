//! Applies the actions of a fault schedule to a fleet.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{
    action::Action,
    fleet::{Fleet, GateProcess, ProjectRoles, get_json},
    net::VmId,
    roles,
};
use crate::{client::Client, processes::Signal, stand_in::Fault};

/// Time between the end of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time limit for finding a leader to kill.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between polls for a leader.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for a gate to exit after SIGTERM.
const TERM_TIMEOUT: Duration = Duration::from_secs(20);

impl Fleet {
    /// Applies `action`; actions without a target in this fleet do nothing.
    pub(crate) async fn apply(&mut self, action: Action) -> eyre::Result<()> {
        match action {
            Action::Slow(target, factor) => self.set_fault(target, Fault::Slow(factor)),
            Action::Fail(target, every) => self.set_fault(target, Fault::FailEvery(every)),
            Action::Stall(target) => self.set_fault(target, Fault::Stall),
            Action::CloseEarly(target) => self.set_fault(target, Fault::CloseEarly),
            Action::Mend => self.workers.clear_faults(),
            Action::Silence => self.workers.silence_connections(),
            Action::Restart(target) => {
                if let Some(service) = target.find(&self.declaration) {
                    self.workers.restart(service).await?;
                }
            }
            Action::Leave(target) => {
                if let Some(service) = target.find(&self.declaration) {
                    self.workers.leave(service).await;
                }
            }
            Action::TermGate => self.term_gate().await?,
            Action::KillGate => self.kill_gate(0).await?,
            Action::KillCutGate => {
                let at = self.gates.iter().position(|g| g.vm.az == self.cut_az);
                self.kill_gate(at.unwrap_or(0)).await?;
            }
            // Bursts are part of the load plan.
            Action::Burst(..) => {}
            other => self.apply_to_project(other).await?,
        }
        Ok(())
    }

    fn set_fault(&mut self, target: super::ServiceRef, fault: Fault) {
        if let Some(service) = target.find(&self.declaration) {
            self.workers.set_fault(service, fault);
        }
    }

    /// Applies actions on the project's own processes; does nothing on a baseline, which has none.
    async fn apply_to_project(&mut self, action: Action) -> eyre::Result<()> {
        let Some(project) = &mut self.project else {
            return Ok(());
        };
        match action {
            Action::CutAz => {
                let az = &self.cut_az;
                project
                    .launcher
                    .net
                    .set_cuts(|from, to| (from.az == *az) != (to.az == *az));
            }
            Action::Heal => project.launcher.net.set_cuts(|_, _| false),
            Action::IsolateLeader => {
                let leader = roles::find_leader(&self.client, &project.keepers).await;
                let vm = leader.map(|i| project.keepers[i].vm.clone());
                isolate(project, vm);
            }
            Action::IsolateController => {
                let vm = project.controllers.first().map(|(vm, _)| vm.clone());
                isolate(project, vm);
            }
            Action::KillLeader => {
                let leader = wait_for_leader(&self.client, project).await?;
                self.notes
                    .push(format!("killed {}", project.keepers[leader].role.name));
                restart_keepers(project, &[leader]).await?;
            }
            Action::KillKeepers => {
                let all: Vec<usize> = (0..project.keepers.len()).collect();
                restart_keepers(project, &all).await?;
            }
            Action::Rollout => self.rollout().await?,
            _ => {}
        }
        Ok(())
    }

    /// Sends SIGTERM to the first gate and starts it again once it has exited.
    async fn term_gate(&mut self) -> eyre::Result<()> {
        let Some(gate) = self.gates.first_mut() else {
            return Ok(());
        };
        if let GateProcess::Role(role) = &mut gate.process {
            role.signal(Signal::TERM)?;
            let since = Instant::now();
            let code = role.wait_for_exit(TERM_TIMEOUT).await?;
            let note = format!(
                "{} ended {:.1} s after SIGTERM with code {code:?}",
                role.name,
                since.elapsed().as_secs_f64()
            );
            self.notes.push(note);
        }
        self.restart_gate(0).await
    }

    async fn kill_gate(&mut self, at: usize) -> eyre::Result<()> {
        if let Some(gate) = self.gates.get_mut(at) {
            if let GateProcess::Role(role) = &mut gate.process {
                role.kill().await?;
            }
            gate.proxy.reset_connections();
            self.notes
                .push(format!("killed the gate of {}", gate.vm.name));
        }
        self.restart_gate(at).await
    }

    /// Starts the gate at index `at` again after [`RESTART_DELAY`]; does nothing on a baseline, whose
    /// gate keeps running.
    async fn restart_gate(&mut self, at: usize) -> eyre::Result<()> {
        if self.project.is_none() {
            return Ok(());
        }
        let vm = self.gates[at].vm.clone();
        self.gates[at].process = GateProcess::Down;
        self.publish_gates();
        sleep(RESTART_DELAY).await;
        let Some(project) = &self.project else {
            return Ok(());
        };
        let role = project.launcher.start_gate(&vm).await?;
        self.gates[at].proxy.set_upstream(role.http);
        self.gates[at].process = GateProcess::Role(Box::new(role));
        self.publish_gates();
        Ok(())
    }

    async fn rollout(&mut self) -> eyre::Result<()> {
        let engine = super::ServiceRef::Engine.find(&self.declaration);
        let Some(service) = engine.map(str::to_owned) else {
            return Ok(());
        };
        let version = self.declaration.services[&service].version.unwrap_or(1);
        let (from, to) = (
            format!("version = {version}"),
            format!("version = {}", version + 1),
        );
        self.document = self.document.replace(&from, &to);
        let Some(project) = &self.project else {
            return Ok(());
        };
        let since = Instant::now();
        roles::submit_declaration(&self.client, &project.keepers, &self.document).await?;
        let note = format!(
            "rollout accepted after {:.2} s",
            since.elapsed().as_secs_f64()
        );
        self.notes.push(note);
        Ok(())
    }

    /// Adds a note on how many engines have loaded the version of the rollout.
    pub(crate) fn record_rollout(&mut self) {
        let engine = super::ServiceRef::Engine.find(&self.declaration);
        let Some(service) = engine.map(str::to_owned) else {
            return;
        };
        let version = self.declaration.services[&service].version.unwrap_or(1) + 1;
        let (done, all) = self.workers.count_loaded(&service, version);
        self.notes.push(format!(
            "{done} of {all} engines had loaded version {version}"
        ));
    }

    /// Queries the active revision of each gate that is up.
    pub(crate) async fn revisions(&self) -> Vec<(String, u64)> {
        let mut all = Vec::new();
        for gate in &self.gates {
            let Some(address) = gate.address() else {
                continue;
            };
            let answer = get_json(&self.client, address, "/v1/revision").await;
            if let Some(revision) = answer.and_then(|v| v["revision"].as_u64()) {
                all.push((gate.vm.name.clone(), revision));
            }
        }
        all
    }
}

fn isolate(project: &ProjectRoles, vm: Option<VmId>) {
    let Some(vm) = vm else {
        return;
    };
    project
        .launcher
        .net
        .set_cuts(|from, to| (*from == vm) != (*to == vm));
}

/// Waits until a keeper leads and returns its index.
async fn wait_for_leader(client: &Client, project: &ProjectRoles) -> eyre::Result<usize> {
    let until = Instant::now() + ELECTION_TIMEOUT;
    while Instant::now() < until {
        if let Some(leader) = roles::find_leader(client, &project.keepers).await {
            return Ok(leader);
        }
        sleep(LEADER_POLL_INTERVAL).await;
    }
    eyre::bail!("no keeper said within {ELECTION_TIMEOUT:?} that it leads; none was killed")
}

async fn restart_keepers(project: &mut ProjectRoles, which: &[usize]) -> eyre::Result<()> {
    for i in which {
        project.keepers[*i].role.kill().await?;
    }
    sleep(RESTART_DELAY).await;
    for i in which {
        let vm = project.keepers[*i].vm.clone();
        project.keepers[*i] = project.launcher.start_keeper(&vm).await?;
    }
    Ok(())
}
