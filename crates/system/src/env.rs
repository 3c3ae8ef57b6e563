//! Processes of three availability zones with endpoints and proxies between them.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, process::Output, time::Duration};

use bench::{
    processes::{Folders, RoleProcess, Signal},
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
    wait::until,
};

/// One entry VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Vm {
    /// Its name.
    pub name: &'static str,
    /// Its availability zone.
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
/// VMs with a keeper, one an availability zone.
pub const KEEPER_VMS: [&str; 3] = ["sousse-a-1", "sousse-b-1", "monastir-a-1"];

const SERVICES: [(&str, Kind); 5] = [
    ("appraise-llm", Kind::Engine),
    ("ledger-desk", Kind::Plain),
    ("dealer-portal", Kind::Plain),
    ("photo-vault", Kind::Pool),
    ("invoice-mill", Kind::Plain),
];
const ENDPOINTS_EACH: usize = 2;
const SEED: u64 = 20_261_204;
/// Time in which lines that belong together reach their file.
const LAST_LINES: Duration = Duration::from_millis(100);
const HTTP_LIMIT: Duration = Duration::from_secs(2);
const DECLARATION: &str = include_str!("../../../examples/watch-trading/declaration.ini");

/// A process that takes links, as seen from one availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Listener {
    Keeper(&'static str),
    Gate(&'static str),
}

/// The whole system on loopback; dropping it ends every process.
#[derive(Debug)]
pub struct Env {
    folders: Folders,
    proxies: BTreeMap<(&'static str, Listener), Proxy>,
    keepers: BTreeMap<&'static str, RoleProcess>,
    gates: BTreeMap<&'static str, RoleProcess>,
    others: BTreeMap<String, RoleProcess>,
    endpoints: Vec<StandIn>,
    // Dropped last: data and logs live here.
    _folder: TempDir,
}

impl Env {
    /// Starts keepers and gates, puts the watch traders' declaration in force and starts endpoints
    /// that already serve the declared model.
    pub async fn start() -> Self {
        let mut env = Self::start_empty().await;
        env.declare(DECLARATION, "first declaration").await;
        env.start_endpoints(Some(3)).await;
        env.wait_until_ready().await;
        env
    }

    /// Starts keepers and gates only.
    pub async fn start_empty() -> Self {
        let folder = TempDir::new().expect("make a folder for the test's files");
        let mut env = Self {
            folders: Folders {
                programs: programs(),
                work: folder.path().to_owned(),
            },
            proxies: proxies().await,
            keepers: BTreeMap::new(),
            gates: BTreeMap::new(),
            others: BTreeMap::new(),
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

    /// Starts, or starts again, the keeper of `vm` on its folder.
    pub async fn start_keeper(&mut self, vm: &'static str) {
        let more = format!("[data]\nfolder = data/{vm}\n");
        let text = settings::role(
            &find(vm),
            &self.keepers_from(find(vm).az),
            &Peers::new(),
            &more,
        );
        let role = self
            .run("jujube-keeper", &format!("{vm}.keeper"), &text)
            .await;
        self.set_upstream(Listener::Keeper(vm), role.link);
        self.keepers.insert(vm, role);
    }

    /// Starts, or starts again, the gate of `vm`.
    pub async fn start_gate(&mut self, vm: &'static str) {
        let vm = find(vm);
        let gates = self.other_gates(&vm);
        let more = "[timing]\nnotice_ms = 300\n";
        let text = settings::role(&vm, &self.keepers_from(vm.az), &gates, more);
        let role = self
            .run("jujube-gate", &format!("{}.gate", vm.name), &text)
            .await;
        self.set_upstream(Listener::Gate(vm.name), role.link);
        self.gates.insert(vm.name, role);
        self.tell_endpoints();
    }

    /// Writes a file beside the settings files.
    pub fn write(&self, name: &str, text: &str) {
        std::fs::write(self.folders.work.join(name), text).expect("write a file of the test");
    }

    /// Runs the operators' command line in the test's folder.
    pub async fn jujubeferry(&self, args: &[&str]) -> Output {
        let keepers: Vec<String> = self.keepers.values().map(|k| k.http.to_string()).collect();
        let mut command = Command::new(self.folders.programs.join("jujubeferry"));
        command.args(args).arg("--keepers").arg(keepers.join(","));
        let output = command.current_dir(&self.folders.work).output().await;
        output.expect("run jujubeferry")
    }

    /// What `jujubeferry explain` finds of `request` in the logs of all processes, once they tell of
    /// its end.
    pub async fn explain(&self, request: &str) -> String {
        until(&format!("the logs tell how {request} ended"), async || {
            let told = self.explain_now(request).await;
            sleep(LAST_LINES).await;
            let is_whole = told.contains(" after ") && told == self.explain_now(request).await;
            is_whole.then_some(told)
        })
        .await
    }

    async fn explain_now(&self, request: &str) -> String {
        let files = std::fs::read_dir(&self.folders.work).expect("read the test's folder");
        let files = files.map(|file| file.expect("read the test's folder").path());
        let logs = files.filter(|path| path.extension().is_some_and(|end| end == "log"));
        let mut command = Command::new(self.folders.programs.join("jujubeferry"));
        command.arg("explain").arg(request).args(logs);
        let output = command.output().await.expect("run jujubeferry");
        String::from_utf8(output.stdout).expect("it prints text")
    }

    /// Starts a controller on `vm` and returns its HTTP address.
    pub async fn start_controller(&mut self, vm: &'static str, more: &str) -> SocketAddr {
        let vm = find(vm);
        let gates = self.gates_from(vm.az);
        let text = settings::role(&vm, &self.keepers_from(vm.az), &gates, more);
        let name = format!("{}.controller", vm.name);
        let role = self.run("jujube-controller", &name, &text).await;
        let http = role.http;
        self.others.insert(name, role);
        http
    }

    /// Starts the console and returns its HTTP address.
    pub async fn start_console(&mut self, more: &str) -> SocketAddr {
        let vm = find("sousse-a-2");
        let gates = self.gates_from(vm.az);
        let text = settings::role(&vm, &self.keepers_from(vm.az), &gates, more);
        let role = self.run("jujube-console", "console", &text).await;
        let http = role.http;
        self.others.insert("console".to_owned(), role);
        http
    }

    async fn run(&self, program: &str, name: &str, settings: &str) -> RoleProcess {
        let started = self.folders.start(program, name, settings).await;
        started
            .unwrap_or_else(|e| panic!("{e:#}; build the programs with `cargo build --workspace`"))
    }

    fn set_upstream(&self, listener: Listener, link: Option<SocketAddr>) {
        let link = link.expect("the role takes links");
        let of_listener = self.proxies.iter().filter(|((_, to), _)| *to == listener);
        of_listener.for_each(|(_, proxy)| proxy.set_upstream(link));
    }

    fn keepers_from(&self, az: &'static str) -> Peers {
        let address = |vm| self.proxies[&(az, Listener::Keeper(vm))].address();
        KEEPER_VMS.into_iter().map(|vm| (vm, address(vm))).collect()
    }

    /// Gates of the same availability zone.
    fn gates_from(&self, az: &'static str) -> Peers {
        let own = VMS.iter().filter(|vm| vm.az == az);
        let address = |vm| self.proxies[&(az, Listener::Gate(vm))].address();
        own.map(|vm| (vm.name, address(vm.name))).collect()
    }

    /// Every gate but that of `vm`, as seen from there.
    fn other_gates(&self, vm: &Vm) -> Peers {
        let others = VMS.iter().filter(|other| other.name != vm.name);
        let address = |to| self.proxies[&(vm.az, Listener::Gate(to))].address();
        others.map(|to| (to.name, address(to.name))).collect()
    }

    /// Cuts `az` off: its links to and from the others carry nothing, without a FIN or RST.
    pub fn cut_off(&self, az: &str) {
        self.set_cut(az, Cut::Both);
    }

    /// Heals what [`Env::cut_off`] did.
    pub fn heal(&self, az: &str) {
        self.set_cut(az, Cut::None);
    }

    fn set_cut(&self, az: &str, cut: Cut) {
        for ((from, to), proxy) in &self.proxies {
            let (Listener::Keeper(vm) | Listener::Gate(vm)) = to;
            if (*from == az) != (find(vm).az == az) {
                proxy.set_rules(Rules::cut(cut));
            }
        }
    }

    /// Connections that are open now go silent for good; new ones work.
    pub fn silence_open_links(&self) {
        self.proxies.values().for_each(Proxy::silence_connections);
    }

    /// The gate of `vm`.
    pub fn gate(&self, vm: &str) -> &RoleProcess {
        &self.gates[vm]
    }

    /// The gate of `vm`, to kill or wait for.
    pub fn gate_mut(&mut self, vm: &str) -> &mut RoleProcess {
        self.gates.get_mut(vm).expect("the VM has a gate")
    }

    /// The keeper of `vm`.
    pub fn keeper(&self, vm: &str) -> &RoleProcess {
        &self.keepers[vm]
    }

    /// A process other than keepers and gates.
    pub fn other(&self, name: &str) -> &RoleProcess {
        &self.others[name]
    }

    /// Kills the keeper of `vm` by SIGKILL.
    pub async fn kill_keeper(&mut self, vm: &str) {
        let keeper = self.keepers.get_mut(vm).expect("the VM has a keeper");
        keeper.kill().await.expect("kill the keeper");
    }

    /// Kills the gate of `vm` by SIGKILL; its endpoints announce to the others.
    pub async fn kill_gate(&mut self, vm: &str) {
        self.gate_mut(vm).kill().await.expect("kill the gate");
    }

    /// Sends a signal to the keeper of `vm`.
    pub fn signal_keeper(&self, vm: &str, signal: Signal) {
        self.keepers[vm].signal(signal).expect("signal the keeper");
    }

    /// The VM whose keeper leads, as the keepers in `among` tell.
    pub async fn leader(&self, among: &[&'static str]) -> &'static str {
        until("a keeper leads", async || {
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

    /// An operator's client of all keepers.
    pub fn api(&self) -> KeeperApi {
        let keepers = self.keepers.values().map(|role| role.http.to_string());
        KeeperApi::new(keepers.collect(), None)
    }

    /// Submits a whole document on the newest revision until it is accepted.
    pub async fn declare(&self, document: &str, reason: &str) -> u64 {
        let api = self.api();
        let change = Uuid::now_v7();
        until("the document is accepted", async || {
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
            until(
                &format!("revision {revision} is in force at {vm}"),
                async || {
                    let told = get(gate, "/v1/revision").await?;
                    (told["revision"].as_u64()? >= revision).then_some(())
                },
            )
            .await;
        }
    }

    /// Starts endpoints of every service in every availability zone; engines serve `version` of the
    /// declared model, or none.
    pub async fn start_endpoints(&mut self, version: Option<u32>) {
        for az in ["sousse-a", "sousse-b", "monastir-a"] {
            for (service, kind) in SERVICES {
                for number in 1..=ENDPOINTS_EACH {
                    let name = format!("{service}-{az}-{number}");
                    let mut cfg = StandInConfig::new(&name, service, az, kind);
                    cfg.seed = SEED;
                    cfg.gates = self.gate_urls(az);
                    cfg.models = models(kind, version);
                    let endpoint = stand_in::start(cfg).await.expect("start the endpoint");
                    self.endpoints.push(endpoint);
                }
            }
        }
    }

    fn gate_urls(&self, az: &str) -> Vec<String> {
        let own = VMS.iter().filter(|vm| vm.az == az);
        let gates = own.filter_map(|vm| self.gates.get(vm.name));
        gates.map(RoleProcess::url).collect()
    }

    fn tell_endpoints(&self) {
        for endpoint in &self.endpoints {
            endpoint.set_gates(self.gate_urls(endpoint.az()));
        }
    }

    /// Waits until every gate has the declaration and knows its availability zone's endpoints.
    pub async fn wait_until_ready(&self) {
        for vm in VM_NAMES {
            self.wait_until_gate_ready(vm).await;
        }
    }

    /// Waits until one gate has the declaration and knows its availability zone's endpoints.
    pub async fn wait_until_gate_ready(&self, vm: &str) {
        let gate = self.gates[vm].http;
        until(&format!("{vm} knows its endpoints"), async || {
            let revision = get(gate, "/v1/revision").await?;
            let known = get(gate, "/v1/endpoints").await?;
            let is_known = known.as_array()?.len() >= SERVICES.len() * ENDPOINTS_EACH;
            (is_known && revision["revision"].as_u64()? > 0).then_some(())
        })
        .await;
    }

    /// The endpoints.
    pub fn endpoints(&self) -> &[StandIn] {
        &self.endpoints
    }

    /// How often the call of a booking was really run.
    pub fn executions(&self, key: Uuid) -> usize {
        let key = key.to_string();
        let is_run = |entry: &JournalEntry| {
            entry.key.as_deref() == Some(&key) && entry.event == Event::Started
        };
        let entries = self.endpoints.iter().flat_map(StandIn::journal);
        entries
            .filter(|entry| entry.service == "ledger-desk" && is_run(entry))
            .count()
    }
}

fn find(name: &str) -> Vm {
    let vm = VMS.iter().find(|vm| vm.name == name);
    *vm.expect("the VM is one of VM_NAMES")
}

/// The folder of the programs that cargo built beside the running test.
fn programs() -> PathBuf {
    let test = std::env::current_exe().expect("a test has a path");
    let folder = test.parent().and_then(std::path::Path::parent);
    folder.expect("tests lie below the programs").to_owned()
}

async fn proxies() -> BTreeMap<(&'static str, Listener), Proxy> {
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

fn models(kind: Kind, version: Option<u32>) -> Vec<membership::LoadedModel> {
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
    let answer = Client::new(HTTP_LIMIT)
        .get(&format!("http://{address}{path}"))
        .await;
    let answer = answer.ok().filter(|answer| answer.status.is_success())?;
    serde_json::from_slice(&answer.body).ok()
}
