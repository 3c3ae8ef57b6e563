//! The processes and endpoints of three availability zones, with a proxy on each link between them.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, process::Output, time::Duration};

use bench::{
    processes::{Folders, Role, Signal},
    proxy::{Cut, Proxy, Rules},
    stand_in::{self, Event, JournalEntry, Kind, StandIn, StandInConfig},
};
use host::client::Client;
use operators::{KeeperApi, Submission};
use serde_json::Value;
use tempfile::TempDir;
use tokio::{process::Command, time::sleep};
use uuid::Uuid;

use crate::{
    settings::{self, Peers},
    wait::wait_until,
};

/// A VM that receives callers' requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Vm {
    /// Name of the VM.
    pub name: &'static str,
    /// Availability zone of the VM.
    pub az: &'static str,
}

const VMS: [Vm; 4] = [
    Vm {
        name: "sousse-a-1",
        az: "sousse-a",
    },
    Vm {
        name: "sousse-a-2",
        az: "sousse-a",
    },
    Vm {
        name: "sousse-b-1",
        az: "sousse-b",
    },
    Vm {
        name: "monastir-a-1",
        az: "monastir-a",
    },
];

/// Names of all VMs; each has a gate.
pub const VM_NAMES: [&str; 4] = ["sousse-a-1", "sousse-a-2", "sousse-b-1", "monastir-a-1"];
/// VMs with a keeper, one in each availability zone.
pub const KEEPER_VMS: [&str; 3] = ["sousse-a-1", "sousse-b-1", "monastir-a-1"];

const SERVICES: [(&str, Kind); 5] = [
    ("appraise-llm", Kind::Engine),
    ("ledger-desk", Kind::Plain),
    ("dealer-portal", Kind::Plain),
    ("photo-vault", Kind::Pool),
    ("invoice-mill", Kind::Plain),
];
const ENDPOINTS_PER_SERVICE: usize = 2;
const SEED: u64 = 20_261_204;
/// Maximum time between related lines reaching the log files.
const LOG_WRITE_DELAY: Duration = Duration::from_millis(100);
const HTTP_TIMEOUT: Duration = Duration::from_secs(2);
const DECLARATION: &str = include_str!("../../../examples/watch-trading/declaration.ini");

