//! One deployment's processes as tasks of this one.

use std::{net::SocketAddr, path::Path, time::Duration};

use bench::stand_in::{self, Event, JournalEntry, Kind, StandIn, StandInConfig};
use eyre::{WrapErr, bail};
use host::{
    client::Client,
    role::Running,
    settings::Reader,
    shutdown::{StopHandle, StopSignal, channel},
};
use operators::{KeeperApi, Submission};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};
use uuid::Uuid;

use crate::{
    calls,
    deployment::{BOARD, Deployment, ENDPOINTS_EACH, board},
};

/// Longest wait for one step of the start.
const START_LIMIT: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(20);

/// A running deployment.
#[derive(Debug)]
pub struct Fleet {
    /// The gate's HTTP address.
    pub gate: SocketAddr,
    /// Where requests of routes are taken.
    pub routes: SocketAddr,
    /// The console's HTTP address.
    pub console: SocketAddr,
    /// The revision of the declaration.
    pub revision: u64,
    stop: StopHandle,
    roles: Vec<Running>,
    endpoints: Vec<StandIn>,
    // Dropped last: the keeper's data lives here.
    _folder: TempDir,
}

/// Starts every role and endpoint of `deployment` and makes its declaration the one in force.
pub async fn start(deployment: &Deployment) -> eyre::Result<Fleet> {
    let folder = TempDir::new().wrap_err("make a folder for the keeper's data")?;
    let (stop, stopped) = channel();
    let settings = |sections: &str| settings(deployment, folder.path(), sections);
    let data = "[keepers]\nvm-1 = 127.0.0.1:1\n[data]\nfolder = keeper\n";
    let cfg = read(&settings(data), keeper::Config::read)?;
    let keeper = keeper::start(cfg, stopped.clone()).await?;
    let keepers = match keeper.link {
        Some(link) => format!("[keepers]\nvm-1 = {link}\n"),
        None => bail!("start keeper: it takes no links"),
    };
    // No balancer stands before the demo's gate.
    let timing = "[timing]\nnotice_ms = 0\n";
    let cfg = read(&settings(&format!("{keepers}{timing}")), gate::Config::read)?;
    let gate = gate::start(cfg, stopped.clone()).await?;
    let cfg = settings("callers = 127.0.0.1:0\n") + &keepers + timing;
    let cfg = read(&cfg, forwarder::Config::read)?;
    let forwarder = forwarder::start(cfg, stopped.clone()).await?;
    let gates = match gate.link {
        Some(link) => format!("{keepers}[gates]\nvm-1 = {link}\n"),
        None => bail!("start gate: it takes no links"),
    };
    let (controller, console) = start_operators(&settings(&gates), stopped).await?;
    let revision = declare(deployment, keeper.http).await?;
    let mut endpoints = start_endpoints(deployment, gate.http).await?;
    endpoints.extend(start_board(deployment, keeper.http).await?);
    let fleet = Fleet {
        gate: gate.http,
        routes: forwarder.http,
        console: console.http,
        revision,
        stop,
        roles: vec![gate, forwarder, controller, console, keeper],
        endpoints,
        _folder: folder,
    };
    fleet.wait_until_declared().await?;
    fleet.wait_until_ready(deployment).await?;
    fleet.wait_until_passed_on().await?;
    Ok(fleet)
}

async fn start_operators(text: &str, stopped: StopSignal) -> eyre::Result<(Running, Running)> {
    // Nobody waits for the demo's engines to settle after a load.
    let pace = "[controller]\nsettle_ms = 50\n";
    let cfg = read(&format!("{text}{pace}"), controller::Config::read)?;
    let controller = controller::start(cfg, stopped.clone()).await?;
    let text = format!("{text}[controllers]\nvm-1 = {}\n", controller.http);
    let cfg = read(&text, console::Config::read)?;
    let console = console::start(cfg, stopped).await?;
    Ok((controller, console))
}

fn settings(deployment: &Deployment, folder: &Path, sections: &str) -> String {
    let sections = sections.replace("folder = ", &format!("folder = {}/", folder.display()));
    format!(
        "[vm]\nname = vm-1\navailability_zone = {}\n[listen]\nhttp = 127.0.0.1:0\nlink = 127.0.0.1:0\n{sections}",
        deployment.az
    )
}

fn read<C>(text: &str, take: impl FnOnce(&mut Reader) -> C) -> eyre::Result<C> {
    let mut reader = Reader::from_bytes("demo", Path::new(""), text.as_bytes())?;
    let cfg = take(&mut reader);
    reader.finish()?;
    Ok(cfg)
}

