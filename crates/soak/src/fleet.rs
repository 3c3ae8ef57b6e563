//! The processes and endpoints of a soak, each behind proxies whose addresses survive restarts.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Mutex,
};

use bench::{
    processes::{Folders, RoleProcess},
    proxy::Proxy,
    rate_check::{CONTACT_TIME, WINDOW, allowed, most_in_window},
    stand_in::{self, Event, JournalEntry, Kind, StandIn, StandInConfig},
};
use eyre::{WrapErr, eyre};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::{task::JoinSet, time::Instant};

use crate::{
    gate_faults::GateFaults,
    restarts::Restarted,
    results::Results,
    topology::{GATE_ZONES, ProcessId, ZONES},
};

/// Services and the kind of their endpoints; each service has one endpoint in every zone.
const SERVICES: [(&str, Kind); 3] = [
    ("desk", Kind::Plain),
    ("chat", Kind::Plain),
    ("ice", Kind::Pool),
];
/// Request rates that endpoints name, in requests per second.
const LIMITS: std::ops::Range<f64> = 0.5..6.0;
/// The gates' setting `confirmed_ms`: time for which a confirmation of the declaration is valid.
pub(crate) const CONFIRMED_MS: u64 = 2_000;

/// A keeper or a gate, and the proxies in front of its listeners.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) name: String,
    zone: &'static str,
    pub(crate) link: Proxy,
    /// Proxy of a keeper's HTTP listener or of a gate's listener for callers.
    pub(crate) http: Proxy,
    pub(crate) role: Option<RoleProcess>,
}

/// An endpoint, the proxy in front of it, and the journal of its past incarnations.
#[derive(Debug)]
pub(crate) struct Endpoint {
    name: String,
    service: &'static str,
    kind: Kind,
    zone: &'static str,
    pub(crate) proxy: Proxy,
    pub(crate) stand_in: Option<StandIn>,
    past_entries: Mutex<Vec<JournalEntry>>,
    /// The request rate that it names in its answers.
    limit: Option<Limit>,
    /// Arrivals at past incarnations that named the rate, and since when they did.
    past_arrivals: Vec<(Instant, Vec<Instant>)>,
}

/// A request rate that an endpoint names.
#[derive(Clone, Copy, Debug)]
struct Limit {
    per_second: f64,
    /// Since when its present incarnation names it.
    since: Instant,
}

/// All processes and endpoints of a soak.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) folders: Folders,
    seed: u64,
    pub(crate) keepers: Vec<Process>,
    pub(crate) gates: Vec<Process>,
    pub(crate) endpoints: Vec<Endpoint>,
    pub(crate) gate_faults: GateFaults,
    pub(crate) restarts: JoinSet<eyre::Result<Restarted>>,
}

impl Fleet {
    /// Starts all processes and endpoints; their files go into `work`.
    pub(crate) async fn start(work: &Path, seed: u64) -> eyre::Result<Self> {
        let mut fleet = Self {
            folders: Folders {
                programs: program_folder()?,
                work: work.to_owned(),
            },
            seed,
            keepers: Vec::new(),
            gates: Vec::new(),
            endpoints: Vec::new(),
            gate_faults: GateFaults::default(),
            restarts: JoinSet::new(),
        };
        for (number, zone) in ZONES.into_iter().enumerate() {
            let name = format!("keeper-{number}");
            let keeper = new_process(name, zone, seed).await?;
            fleet.keepers.push(keeper);
        }
        for (number, zone) in GATE_ZONES.into_iter().enumerate() {
            let name = format!("gate-{number}");
            let gate = new_process(name, ZONES[zone], seed).await?;
            fleet.gates.push(gate);
        }
        for number in 0..ZONES.len() {
            fleet.start_process(ProcessId::Keeper(number)).await?;
        }
        for number in 0..GATE_ZONES.len() {
            fleet.start_process(ProcessId::Gate(number)).await?;
        }
        for zone in ZONES {
            for (service, kind) in SERVICES {
                fleet.endpoints.push(Endpoint {
                    name: format!("{service}-{zone}"),
                    service,
                    kind,
                    zone,
                    proxy: Proxy::start(seed).await?,
                    stand_in: None,
                    past_entries: Mutex::default(),
                    limit: None,
                    past_arrivals: Vec::new(),
                });
            }
        }
        for number in 0..fleet.endpoints.len() {
            fleet.start_endpoint(number).await?;
        }
        Ok(fleet)
    }