/// A process with a link listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Listener {
    Keeper(&'static str),
    Gate(&'static str),
}

/// The whole system on loopback. Dropping it ends every process.
#[derive(Debug)]
pub struct Env {
    folders: Folders,
    /// Proxies by the availability zone of the connecting side and the listener.
    proxies: BTreeMap<(&'static str, Listener), Proxy>,
    keepers: BTreeMap<&'static str, Role>,
    gates: BTreeMap<&'static str, Role>,
    /// Controllers and the console, by name.
    operator_roles: BTreeMap<String, Role>,
    endpoints: Vec<StandIn>,
    // Declared last so that it is dropped last: it holds the processes' data and logs.
    _folder: TempDir,
}

impl Env {
    /// Starts keepers and gates, submits the watch traders' declaration, starts endpoints that
    /// already serve the declared model and waits until the gates know them.
    pub async fn start() -> Self {
        let mut env = Self::start_empty().await;
        env.submit_declaration(DECLARATION, "first declaration")
            .await;
        env.start_endpoints(Some(3)).await;
        env.wait_until_ready().await;
        env
    }

    /// Starts keepers and gates, without a declaration or endpoints.
    pub async fn start_empty() -> Self {
        let folder = TempDir::new().expect("make a folder for the test's files");
        let mut env = Self {
            folders: Folders {
                programs: program_folder(),
                work: folder.path().to_owned(),
            },
            proxies: start_proxies().await,
            keepers: BTreeMap::new(),
            gates: BTreeMap::new(),
            operator_roles: BTreeMap::new(),
            endpoints: Vec::new(),
            _folder: folder,
        };
        for vm in KEEPER_VMS {
            env.start_keeper(vm).await;
        }
        for vm in VM_NAMES {
            env.start_gate(vm).await;
        }
        env
    }

    /// Starts or restarts the keeper of `vm` on its data folder.
    pub async fn start_keeper(&mut self, vm: &'static str) {
        let more = format!("[data]\nfolder = data/{vm}\n");
        let text = settings::role(
            &find_vm(vm),
            &self.keeper_addresses_from(find_vm(vm).az),
            &Peers::new(),
            &more,
        );
        let role = self
            .start_role("jujube-keeper", &format!("{vm}.keeper"), &text)
            .await;
        self.set_upstream(Listener::Keeper(vm), role.link);
        self.keepers.insert(vm, role);
    }

    /// Starts or restarts the gate of `vm`.
    pub async fn start_gate(&mut self, vm: &'static str) {
        let vm = find_vm(vm);
        let gates = self.other_gate_addresses(&vm);
        let more = "[timing]\nnotice_ms = 300\n";
        let text = settings::role(&vm, &self.keeper_addresses_from(vm.az), &gates, more);
        let role = self
            .start_role("jujube-gate", &format!("{}.gate", vm.name), &text)
            .await;
        self.set_upstream(Listener::Gate(vm.name), role.link);
        self.gates.insert(vm.name, role);
        self.update_endpoint_gates();
    }

    /// Writes a file to the folder of the settings files.
    pub fn write_file(&self, name: &str, text: &str) {
        std::fs::write(self.folders.work.join(name), text).expect("write a file of the test");
    }

    /// Runs `jujubeferry` with `args` and the keepers' addresses in the test's folder.
    pub async fn jujubeferry(&self, args: &[&str]) -> Output {
        let keepers: Vec<String> = self.keepers.values().map(|k| k.http.to_string()).collect();
        let mut command = Command::new(self.folders.programs.join("jujubeferry"));
        command.args(args).arg("--keepers").arg(keepers.join(","));
        let output = command.current_dir(&self.folders.work).output().await;
        output.expect("run jujubeferry")
    }

    /// Waits until the logs of all processes contain the end of `request`, then returns the output
    /// of `jujubeferry explain` on them.
    pub async fn explain(&self, request: &str) -> String {
        wait_until(
            &format!("the logs contain the end of {request}"),
            async || {
                let output = self.explain_now(request).await;
                sleep(LOG_WRITE_DELAY).await;
                let is_complete =
                    output.contains(" after ") && output == self.explain_now(request).await;
                is_complete.then_some(output)
            },
        )
        .await
    }

    async fn explain_now(&self, request: &str) -> String {
        let files = std::fs::read_dir(&self.folders.work).expect("read the test's folder");
        let files = files.map(|file| file.expect("read the test's folder").path());
        let logs = files.filter(|path| path.extension().is_some_and(|ext| ext == "log"));
        let mut command = Command::new(self.folders.programs.join("jujubeferry"));
        command.arg("explain").arg(request).args(logs);
        let output = command.output().await.expect("run jujubeferry");
        String::from_utf8(output.stdout).expect("the output is UTF-8")
    }

    /// Starts a controller on `vm` and returns its HTTP address.
    pub async fn start_controller(&mut self, vm: &'static str, more: &str) -> SocketAddr {
        let vm = find_vm(vm);
        let gates = self.zone_gate_addresses(vm.az);
        let text = settings::role(&vm, &self.keeper_addresses_from(vm.az), &gates, more);
        let name = format!("{}.controller", vm.name);
        let role = self.start_role("jujube-controller", &name, &text).await;
        let http = role.http;
        self.operator_roles.insert(name, role);
        http
    }

    /// Starts the console and returns its HTTP address.
    pub async fn start_console(&mut self, more: &str) -> SocketAddr {
        let vm = find_vm("sousse-a-2");
        let gates = self.zone_gate_addresses(vm.az);
        let text = settings::role(&vm, &self.keeper_addresses_from(vm.az), &gates, more);
        let role = self.start_role("jujube-console", "console", &text).await;
        let http = role.http;
        self.operator_roles.insert("console".to_owned(), role);
        http
    }

    async fn start_role(&self, program: &str, name: &str, settings: &str) -> Role {
        let started = self.folders.start(program, name, settings).await;
        started
            .unwrap_or_else(|e| panic!("{e:#}; build the programs with `cargo build --workspace`"))
    }

    fn set_upstream(&self, listener: Listener, link: Option<SocketAddr>) {
        let link = link.expect("the role has a link listener");
        let proxies = self.proxies.iter().filter(|((_, to), _)| *to == listener);
        proxies.for_each(|(_, proxy)| proxy.set_upstream(link));
    }

    /// Returns the keepers' addresses as seen from `az`, those of its proxies.
    fn keeper_addresses_from(&self, az: &'static str) -> Peers {
        let address = |vm| self.proxies[&(az, Listener::Keeper(vm))].address();
        KEEPER_VMS.into_iter().map(|vm| (vm, address(vm))).collect()
    }

    /// Returns the addresses of the gates in `az`.
    fn zone_gate_addresses(&self, az: &'static str) -> Peers {
        let vms = VMS.iter().filter(|vm| vm.az == az);
        let address = |vm| self.proxies[&(az, Listener::Gate(vm))].address();
        vms.map(|vm| (vm.name, address(vm.name))).collect()
    }

    /// Returns the addresses of all gates but that of `vm`, as seen from `vm`.
    fn other_gate_addresses(&self, vm: &Vm) -> Peers {
        let others = VMS.iter().filter(|other| other.name != vm.name);
        let address = |to| self.proxies[&(vm.az, Listener::Gate(to))].address();
        others.map(|to| (to.name, address(to.name))).collect()
    }

    /// Partitions `az` from the others: the links between them carry no data, and no FIN or RST.
    pub fn cut_off(&self, az: &str) {
        self.set_cut(az, Cut::Both);
    }

    /// Reverts [`Env::cut_off`].
    pub fn heal(&self, az: &str) {
        self.set_cut(az, Cut::None);
    }

    fn set_cut(&self, az: &str, cut: Cut) {
        for ((from, to), proxy) in &self.proxies {
            let (Listener::Keeper(vm) | Listener::Gate(vm)) = to;
            if (*from == az) != (find_vm(vm).az == az) {
                proxy.set_rules(Rules::cut(cut));
            }
        }
    }

    /// Makes the links that are open now carry no more data; new connections work.
    pub fn silence_open_links(&self) {
        self.proxies.values().for_each(Proxy::silence_connections);
    }

    /// Returns the gate of `vm`.
    pub fn gate(&self, vm: &str) -> &Role {
        &self.gates[vm]
    }

    /// Returns the gate of `vm`, for killing it or waiting for its end.
    pub fn gate_mut(&mut self, vm: &str) -> &mut Role {
        self.gates.get_mut(vm).expect("the VM has a gate")
    }

    /// Returns the keeper of `vm`.
    pub fn keeper(&self, vm: &str) -> &Role {
        &self.keepers[vm]
    }

    /// Returns the controller or console named `name`.
    pub fn operator_role(&self, name: &str) -> &Role {
        &self.operator_roles[name]
    }

    /// Kills the keeper of `vm` with SIGKILL.
    pub async fn kill_keeper(&mut self, vm: &str) {
        let keeper = self.keepers.get_mut(vm).expect("the VM has a keeper");
        keeper.kill().await.expect("kill the keeper");
    }

    /// Kills the gate of `vm` with SIGKILL; its endpoints continue to announce to the other gates.
    pub async fn kill_gate(&mut self, vm: &str) {
        self.gate_mut(vm).kill().await.expect("kill the gate");
    }

    /// Sends a signal to the keeper of `vm`.
    pub fn signal_keeper(&self, vm: &str, signal: Signal) {
        self.keepers[vm].signal(signal).expect("signal the keeper");
    }

    /// Waits until a keeper of the VMs in `among` reports itself as leader and returns its VM.
    pub async fn leader(&self, among: &[&'static str]) -> &'static str {
        wait_until("a keeper is leader", async || {
            for vm in among {
                let status = get(self.keepers[vm].http, "/v1/status").await;
                if status.is_some_and(|status| status["role"] == "leader") {
                    return Some(*vm);
                }
            }
            None
        })
        .await
    }

    /// Returns an operator's client for all keepers.
    pub fn api(&self) -> KeeperApi {
        let keepers = self.keepers.values().map(|role| role.http.to_string());
        KeeperApi::new(keepers.collect(), None)
    }

    /// Submits a complete declaration, based on the newest revision, until it is accepted. Returns
    /// its revision.
    pub async fn submit_declaration(&self, document: &str, reason: &str) -> u64 {
        let api = self.api();
        let change = Uuid::now_v7();
        wait_until("the document is accepted", async || {
            let base_revision = api.declaration().await.ok()?.revision;
            let submission = Submission {
                change,
                base_revision,
                author: "test".to_owned(),
                reason: reason.to_owned(),
                document: Some(document.to_owned()),
                sections: None,
            };
            Some(api.submit(&submission).await.ok()?.revision)
        })
        .await
    }

    /// Waits until `revision` is in force at the gates of `vms`.
    pub async fn wait_for_revision(&self, vms: &[&str], revision: u64) {
        for vm in vms {
            let gate = self.gates[vm].http;
            wait_until(
                &format!("revision {revision} is in force at {vm}"),
                async || {
                    let body = get(gate, "/v1/revision").await?;
                    (body["revision"].as_u64()? >= revision).then_some(())
                },
            )
            .await;
        }
    }

    /// Starts the endpoints of every service in every availability zone. Engines load `version` of
    /// the declared model, or no model for `None`.
    pub async fn start_endpoints(&mut self, version: Option<u32>) {
        for az in ["sousse-a", "sousse-b", "monastir-a"] {
            for (service, kind) in SERVICES {
                for number in 1..=ENDPOINTS_PER_SERVICE {
                    let name = format!("{service}-{az}-{number}");
                    let mut cfg = StandInConfig::new(&name, service, az, kind);
                    cfg.seed = SEED;
                    cfg.gates = self.gate_urls(az);
                    cfg.models = loaded_models(kind, version);
                    let endpoint = stand_in::start(cfg).await.expect("start the endpoint");
                    self.endpoints.push(endpoint);
                }
            }
        }
    }

    fn gate_urls(&self, az: &str) -> Vec<String> {
        let vms = VMS.iter().filter(|vm| vm.az == az);
        let gates = vms.filter_map(|vm| self.gates.get(vm.name));
        gates.map(Role::url).collect()
    }

    fn update_endpoint_gates(&self) {
        for endpoint in &self.endpoints {
            endpoint.set_gates(self.gate_urls(endpoint.az()));
        }
    }

    /// Waits until every gate has a declaration and knows the endpoints of its availability zone.
    pub async fn wait_until_ready(&self) {
        for vm in VM_NAMES {
            self.wait_until_gate_ready(vm).await;
        }
    }

    /// Waits until the gate of `vm` has a declaration and knows the endpoints of its availability
    /// zone.
    pub async fn wait_until_gate_ready(&self, vm: &str) {
        let gate = self.gates[vm].http;
        wait_until(&format!("{vm} knows its endpoints"), async || {
            let revision = get(gate, "/v1/revision").await?;
            let known = get(gate, "/v1/endpoints").await?;
            let is_known = known.as_array()?.len() >= SERVICES.len() * ENDPOINTS_PER_SERVICE;
            (is_known && revision["revision"].as_u64()? > 0).then_some(())
        })
        .await;
    }

    /// Returns the endpoints of all availability zones.
    pub fn endpoints(&self) -> &[StandIn] {
        &self.endpoints
    }

    /// Returns how many times endpoints started the call of the booking with `key`.
    pub fn execution_count(&self, key: Uuid) -> usize {
        let key = key.to_string();
        let is_started = |entry: &JournalEntry| {
            entry.key.as_deref() == Some(&key) && entry.event == Event::Started
        };
        let entries = self.endpoints.iter().flat_map(StandIn::journal);
        entries
            .filter(|entry| entry.service == "ledger-desk" && is_started(entry))
            .count()
    }
}

fn find_vm(name: &str) -> Vm {
    let vm = VMS.iter().find(|vm| vm.name == name);
    *vm.expect("the VM is one of VM_NAMES")
}

/// Returns the folder of the programs, which cargo builds above the folder of the running test.
fn program_folder() -> PathBuf {
    let test = std::env::current_exe().expect("a test has a path");
    let folder = test.parent().and_then(std::path::Path::parent);
    folder
        .expect("the test's folder is below the programs")
        .to_owned()
}

async fn start_proxies() -> BTreeMap<(&'static str, Listener), Proxy> {
    let mut proxies = BTreeMap::new();
    for az in ["sousse-a", "sousse-b", "monastir-a"] {
        let keepers = KEEPER_VMS.into_iter().map(Listener::Keeper);
        for listener in keepers.chain(VM_NAMES.into_iter().map(Listener::Gate)) {
            let proxy = Proxy::start(SEED).await.expect("start a proxy");
            proxies.insert((az, listener), proxy);
        }
    }
    proxies
}

fn loaded_models(kind: Kind, version: Option<u32>) -> Vec<membership::LoadedModel> {
    let model = |version| membership::LoadedModel {
        model: "appraise-7b".to_owned(),
        version,
        adapters: vec!["horlogerie".to_owned()],
    };
    match kind {
        Kind::Engine => version.map(model).into_iter().collect(),
        Kind::Pool | Kind::Plain => Vec::new(),
    }
}

async fn get(address: SocketAddr, path: &str) -> Option<Value> {
    let answer = Client::new(HTTP_TIMEOUT)
        .get(&format!("http://{address}{path}"))
        .await;
    let answer = answer.ok().filter(|answer| answer.status.is_success())?;
    serde_json::from_slice(&answer.body).ok()
}
