//! The processes and endpoints of a soak, each behind proxies with addresses that stay.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Mutex,
};

use bench::{
    processes::{Folders, RoleProcess},
    proxy::Proxy,
    stand_in::{self, Event, JournalEntry, Kind, StandIn, StandInConfig},
};
use eyre::{WrapErr, eyre};

/// Availability zones; each has a keeper.
pub(crate) const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Gates by the number of their zone.
pub(crate) const GATE_ZONES: [usize; 4] = [0, 0, 1, 2];
/// Services with their kind; each has an endpoint in every zone.
const SERVICES: [(&str, Kind); 3] = [
    ("desk", Kind::Plain),
    ("chat", Kind::Plain),
    ("ice", Kind::Pool),
];
/// How long a confirmation of the declaration holds, in milliseconds.
pub(crate) const CONFIRMED_MS: u64 = 2_000;

/// A process of ours and the proxies before its listeners.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) name: String,
    zone: &'static str,
    pub(crate) link: Proxy,
    /// A keeper's HTTP; a gate's callers.
    pub(crate) http: Proxy,
    pub(crate) role: Option<RoleProcess>,
}

/// An endpoint, the proxy before it, and what its earlier incarnations ran.
#[derive(Debug)]
pub(crate) struct Endpoint {
    name: String,
    service: &'static str,
    kind: Kind,
    zone: &'static str,
    pub(crate) proxy: Proxy,
    pub(crate) stand_in: Option<StandIn>,
    earlier: Mutex<Vec<JournalEntry>>,
}

/// Everything that runs.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) folders: Folders,
    seed: u64,
    pub(crate) keepers: Vec<Process>,
    pub(crate) gates: Vec<Process>,
    pub(crate) endpoints: Vec<Endpoint>,
}