    async fn start_process(&mut self, id: ProcessId) -> eyre::Result<()> {
        let (program, settings) = self.program_and_settings(id);
        let name = &self.process(id).name;
        let role = self.folders.start(program, name, &settings).await?;
        self.process_mut(id).set_running(role)
    }

    /// Returns the program of a process and its settings, which a restart does not change.
    pub(crate) fn program_and_settings(&self, id: ProcessId) -> (&'static str, String) {
        let (program, extra) = match id {
            ProcessId::Keeper(number) => (
                "jujube-keeper",
                format!("http = 127.0.0.1:0\n[data]\nfolder = data-{number}\n"),
            ),
            ProcessId::Gate(_) => (
                "jujube-forwarder",
                format!(
                    "http = 127.0.0.1:0\ncallers = 127.0.0.1:0\n[retries]\nslack = 400\n[timing]\n\
                     notice_ms = 300\ndrain_ms = 4000\nconfirmed_ms = {CONFIRMED_MS}\n"
                ),
            ),
        };
        (program, self.settings(self.process(id), &extra))
    }

    fn settings(&self, process: &Process, extra: &str) -> String {
        let (name, zone, advertised) = (&process.name, process.zone, process.link.address());
        let keeper = |keeper: &Process| format!("{} = {}\n", keeper.name, keeper.link.address());
        let keepers: String = self.keepers.iter().map(keeper).collect();
        format!(
            "[vm]\nname = {name}\navailability_zone = {zone}\n[keepers]\n{keepers}\
             [listen]\nlink = 127.0.0.1:0\nadvertised_link = {advertised}\n{extra}"
        )
    }

    /// Starts an endpoint as a new incarnation.
    pub(crate) async fn start_endpoint(&mut self, number: usize) -> eyre::Result<()> {
        let keepers = self
            .keepers
            .iter()
            .map(|k| format!("http://{}", k.http.address()));
        let mut keeper_urls: Vec<String> = keepers.collect();
        // An endpoint contacts the keeper of its own zone first.
        let own_zone = ZONES.iter().position(|z| *z == self.endpoints[number].zone);
        keeper_urls.rotate_left(own_zone.unwrap_or(0));
        let endpoint = &mut self.endpoints[number];
        let mut cfg = StandInConfig::new(
            &endpoint.name,
            endpoint.service,
            endpoint.zone,
            endpoint.kind,
        );
        cfg.gates = keeper_urls;
        cfg.seed = self.seed;
        cfg.announced_address = Some(format!("http://{}", endpoint.proxy.address()));
        let stand_in = stand_in::start(cfg).await?;
        endpoint.proxy.set_upstream(stand_in.address());
        endpoint.stand_in = Some(stand_in);
        if let Some(limit) = endpoint.limit {
            endpoint.name_limit(limit.per_second);
        }
        Ok(())
    }

    /// Makes one endpoint of each service, drawn from the seed, name a request rate.
    pub(crate) fn name_limits(&mut self) {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        for (service, _) in SERVICES {
            let zone = ZONES[rng.random_range(0..ZONES.len())];
            let per_second = rng.random_range(LIMITS);
            let is_drawn = |e: &&mut Endpoint| e.service == service && e.zone == zone;
            let drawn = self.endpoints.iter_mut().find(is_drawn);
            if let Some(endpoint) = drawn {
                endpoint.name_limit(per_second);
            }
        }
    }

