//! A fleet of one system: the project's gates, keepers and controllers, or baseline gates, and the
//! endpoints.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use declaration::Declaration;
use tokio::time::{Instant, sleep};

use super::{
    file::System,
    net::{ProxyNetwork, VmId},
    roles::{self, KeeperRole, RoleLauncher, VmLayout},
    workers::Workers,
};
use crate::{
    baseline::{BaselineGate, EndpointTable, PickPolicy},
    client::Client,
    deployment::Deployment,
    load::GateAddress,
    processes::{Folders, RoleProcess},
    proxy::{Proxy, Rules},
};

/// Time limit for every gate to know the declaration and its endpoints.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A gate's process or task.
#[derive(Debug)]
pub(crate) enum GateProcess {
    Role(Box<RoleProcess>),
    Baseline(BaselineGate),
    Down,
}

/// Current gate addresses, shared with the watcher while an action changes the fleet.
#[derive(Clone, Debug, Default)]
pub(crate) struct GateDirectory(Arc<Mutex<Vec<GateEntry>>>);

/// A gate's entry in [`GateDirectory`].
#[derive(Clone, Debug)]
pub(crate) struct GateEntry {
    pub(crate) az: String,
    pub(crate) address: Option<SocketAddr>,
    pub(crate) caller_address: GateAddress,
}

impl GateDirectory {
    pub(crate) fn entries(&self) -> Vec<GateEntry> {
        self.0.lock().expect("no panic under this lock").clone()
    }

    fn set(&self, entries: Vec<GateEntry>) {
        *self.0.lock().expect("no panic under this lock") = entries;
    }
}

/// A gate with the proxy through which callers reach it.
#[derive(Debug)]
pub(crate) struct Gate {
    pub(crate) vm: VmId,
    pub(crate) process: GateProcess,
    pub(crate) proxy: Proxy,
}

impl Gate {
    /// Returns the gate's own address, or `None` while it is down.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        match &self.process {
            GateProcess::Role(role) => Some(role.http),
            GateProcess::Baseline(baseline) => Some(baseline.address()),
            GateProcess::Down => None,
        }
    }

    /// Returns the address of the gate's caller proxy.
    pub(crate) fn caller_address(&self) -> GateAddress {
        GateAddress {
            name: self.vm.name.clone(),
            url: format!("http://{}", self.proxy.address()),
        }
    }
}

/// Processes that only the project's fleet has.
#[derive(Debug)]
pub(crate) struct ProjectRoles {
    pub(crate) launcher: RoleLauncher,
    pub(crate) keepers: Vec<KeeperRole>,
    pub(crate) controllers: Vec<(VmId, RoleProcess)>,
    /// Faults during start-up that did not abort it.
    notes: Vec<String>,
}

/// A running fleet; dropping it kills all its processes.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) declaration: Declaration,
    pub(crate) document: String,
    pub(crate) client: Client,
    pub(crate) gates: Vec<Gate>,
    pub(crate) directory: GateDirectory,
    pub(crate) workers: Workers,
    pub(crate) project: Option<ProjectRoles>,
    /// The availability zone that actions partition: the last one with a keeper.
    pub(crate) cut_az: String,
    /// Observations for the report.
    pub(crate) notes: Vec<String>,
}