impl Fleet {
    /// Starts all processes and endpoints in `work`.
    pub(crate) async fn start(work: &Path, seed: u64) -> eyre::Result<Self> {
        let mut fleet = Self {
            folders: Folders {
                programs: programs()?,
                work: work.to_owned(),
            },
            seed,
            keepers: Vec::new(),
            gates: Vec::new(),
            endpoints: Vec::new(),
        };
        for (number, zone) in ZONES.into_iter().enumerate() {
            let name = format!("keeper-{number}");
            let keeper = process(name, zone, seed).await?;
            fleet.keepers.push(keeper);
        }
        for (number, zone) in GATE_ZONES.into_iter().enumerate() {
            let name = format!("gate-{number}");
            let gate = process(name, ZONES[zone], seed).await?;
            fleet.gates.push(gate);
        }
        for number in 0..ZONES.len() {
            fleet.start_keeper(number).await?;
        }
        for number in 0..GATE_ZONES.len() {
            fleet.start_gate(number).await?;
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
                    earlier: Mutex::default(),
                });
            }
        }
        for number in 0..fleet.endpoints.len() {
            fleet.start_endpoint(number).await?;
        }
        Ok(fleet)
    }

    /// Starts, or starts again, a keeper on its folder.
    pub(crate) async fn start_keeper(&mut self, number: usize) -> eyre::Result<()> {
        let more = format!("http = 127.0.0.1:0\n[data]\nfolder = data-{number}\n");
        let settings = self.settings(&self.keepers[number], &more);
        let name = self.keepers[number].name.clone();
        let role = self.folders.start("jujube-keeper", &name, &settings);
        self.keepers[number].runs(role.await?)
    }

    /// Starts, or starts again, a gate.
    pub(crate) async fn start_gate(&mut self, number: usize) -> eyre::Result<()> {
        let more = format!(
            "http = 127.0.0.1:0\ncallers = 127.0.0.1:0\n[retries]\nslack = 400\n[timing]\n\
             notice_ms = 300\ndrain_ms = 4000\nconfirmed_ms = {CONFIRMED_MS}\n"
        );
        let settings = self.settings(&self.gates[number], &more);
        let name = self.gates[number].name.clone();
        let role = self.folders.start("jujube-forwarder", &name, &settings);
        self.gates[number].runs(role.await?)
    }

    fn settings(&self, process: &Process, more: &str) -> String {
        let (name, zone, advertised) = (&process.name, process.zone, process.link.address());
        let keeper = |keeper: &Process| format!("{} = {}\n", keeper.name, keeper.link.address());
        let keepers: String = self.keepers.iter().map(keeper).collect();
        format!(
            "[vm]\nname = {name}\navailability_zone = {zone}\n[keepers]\n{keepers}\
             [listen]\nlink = 127.0.0.1:0\nadvertised_link = {advertised}\n{more}"
        )
    }

    /// Starts an endpoint as a new incarnation.
    pub(crate) async fn start_endpoint(&mut self, number: usize) -> eyre::Result<()> {
        let keepers = self
            .keepers
            .iter()
            .map(|k| format!("http://{}", k.http.address()));
        let mut gates: Vec<String> = keepers.collect();
        // Each zone's endpoints turn to its own keeper first.
        let own = ZONES.iter().position(|z| *z == self.endpoints[number].zone);
        gates.rotate_left(own.unwrap_or(0));
        let endpoint = &mut self.endpoints[number];
        let mut cfg = StandInConfig::new(
            &endpoint.name,
            endpoint.service,
            endpoint.zone,
            endpoint.kind,
        );
        cfg.gates = gates;
        cfg.seed = self.seed;
        cfg.announced_address = Some(format!("http://{}", endpoint.proxy.address()));
        let stand_in = stand_in::start(cfg).await?;
        endpoint.proxy.set_upstream(stand_in.address());
        endpoint.stand_in = Some(stand_in);
        Ok(())
    }

    /// Ends an endpoint at once.
    pub(crate) fn kill_endpoint(&mut self, number: usize) {
        self.endpoints[number].end();
    }

    /// Every entry of every incarnation of every endpoint.
    pub(crate) fn journal(&self) -> Vec<JournalEntry> {
        let all = self.endpoints.iter().flat_map(Endpoint::journal);
        all.collect()
    }

    /// How often the call `id` of `service` was run.
    pub(crate) fn runs(&self, service: &str, id: &str) -> usize {
        let all = self.journal();
        let is_it =
            |e: &&JournalEntry| e.service == service && e.call == id && e.event == Event::Started;
        all.iter().filter(is_it).count()
    }

    /// Addresses at which callers reach the gates.
    pub(crate) fn entries(&self) -> Vec<SocketAddr> {
        self.gates.iter().map(|gate| gate.http.address()).collect()
    }

    /// Addresses at which operators reach the keepers.
    pub(crate) fn operators(&self) -> Vec<String> {
        let keepers = self.keepers.iter();
        keepers.map(|k| k.http.address().to_string()).collect()
    }
}

impl Process {
    fn runs(&mut self, role: RoleProcess) -> eyre::Result<()> {
        let link = role
            .link
            .ok_or_else(|| eyre!("{} takes no links", self.name))?;
        self.link.set_upstream(link);
        self.http.set_upstream(role.http);
        self.role = Some(role);
        Ok(())
    }
}

impl Endpoint {
    fn end(&mut self) {
        let Some(stand_in) = self.stand_in.take() else {
            return;
        };
        let mut earlier = self.earlier.lock().expect("no holder of this lock panics");
        earlier.extend(stand_in.journal());
        drop(earlier);
        stand_in.kill();
    }

    fn journal(&self) -> Vec<JournalEntry> {
        let mut all = self
            .earlier
            .lock()
            .expect("no holder of this lock panics")
            .clone();
        all.extend(self.stand_in.iter().flat_map(StandIn::journal));
        all
    }
}

async fn process(name: String, zone: &'static str, seed: u64) -> eyre::Result<Process> {
    Ok(Process {
        name,
        zone,
        link: Proxy::start(seed).await?,
        http: Proxy::start(seed).await?,
        role: None,
    })
}

/// The folder of the programs that cargo built beside the running test.
fn programs() -> eyre::Result<PathBuf> {
    let test = std::env::current_exe().wrap_err("find the running test")?;
    let folder = test.parent().and_then(Path::parent);
    let folder = folder.ok_or_else(|| eyre!("tests lie below the programs"))?;
    Ok(folder.to_owned())
}