    /// Checks that all gates together kept the rates that endpoints named.
    pub(crate) fn check_limits(&self, results: &Results) {
        for endpoint in &self.endpoints {
            let Some(limit) = endpoint.limit else {
                continue;
            };
            for (since, arrivals) in endpoint.limited_arrivals() {
                let since = since + CONTACT_TIME;
                let most = most_in_window(&arrivals, since, Instant::now());
                let allowed = allowed(limit.per_second);
                if most > allowed {
                    let details = format!(
                        "{} names {:.1} a second and got {most} requests in {WINDOW:?}; allowed \
                         {allowed}",
                        endpoint.name, limit.per_second
                    );
                    results.record("all gates together keep an endpoint's rate", details);
                }
            }
        }
    }

    /// Kills an endpoint without notice; its journal is kept.
    pub(crate) fn kill_endpoint(&mut self, number: usize) {
        self.endpoints[number].kill();
    }

    /// Returns the journal entries of all incarnations of all endpoints.
    pub(crate) fn journal(&self) -> Vec<JournalEntry> {
        let entries = self.endpoints.iter().flat_map(Endpoint::journal);
        entries.collect()
    }

    /// Returns how many times call `id` of `service` was started.
    pub(crate) fn execution_count(&self, service: &str, id: &str) -> usize {
        let entries = self.journal();
        let is_start_of_call =
            |e: &&JournalEntry| e.service == service && e.call == id && e.event == Event::Started;
        entries.iter().filter(is_start_of_call).count()
    }

    /// Returns the addresses at which callers reach the gates, by gate index.
    pub(crate) fn gate_addresses(&self) -> Vec<SocketAddr> {
        self.gates.iter().map(|gate| gate.http.address()).collect()
    }

    /// Returns the addresses at which operators reach the keepers.
    pub(crate) fn keeper_addresses(&self) -> Vec<String> {
        let keepers = self.keepers.iter();
        keepers.map(|k| k.http.address().to_string()).collect()
    }
}

impl Process {
    pub(crate) fn set_running(&mut self, role: RoleProcess) -> eyre::Result<()> {
        let link = role
            .link
            .ok_or_else(|| eyre!("{} has no link address", self.name))?;
        self.link.set_upstream(link);
        self.http.set_upstream(role.http);
        self.role = Some(role);
        Ok(())
    }
}

impl Endpoint {
    fn kill(&mut self) {
        let Some(stand_in) = self.stand_in.take() else {
            return;
        };
        let mut past_entries = self
            .past_entries
            .lock()
            .expect("no holder of this lock panics");
        past_entries.extend(stand_in.journal());
        drop(past_entries);
        if let Some(limit) = self.limit {
            self.past_arrivals.push((limit.since, stand_in.arrivals()));
        }
        stand_in.kill();
    }

    fn name_limit(&mut self, per_second: f64) {
        let since = Instant::now();
        self.limit = Some(Limit { per_second, since });
        if let Some(stand_in) = &self.stand_in {
            stand_in.set_limit(Some(&per_second.to_string()));
        }
    }

    /// Returns the arrivals at each incarnation that named the rate, and since when it did.
    fn limited_arrivals(&self) -> Vec<(Instant, Vec<Instant>)> {
        let mut all = self.past_arrivals.clone();
        if let Some((limit, stand_in)) = self.limit.zip(self.stand_in.as_ref()) {
            all.push((limit.since, stand_in.arrivals()));
        }
        all
    }

    fn journal(&self) -> Vec<JournalEntry> {
        let mut entries = self
            .past_entries
            .lock()
            .expect("no holder of this lock panics")
            .clone();
        entries.extend(self.stand_in.iter().flat_map(StandIn::journal));
        entries
    }
}

async fn new_process(name: String, zone: &'static str, seed: u64) -> eyre::Result<Process> {
    Ok(Process {
        name,
        zone,
        link: Proxy::start(seed).await?,
        http: Proxy::start(seed).await?,
        role: None,
    })
}

/// Returns the target folder that holds the binaries: the parent of the one with this test.
fn program_folder() -> eyre::Result<PathBuf> {
    let executable = std::env::current_exe().wrap_err("locate the test executable")?;
    let folder = executable.parent().and_then(Path::parent);
    let folder = folder
        .ok_or_else(|| eyre!("the test executable is not below the folder of the binaries"))?;
    Ok(folder.to_owned())
}