/// Submits the declaration until the keeper leads.
async fn declare(deployment: &Deployment, keeper: SocketAddr) -> eyre::Result<u64> {
    let api = KeeperApi::new(vec![keeper.to_string()], None);
    let submission = Submission {
        change: Uuid::now_v7(),
        base_revision: 0,
        author: "demo".to_owned(),
        reason: "first declaration".to_owned(),
        document: Some(deployment.declaration.to_owned() + &board()),
        sections: None,
    };
    let start = Instant::now();
    loop {
        match api.submit(&submission).await {
            Ok(accepted) => return Ok(accepted.revision),
            Err(e) if start.elapsed() > START_LIMIT => bail!("declare {}: {e}", deployment.name),
            Err(_) => sleep(POLL).await,
        }
    }
}

async fn start_endpoints(deployment: &Deployment, gate: SocketAddr) -> eyre::Result<Vec<StandIn>> {
    let mut endpoints = Vec::new();
    for (service, kind) in deployment.services {
        for number in 1..=ENDPOINTS_EACH {
            let name = format!("{service}-{number}");
            let mut cfg = StandInConfig::new(&name, service, deployment.az, kind);
            cfg.gates = vec![format!("http://{gate}")];
            endpoints.push(stand_in::start(cfg).await?);
        }
    }
    Ok(endpoints)
}

/// Endpoints that take requests whole announce themselves to keepers.
async fn start_board(deployment: &Deployment, keeper: SocketAddr) -> eyre::Result<Vec<StandIn>> {
    let mut endpoints = Vec::new();
    for number in 1..=ENDPOINTS_EACH {
        let name = format!("{BOARD}-{number}");
        let mut cfg = StandInConfig::new(&name, BOARD, deployment.az, Kind::Plain);
        cfg.gates = vec![format!("http://{keeper}")];
        endpoints.push(stand_in::start(cfg).await?);
    }
    Ok(endpoints)
}

impl Fleet {
    /// How often a booking was really run, over all endpoints.
    pub fn executions(&self, key: Uuid) -> usize {
        let key = key.to_string();
        let entries = self.endpoints.iter().flat_map(StandIn::journal);
        let is_run = |entry: &JournalEntry| {
            entry.key.as_deref() == Some(&key) && entry.event == Event::Started
        };
        entries.filter(is_run).count()
    }

    /// Stops every role in order and every endpoint.
    pub async fn stop(self) -> eyre::Result<()> {
        self.stop.stop();
        for role in self.roles {
            role.finished().await?;
        }
        for endpoint in self.endpoints {
            endpoint.kill();
        }
        Ok(())
    }

    /// Waits until the declaration is in force at the gate.
    async fn wait_until_declared(&self) -> eyre::Result<()> {
        let client = Client::new(START_LIMIT);
        let url = format!("http://{}/v1/revision", self.gate);
        let start = Instant::now();
        loop {
            let answer = client.get(&url).await?;
            let told: serde_json::Value = serde_json::from_slice(&answer.body)?;
            match told["revision"].as_u64() {
                Some(revision) if revision >= self.revision => return Ok(()),
                _ if start.elapsed() > START_LIMIT => {
                    bail!(
                        "wait for revision {} at the gate: it has {told}",
                        self.revision
                    )
                }
                _ => sleep(POLL).await,
            }
        }
    }

    /// Waits until requests of routes are passed on.
    async fn wait_until_passed_on(&self) -> eyre::Result<()> {
        let start = Instant::now();
        loop {
            match calls::pass(self).await?.status {
                200 => return Ok(()),
                status if start.elapsed() > START_LIMIT => {
                    bail!("wait until requests are passed on: status {status}")
                }
                _ => sleep(POLL).await,
            }
        }
    }

    /// Waits until the gate knows every endpoint and each engine serves its declared model.
    async fn wait_until_ready(&self, deployment: &Deployment) -> eyre::Result<()> {
        let engines = deployment
            .services
            .iter()
            .filter(|(_, kind)| *kind == Kind::Engine);
        let engines: Vec<&str> = engines.map(|(service, _)| *service).collect();
        let client = Client::new(START_LIMIT);
        let url = format!("http://{}/v1/endpoints", self.gate);
        let wanted = deployment.services.len() * ENDPOINTS_EACH;
        let start = Instant::now();
        loop {
            let answer = client.get(&url).await?;
            let list: serde_json::Value = serde_json::from_slice(&answer.body)?;
            let known = list.as_array().map_or(0, Vec::len);
            let is_loaded = |view: &serde_json::Value| {
                let service = view["service"].as_str().unwrap_or_default();
                !engines.contains(&service)
                    || view["models"].as_array().is_some_and(|m| !m.is_empty())
            };
            let loaded = list.as_array().is_some_and(|l| l.iter().all(is_loaded));
            match known == wanted && loaded {
                true => return Ok(()),
                false if start.elapsed() > START_LIMIT => {
                    bail!(
                        "start {}: gate knows {known} of {wanted} endpoints: {list}",
                        deployment.name
                    )
                }
                false => sleep(POLL).await,
            }
        }
    }
}
