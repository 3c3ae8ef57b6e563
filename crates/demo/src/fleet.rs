//! Runs all roles and endpoints of a deployment as tasks of this process.

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
    deployment::{Deployment, ENDPOINTS_PER_SERVICE, NOTICE_BOARD, notice_board_sections},
};

/// Timeout of each step of the start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running deployment.
#[derive(Debug)]
pub struct Fleet {
    /// HTTP address of the gate.
    pub gate: SocketAddr,
    /// HTTP address of the forwarder, for requests to routes.
    pub forwarder: SocketAddr,
    /// HTTP address of the console.
    pub console: SocketAddr,
    /// Revision of the submitted declaration.
    pub revision: u64,
    stop: StopHandle,
    roles: Vec<Running>,
    endpoints: Vec<StandIn>,
    // Contains the keeper's data, so it is dropped last.
    _folder: TempDir,
}

/// Starts every role and endpoint of `deployment`, submits its declaration and waits until requests
/// can be served.
pub async fn start(deployment: &Deployment) -> eyre::Result<Fleet> {
    let folder = TempDir::new().wrap_err("make a folder for the keeper's data")?;
    let (stop, stopped) = channel();
    let settings = |sections: &str| settings(deployment, folder.path(), sections);
    let data = "[keepers]\nvm-1 = 127.0.0.1:1\n[data]\nfolder = keeper\n";
    let cfg = parse_config(&settings(data), keeper::Config::read)?;
    let keeper = keeper::start(cfg, stopped.clone()).await?;
    let keepers = match keeper.link {
        Some(link) => format!("[keepers]\nvm-1 = {link}\n"),
        None => bail!("start keeper: it has no link listener"),
    };
    // No load balancer is in front of the demo's gate, so it stops without notice.
    let timing = "[timing]\nnotice_ms = 0\n";
    let cfg = parse_config(&settings(&format!("{keepers}{timing}")), gate::Config::read)?;
    let gate = gate::start(cfg, stopped.clone()).await?;
    let cfg = settings("callers = 127.0.0.1:0\n") + &keepers + timing;
    let cfg = parse_config(&cfg, forwarder::Config::read)?;
    let forwarder = forwarder::start(cfg, stopped.clone()).await?;
    let gates = match gate.link {
        Some(link) => format!("{keepers}[gates]\nvm-1 = {link}\n"),
        None => bail!("start gate: it has no link listener"),
    };
    let (controller, console) = start_operators(&settings(&gates), stopped).await?;
    let revision = submit_declaration(deployment, keeper.http).await?;
    let mut endpoints = start_endpoints(deployment, gate.http).await?;
    endpoints.extend(start_notice_board(deployment, keeper.http).await?);
    let fleet = Fleet {
        gate: gate.http,
        forwarder: forwarder.http,
        console: console.http,
        revision,
        stop,
        roles: vec![gate, forwarder, controller, console, keeper],
        endpoints,
        _folder: folder,
    };
    fleet.wait_until_in_force().await?;
    fleet.wait_until_ready(deployment).await?;
    fleet.wait_until_route_served().await?;
    Ok(fleet)
}