impl Fleet {
    /// Starts `deployment` on `system` with its files in `work` and waits until it is ready.
    pub async fn start(
        deployment: Deployment,
        system: &System,
        work: &std::path::Path,
        seed: u64,
    ) -> eyre::Result<Self> {
        let declaration = deployment.declaration()?;
        let vms = vms(&deployment);
        let cut_az = vms.keepers.last().map(|vm| vm.az.clone());
        let client = Client::default();
        let (gates, project) = match system {
            System::Baseline(policy) => {
                let gates = start_baseline_gates(&deployment, &declaration, &vms, *policy).await?;
                (gates, None)
            }
            System::Project(_, programs) => {
                let folders = Folders {
                    programs: programs.clone(),
                    work: work.to_owned(),
                };
                let (gates, project) =
                    start_project_roles(&deployment, &client, vms, folders, seed).await?;
                (gates, Some(project))
            }
        };
        let addresses = addresses(&gates);
        let workers = Workers::start(&deployment, &declaration, &addresses, seed).await?;
        let mut fleet = Self {
            document: deployment.document.to_owned(),
            declaration,
            client,
            gates,
            directory: GateDirectory::default(),
            workers,
            cut_az: cut_az.unwrap_or_default(),
            notes: project
                .as_ref()
                .map_or_else(Vec::new, |project| project.notes.clone()),
            project,
        };
        fleet.publish_gates();
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Updates the directory and the endpoints with the current gate addresses.
    pub(crate) fn publish_gates(&mut self) {
        let entry = |gate: &Gate| GateEntry {
            az: gate.vm.az.clone(),
            address: gate.address(),
            caller_address: gate.caller_address(),
        };
        self.directory.set(self.gates.iter().map(entry).collect());
        let addresses = addresses(&self.gates);
        self.workers.set_gates(&addresses);
    }

    /// Returns the number of the project's processes, without gates that are down.
    pub fn process_count(&self) -> usize {
        let gates = self
            .gates
            .iter()
            .filter(|g| matches!(g.process, GateProcess::Role(_)));
        let project = self.project.as_ref();
        gates.count()
            + project.map_or(0, |project| {
                project.keepers.len() + project.controllers.len()
            })
    }

    /// Waits until every gate of the project is ready and knows its endpoints.
    async fn wait_until_ready(&self) -> eyre::Result<()> {
        if self.project.is_none() {
            // Baseline gates start with the declaration; the wait covers the first announcements.
            sleep(Duration::from_millis(500)).await;
            return Ok(());
        }
        let until = Instant::now() + READY_TIMEOUT;
        let mut waiting: Vec<&Gate> = self.gates.iter().collect();
        while Instant::now() < until {
            let mut still = Vec::new();
            for gate in waiting {
                if !self.is_ready(gate).await {
                    still.push(gate);
                }
            }
            waiting = still;
            if waiting.is_empty() {
                // Lets announcements spread once more before the first request.
                sleep(Duration::from_millis(800)).await;
                return Ok(());
            }
            sleep(Duration::from_millis(100)).await;
        }
        let names: Vec<&str> = waiting.iter().map(|g| g.vm.name.as_str()).collect();
        eyre::bail!("not ready after {READY_TIMEOUT:?}: {}", names.join(", "))
    }

    async fn is_ready(&self, gate: &Gate) -> bool {
        let Some(address) = gate.address() else {
            return false;
        };
        let revision = get_json(&self.client, address, "/v1/revision").await;
        let revision = revision.and_then(|v| v["revision"].as_u64());
        revision.is_some_and(|r| r > 0)
            && get_json(&self.client, address, "/readyz").await.is_some()
    }

    /// Kills all processes of the fleet.
    pub async fn shut_down(mut self) {
        for gate in &mut self.gates {
            if let GateProcess::Role(role) = &mut gate.process {
                // The process may have exited already.
                let _ = role.kill().await;
            }
        }
        if let Some(project) = &mut self.project {
            for (_, controller) in &mut project.controllers {
                let _ = controller.kill().await;
            }
            for keeper in &mut project.keepers {
                let _ = keeper.role.kill().await;
            }
        }
    }
}

/// Sends a GET request and returns the JSON body of a successful response.
pub(crate) async fn get_json(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> Option<serde_json::Value> {
    let url = format!("http://{address}{path}");
    let sent = client.send(hyper::Method::GET, &url, &[], Vec::new());
    let answer = tokio::time::timeout(Duration::from_millis(500), sent).await;
    let answer = answer.ok()?.ok()?;
    answer.status.is_success().then(|| answer.json())
}

fn vms(deployment: &Deployment) -> VmLayout {
    let mut vms = VmLayout {
        all: Vec::new(),
        keepers: Vec::new(),
    };
    for size in deployment.azs {
        for n in 1..=size.gates {
            let vm = VmId {
                name: format!("{}-{n}", size.az),
                az: size.az.to_owned(),
            };
            if n == 1 && size.has_keeper {
                vms.keepers.push(vm.clone());
            }
            vms.all.push(vm);
        }
    }
    vms
}

fn addresses(gates: &[Gate]) -> BTreeMap<String, Vec<String>> {
    let mut addresses: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for gate in gates {
        if let Some(address) = gate.address() {
            let in_az = addresses.entry(gate.vm.az.clone()).or_default();
            in_az.push(format!("http://{address}"));
        }
    }
    addresses
}

async fn caller_proxy(deployment: &Deployment, upstream: SocketAddr) -> eyre::Result<Proxy> {
    let proxy = Proxy::start(1).await?;
    proxy.set_rules(Rules::delayed(deployment.client_latency));
    proxy.set_upstream(upstream);
    Ok(proxy)
}

async fn start_baseline_gates(
    deployment: &Deployment,
    declaration: &Declaration,
    vms: &VmLayout,
    policy: PickPolicy,
) -> eyre::Result<Vec<Gate>> {
    let table = Arc::new(EndpointTable::default());
    let mut gates = Vec::new();
    for vm in &vms.all {
        let table = Arc::clone(&table);
        let baseline = BaselineGate::start(&vm.az, policy, declaration.clone(), table).await?;
        gates.push(Gate {
            vm: vm.clone(),
            proxy: caller_proxy(deployment, baseline.address()).await?,
            process: GateProcess::Baseline(baseline),
        });
    }
    Ok(gates)
}

async fn start_project_roles(
    deployment: &Deployment,
    client: &Client,
    vms: VmLayout,
    folders: Folders,
    seed: u64,
) -> eyre::Result<(Vec<Gate>, ProjectRoles)> {
    let net = ProxyNetwork::new(deployment.az_latency, seed);
    let launcher = RoleLauncher { folders, net, vms };
    let mut keepers = Vec::new();
    for vm in &launcher.vms.keepers {
        keepers.push(launcher.start_keeper(vm).await?);
    }
    roles::submit_declaration(client, &keepers, deployment.document).await?;
    let mut gates = Vec::new();
    let mut controllers = Vec::new();
    let mut notes = Vec::new();
    for vm in &launcher.vms.all {
        let role = launcher.start_gate(vm).await?;
        gates.push(Gate {
            vm: vm.clone(),
            proxy: caller_proxy(deployment, role.http).await?,
            process: GateProcess::Role(Box::new(role)),
        });
        match launcher.start_controller(vm).await {
            Ok(role) => controllers.push((vm.clone(), role)),
            Err(e) => notes.push(format!("without a controller on {}: {e:#}", vm.name)),
        }
    }
    let project = ProjectRoles {
        launcher,
        keepers,
        controllers,
        notes,
    };
    Ok((gates, project))
}
