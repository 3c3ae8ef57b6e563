//! Starts the project's keepers, gates and controllers as processes and queries keepers.

use std::{fmt::Write, net::SocketAddr, time::Duration};

use eyre::{bail, eyre};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};
use uuid::Uuid;

use super::net::{Listener, ProxyNetwork, VmId};
use crate::{
    client::Client,
    processes::{Folders, RoleProcess},
};

/// Time limit for the keepers to accept the declaration.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between attempts to submit the declaration.
const SUBMIT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The entry VMs of a fleet.
#[derive(Clone, Debug)]
pub(crate) struct VmLayout {
    /// Every VM, each with a gate and a controller.
    pub(crate) all: Vec<VmId>,
    /// VMs that also run a keeper.
    pub(crate) keepers: Vec<VmId>,
}

impl VmLayout {
    fn in_same_az<'a>(&'a self, vm: &'a VmId) -> impl Iterator<Item = &'a VmId> {
        self.all.iter().filter(|other| other.az == vm.az)
    }
}

/// A keeper's process on its VM.
#[derive(Debug)]
pub(crate) struct KeeperRole {
    pub(crate) vm: VmId,
    pub(crate) role: RoleProcess,
}

/// Starts role processes and connects them through proxies.
#[derive(Debug)]
pub(crate) struct RoleLauncher {
    pub(crate) folders: Folders,
    pub(crate) net: ProxyNetwork,
    pub(crate) vms: VmLayout,
}

impl RoleLauncher {
    pub(crate) async fn start_keeper(&self, vm: &VmId) -> eyre::Result<KeeperRole> {
        let mut text = vm_section(vm);
        text += "[listen]\nhttp = 127.0.0.1:0\nlink = 127.0.0.1:0\n";
        text += &self.keepers_section(vm).await?;
        writeln!(text, "[data]\nfolder = data/{}", vm.name)?;
        let name = format!("{}.keeper", vm.name);
        let role = self.folders.start("jujube-keeper", &name, &text).await?;
        if let Some(link) = role.link {
            self.net.set_upstream(&vm.name, Listener::Keeper, link);
        }
        let vm = vm.clone();
        Ok(KeeperRole { vm, role })
    }

    pub(crate) async fn start_gate(&self, vm: &VmId) -> eyre::Result<RoleProcess> {
        let mut text = vm_section(vm);
        text += "[listen]\nhttp = 127.0.0.1:0\nlink = 127.0.0.1:0\n";
        text += &self.keepers_section(vm).await?;
        let others = self.vms.all.iter().filter(|to| *to != vm);
        text += &self.gates_section(vm, others).await?;
        let name = format!("{}.gate", vm.name);
        let role = self.folders.start("jujube-gate", &name, &text).await?;
        if let Some(link) = role.link {
            self.net.set_upstream(&vm.name, Listener::Gate, link);
        }
        Ok(role)
    }

    pub(crate) async fn start_controller(&self, vm: &VmId) -> eyre::Result<RoleProcess> {
        let mut text = vm_section(vm);
        text += "[listen]\nhttp = 127.0.0.1:0\n";
        text += &self.keepers_section(vm).await?;
        text += &self.gates_section(vm, self.vms.in_same_az(vm)).await?;
        let name = format!("{}.controller", vm.name);
        self.folders.start("jujube-controller", &name, &text).await
    }

    async fn keepers_section(&self, from: &VmId) -> eyre::Result<String> {
        let mut text = "[keepers]\n".to_owned();
        for to in &self.vms.keepers {
            let address = self.net.proxy_address(from, to, Listener::Keeper).await?;
            writeln!(text, "{} = {address}", to.name)?;
        }
        Ok(text)
    }

    async fn gates_section(
        &self,
        from: &VmId,
        gates: impl Iterator<Item = &VmId>,
    ) -> eyre::Result<String> {
        let mut text = "[gates]\n".to_owned();
        for to in gates {
            let address = self.net.proxy_address(from, to, Listener::Gate).await?;
            writeln!(text, "{} = {address}", to.name)?;
        }
        Ok(text)
    }
}

fn vm_section(vm: &VmId) -> String {
    format!("[vm]\nname = {}\navailability_zone = {}\n", vm.name, vm.az)
}

/// Returns the index of the first keeper that reports itself as leader.
pub(crate) async fn find_leader(client: &Client, keepers: &[KeeperRole]) -> Option<usize> {
    for (i, keeper) in keepers.iter().enumerate() {
        let status = fetch_status(client, keeper.role.http).await;
        if status.is_some_and(|s| s["role"] == "leader") {
            return Some(i);
        }
    }
    None
}

async fn fetch_status(client: &Client, http: SocketAddr) -> Option<Value> {
    let url = format!("http://{http}/v1/status");
    let sent = client.send(hyper::Method::GET, &url, &[], Vec::new());
    let answer = tokio::time::timeout(Duration::from_secs(1), sent).await;
    answer.ok()?.ok().map(|a| a.json())
}

/// Submits `document` as a change of the active revision until a keeper accepts it; returns the new
/// revision.
pub(crate) async fn submit_declaration(
    client: &Client,
    keepers: &[KeeperRole],
    document: &str,
) -> eyre::Result<u64> {
    let change = Uuid::now_v7();
    let until = Instant::now() + ACCEPT_TIMEOUT;
    let mut last_error = "no keeper was asked".to_owned();
    while Instant::now() < until {
        for keeper in keepers {
            match submit_change(client, keeper, change, document).await {
                Ok(revision) => return Ok(revision),
                Err(e) => last_error = format!("{}: {e:#}", keeper.vm.name),
            }
        }
        sleep(SUBMIT_RETRY_INTERVAL).await;
    }
    bail!("the keepers did not accept the declaration: {last_error}")
}

async fn submit_change(
    client: &Client,
    keeper: &KeeperRole,
    change: Uuid,
    document: &str,
) -> eyre::Result<u64> {
    let url = keeper.role.url();
    let get = format!("{url}/v1/declaration");
    let sent = client.send(hyper::Method::GET, &get, &[], Vec::new());
    let current = tokio::time::timeout(Duration::from_secs(2), sent).await??;
    let base = current.headers.get("jujube-revision");
    let base = base.and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    let body = json!({
        "change": change,
        "base_revision": base.unwrap_or(0),
        "author": "bench",
        "reason": "experiment",
        "document": document,
    });
    let post = format!("{url}/v1/changes");
    let sent = client.post_json(&post, &[], &body);
    let answer = tokio::time::timeout(Duration::from_secs(3), sent).await??;
    let text = String::from_utf8_lossy(&answer.body);
    eyre::ensure!(answer.status.is_success(), "{}: {text}", answer.status);
    let revision = answer.json()["revision"].as_u64();
    revision.ok_or_else(|| eyre!("the answer has no revision"))
}