async fn start_operators(text: &str, stopped: StopSignal) -> eyre::Result<(Running, Running)> {
    // The demo's engines need no time to settle after a load.
    let pace = "[controller]\nsettle_ms = 50\n";
    let cfg = parse_config(&format!("{text}{pace}"), controller::Config::read)?;
    let controller = controller::start(cfg, stopped.clone()).await?;
    let text = format!("{text}[controllers]\nvm-1 = {}\n", controller.http);
    let cfg = parse_config(&text, console::Config::read)?;
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

fn parse_config<C>(text: &str, read_config: impl FnOnce(&mut Reader) -> C) -> eyre::Result<C> {
    let mut reader = Reader::from_bytes("demo", Path::new(""), text.as_bytes())?;
    let cfg = read_config(&mut reader);
    reader.finish()?;
    Ok(cfg)
}

/// Submits the declaration, repeatedly until the keeper has become leader and accepts it.
async fn submit_declaration(deployment: &Deployment, keeper: SocketAddr) -> eyre::Result<u64> {
    let api = KeeperApi::new(vec![keeper.to_string()], None);
    let submission = Submission {
        change: Uuid::now_v7(),
        base_revision: 0,
        author: "demo".to_owned(),
        reason: "first declaration".to_owned(),
        document: Some(deployment.declaration.to_owned() + &notice_board_sections()),
        sections: None,
    };
    let start = Instant::now();
    loop {
        match api.submit(&submission).await {
            Ok(accepted) => return Ok(accepted.revision),
            Err(e) if start.elapsed() > START_TIMEOUT => bail!("declare {}: {e}", deployment.name),
            Err(_) => sleep(POLL_INTERVAL).await,
        }
    }
}

async fn start_endpoints(deployment: &Deployment, gate: SocketAddr) -> eyre::Result<Vec<StandIn>> {
    let mut endpoints = Vec::new();
    for (service, kind) in deployment.services {
        for number in 1..=ENDPOINTS_PER_SERVICE {
            let name = format!("{service}-{number}");
            let mut cfg = StandInConfig::new(&name, service, deployment.az, kind);
            cfg.gates = vec![format!("http://{gate}")];
            endpoints.push(stand_in::start(cfg).await?);
        }
    }
    Ok(endpoints)
}

/// Starts the route's endpoints, which announce themselves to the keeper rather than to the gate.
async fn start_notice_board(
    deployment: &Deployment,
    keeper: SocketAddr,
) -> eyre::Result<Vec<StandIn>> {
    let mut endpoints = Vec::new();
    for number in 1..=ENDPOINTS_PER_SERVICE {
        let name = format!("{NOTICE_BOARD}-{number}");
        let mut cfg = StandInConfig::new(&name, NOTICE_BOARD, deployment.az, Kind::Plain);
        cfg.gates = vec![format!("http://{keeper}")];
        endpoints.push(stand_in::start(cfg).await?);
    }
    Ok(endpoints)
}

impl Fleet {
    /// Returns how often the endpoints together ran the booking with this idempotency key.
    pub fn executions(&self, key: Uuid) -> usize {
        let key = key.to_string();
        let entries = self.endpoints.iter().flat_map(StandIn::journal);
        let is_run = |entry: &JournalEntry| {
            entry.key.as_deref() == Some(&key) && entry.event == Event::Started
        };
        entries.filter(is_run).count()
    }

    /// Stops all roles, waits for each to finish, then kills the endpoints.
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
    async fn wait_until_in_force(&self) -> eyre::Result<()> {
        let client = Client::new(START_TIMEOUT);
        let url = format!("http://{}/v1/revision", self.gate);
        let start = Instant::now();
        loop {
            let response = client.get(&url).await?;
            let body: serde_json::Value = serde_json::from_slice(&response.body)?;
            match body["revision"].as_u64() {
                Some(revision) if revision >= self.revision => return Ok(()),
                _ if start.elapsed() > START_TIMEOUT => {
                    bail!(
                        "wait for revision {} at the gate: it has {body}",
                        self.revision
                    )
                }
                _ => sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Waits until the forwarder serves the sample route.
    async fn wait_until_route_served(&self) -> eyre::Result<()> {
        let start = Instant::now();
        loop {
            match calls::send_to_route(self).await?.status {
                200 => return Ok(()),
                status if start.elapsed() > START_TIMEOUT => {
                    bail!("wait for the route to be served: status {status}")
                }
                _ => sleep(POLL_INTERVAL).await,
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
        let client = Client::new(START_TIMEOUT);
        let url = format!("http://{}/v1/endpoints", self.gate);
        let expected = deployment.services.len() * ENDPOINTS_PER_SERVICE;
        let start = Instant::now();
        loop {
            let response = client.get(&url).await?;
            let list: serde_json::Value = serde_json::from_slice(&response.body)?;
            let known = list.as_array().map_or(0, Vec::len);
            let is_loaded = |view: &serde_json::Value| {
                let service = view["service"].as_str().unwrap_or_default();
                !engines.contains(&service)
                    || view["models"].as_array().is_some_and(|m| !m.is_empty())
            };
            let loaded = list.as_array().is_some_and(|l| l.iter().all(is_loaded));
            match known == expected && loaded {
                true => return Ok(()),
                false if start.elapsed() > START_TIMEOUT => {
                    bail!(
                        "start {}: gate knows {known} of {expected} endpoints: {list}",
                        deployment.name
                    )
                }
                false => sleep(POLL_INTERVAL).await,
            }
        }
    }
}
