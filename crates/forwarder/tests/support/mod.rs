//! Runs a keeper and forwarding gates as processes, with fake endpoints.

#![allow(dead_code, reason = "each test file uses only some items")]

use std::{path::PathBuf, time::Duration};

use bench::{
    processes::{Folders, RoleProcess, Signal},
    proxy::Proxy,
    raw_endpoint::RawEndpoint,
    stand_in::{self, Event, Kind, StandIn, StandInConfig},
};
use futures_util::future::join_all;
use host::client::{Answer, Client, ClientError, build_request};
use hyper::{Request, StatusCode};
use operators::{ApiError, KeeperApi, Submission};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};
use uuid::Uuid;

/// Timeout of every wait in the tests.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two attempts of a wait.
const POLL_INTERVAL: Duration = Duration::from_millis(30);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Access key of the only workspace.
pub const KEY: &str = "tug-key";
/// Path of requests that endpoints of the service `raw` answer as usual.
pub const PROBE_PATH: &str = "/raw-again/probe";
/// Names of the gates.
pub const GATES: [&str; 2] = ["gate-1", "gate-2"];

/// Services with their kind and number of endpoints.
const SERVICES: [(&str, Kind, usize); 3] = [
    ("desk", Kind::Plain, 2),
    ("chat", Kind::Plain, 2),
    ("ice", Kind::Pool, 1),
];

fn declaration() -> String {
    let key = forward::key_digest(KEY);
    format!(
        "\
[availability-zone rockland]
region = penobscot
[service desk]
kind = plain
repeatable = no
[service chat]
kind = hosted-engine
repeatable = yes
memory_tokens = 100000
[service ice]
kind = batch-pool
repeatable = yes
slots = 1
batch_items = 4
batch_call_ms = 20
batch_item_us = 1000
room_bytes = 1000000
[route desk]
host = 127.0.0.1
path_prefix = /desk/
repeat = never
services = desk 1
[route chat]
host = 127.0.0.1
path_prefix = /chat/
answer = stream
repeat = from-last-event
attempts = 3
services = chat 1
[route plan]
host = 127.0.0.1
path_prefix = /plan/
answer = stream
repeat = never
services = chat 1
stages = ice 1000, ice 1000 after 0
[service raw]
kind = plain
repeatable = no
[route raw-once]
host = 127.0.0.1
path_prefix = /raw-once/
repeat = never
services = raw 1
[route raw-again]
host = 127.0.0.1
path_prefix = /raw-again/
repeat = anew
attempts = 2
services = raw 1
[route raw-told]
host = 127.0.0.1
path_prefix = /raw-told/
answer = stream
repeat = never
services = raw 1
[route raw-public]
host = 127.0.0.1
path_prefix = /raw-public/
answer = stream
repeat = never
public = yes
services = raw 1
[route raw-resumed]
host = 127.0.0.1
path_prefix = /raw-resumed/
answer = stream
repeat = from-last-event
attempts = 2
services = raw 1
[route draft]
host = 127.0.0.1
path_prefix = /draft/
answer = stream
repeat = from-last-event
attempts = 2
services = chat 1
stages = ice 1000, ice 1000 after 0
[route look]
host = 127.0.0.1
path_prefix = /look/
repeat = anew
attempts = 2
longest_ms = 4000
services = desk 1
[route notices]
host = 127.0.0.1
path_prefix = /notices/
repeat = anew
public = yes
services = desk 1
[workspace tugs]
priority = 7
keys = {key}
"
    )
}

/// Keeper, gates and endpoints; all processes end on drop.
pub struct Cluster {
    folders: Folders,
    pub keeper: RoleProcess,
    /// Proxy through which gates reach the keeper.
    pub keeper_link: Proxy,
    pub gates: Vec<RoleProcess>,
    /// Proxies through which other gates reach each gate.
    pub links: Vec<Proxy>,
    pub endpoints: Vec<StandIn>,
    client: Client,
    /// Section `[routing]` of the gates' settings.
    routing: &'static str,
    // Dropped last, since it holds the processes' data and logs.
    _folder: TempDir,
}

/// A caller's request.
#[derive(Clone, Copy)]
pub struct CallerRequest<'a> {
    pub gate: usize,
    pub path: &'a str,
    pub id: &'a str,
    pub key: Option<&'a str>,
    pub headers: &'a [(&'a str, &'a str)],
}

impl<'a> CallerRequest<'a> {
    pub fn new(path: &'a str, id: &'a str) -> Self {
        Self {
            gate: 0,
            path,
            id,
            key: Some(KEY),
            headers: &[],
        }
    }
}

impl Cluster {
    /// Starts all processes and waits until both gates serve every route.
    pub async fn start() -> Self {
        Self::start_with(&GATES).await
    }

    /// Starts all processes, with gates of these names, and waits until they serve every route.
    pub async fn start_with(gates: &[&str]) -> Self {
        Self::start_routing(gates, "").await
    }

    /// Starts all processes, with this section `[routing]` in the settings of the gates.
    pub async fn start_routing(gates: &[&str], routing: &'static str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let folders = Folders {
            programs: program_folder(),
            work: folder.path().to_owned(),
        };
        let keeper_link = Proxy::start(0).await.unwrap();
        let settings = settings("keeper-1", "[keepers]\nkeeper-1 = 127.0.0.1:1\n")
            + &format!(
                "advertised_link = {}\nhttp = 127.0.0.1:0\n[data]\nfolder = data\n",
                keeper_link.address()
            );
        let keeper = folders.start("jujube-keeper", "keeper-1", &settings);
        let keeper = keeper.await.unwrap();
        keeper_link.set_upstream(keeper.link.unwrap());
        let mut cluster = Self {
            keeper,
            keeper_link,
            folders,
            gates: Vec::new(),
            links: Vec::new(),
            endpoints: Vec::new(),
            client: Client::new(REQUEST_TIMEOUT),
            routing,
            _folder: folder,
        };
        for name in gates {
            cluster.start_gate(name).await;
        }
        cluster.declare().await;
        for (service, kind, count) in SERVICES {
            for number in 1..=count {
                let name = format!("{service}-{number}");
                let mut cfg = StandInConfig::new(&name, service, "rockland", kind);
                cfg.gates = vec![cluster.keeper.url()];
                cluster.endpoints.push(stand_in::start(cfg).await.unwrap());
            }
        }
        cluster.await_ready().await;
        cluster
    }

    /// Announces endpoints of the service `raw`, and waits until all have received a request to
    /// [`PROBE_PATH`].
    pub async fn add_raw(&mut self, endpoints: &[RawEndpoint]) {
        for (number, endpoint) in endpoints.iter().enumerate() {
            let name = format!("raw-{number}");
            let mut cfg = StandInConfig::new(&name, "raw", "rockland", Kind::Plain);
            cfg.gates = vec![self.keeper.url()];
            cfg.announced_address = Some(format!("http://{}", endpoint.address));
            self.endpoints.push(stand_in::start(cfg).await.unwrap());
        }
        until("all endpoints are called", async || {
            // Sent at once, since an idle endpoint may be preferred to all others. The first ones may
            // come before an endpoint is known.
            let probes = endpoints.iter().map(async |_| {
                let id = Uuid::now_v7().to_string();
                let _ = self.send(CallerRequest::new(PROBE_PATH, &id)).await;
            });
            join_all(probes).await;
            let is_called = |e: &RawEndpoint| !e.requests().is_empty();
            endpoints.iter().all(is_called).then_some(())
        })
        .await;
    }

    async fn start_gate(&mut self, name: &str) {
        let link = Proxy::start(0).await.unwrap();
        let gate = self.run_gate(name, &link).await;
        self.gates.push(gate);
        self.links.push(link);
    }

    /// Kills gate `gate` and starts it again; it listens for callers at another port.
    pub async fn restart_gate(&mut self, gate: usize) {
        self.gates[gate].kill().await.unwrap();
        let name = self.gates[gate].name.clone();
        self.gates[gate] = self.run_gate(&name, &self.links[gate]).await;
    }

    /// Starts the process of a gate that others reach through `link`.
    async fn run_gate(&self, name: &str, link: &Proxy) -> RoleProcess {
        let keeper = self.keeper_link.address();
        let settings = settings(name, &format!("[keepers]\nkeeper-1 = {keeper}\n"))
            + &format!(
                "advertised_link = {}\nhttp = 127.0.0.1:0\ncallers = 127.0.0.1:0\n\
                 [timing]\nnotice_ms = 100\n[retries]\nslack = 200\n{}",
                link.address(),
                self.routing
            );
        let gate = self.folders.start("jujube-forwarder", name, &settings);
        let gate = gate.await.unwrap();
        link.set_upstream(gate.link.unwrap());
        gate
    }

    async fn declare(&self) {
        let api = KeeperApi::new(vec![self.keeper.http.to_string()], None);
        let submission = Submission {
            change: Uuid::now_v7(),
            base_revision: 0,
            author: "test".to_owned(),
            reason: "first declaration".to_owned(),
            document: Some(declaration()),
            sections: None,
        };
        until("the declaration is accepted", async || {
            match api.submit(&submission).await {
                Ok(accepted) => Some(accepted),
                Err(ApiError::Invalid(faults)) => panic!("{faults:?}"),
                // No leader has been elected yet.
                Err(_) => None,
            }
        })
        .await;
    }

    /// Waits until each gate serves every route.
    async fn await_ready(&self) {
        for gate in 0..self.gates.len() {
            for (path, headers) in [
                ("/notices/1", &[][..]),
                ("/chat/1", &[("accept", "text/event-stream")]),
                (
                    "/plan/1",
                    &[("accept", "text/event-stream"), ("jujube-items", "1,1")],
                ),
            ] {
                let condition = format!("gate {gate} serves {path}");
                until(&condition, async || {
                    let id = Uuid::now_v7().to_string();
                    let request = CallerRequest {
                        gate,
                        headers,
                        ..CallerRequest::new(path, &id)
                    };
                    let response = self.send(request).await.ok()?;
                    response.status.is_success().then_some(())
                })
                .await;
            }
        }
    }

    /// Sends a request; an incomplete response is an error.
    pub async fn send(&self, caller_request: CallerRequest<'_>) -> Result<Answer, ClientError> {
        let url = format!(
            "http://{}{}",
            self.gates[caller_request.gate].http, caller_request.path
        );
        let mut builder = Request::post(&url).header("jujube-request", caller_request.id);
        if let Some(key) = caller_request.key {
            builder = builder.header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in caller_request.headers {
            builder = builder.header(*name, *value);
        }
        self.client
            .send(build_request(builder, "hello".into(), &url)?)
            .await
    }

    /// Sends a request until its response has `status`, and returns that response. Panics with the last
    /// response and the logs if there is none in time.
    pub async fn until_status(
        &self,
        condition: &str,
        caller_request: CallerRequest<'_>,
        status: StatusCode,
    ) -> Answer {
        let start = Instant::now();
        loop {
            let sent = self.send(caller_request).await;
            match sent {
                Ok(response) if response.status == status => return response,
                other => assert!(
                    start.elapsed() < TEST_TIMEOUT,
                    "not within {TEST_TIMEOUT:?}: {condition}: {other:?}\n{}",
                    self.logs()
                ),
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns how often endpoints of `service` started the call of `request`.
    pub fn count_starts(&self, service: &str, request: &str) -> usize {
        let all = self.endpoints.iter().flat_map(StandIn::journal);
        let is_match = |entry: &bench::stand_in::JournalEntry| {
            entry.service == service && entry.call == request && entry.event == Event::Started
        };
        all.filter(is_match).count()
    }

    /// Returns the items of each batched call.
    pub fn batches(&self) -> Vec<Vec<String>> {
        let all = self.endpoints.iter().flat_map(StandIn::journal);
        let batches = all.filter_map(|entry| match entry.event {
            Event::Batched { items } => Some(items),
            _ => None,
        });
        batches.collect()
    }

    /// Returns the handles of released results.
    pub fn released_handles(&self) -> Vec<String> {
        let all = self.endpoints.iter().flat_map(StandIn::journal);
        let released_handles = all.filter_map(|entry| match entry.event {
            Event::Freed { handles } => Some(handles),
            _ => None,
        });
        released_handles.flatten().collect()
    }

    /// Returns the log of a gate.
    pub fn gate_log(&self, name: &str) -> String {
        let path = self.folders.work.join(format!("{name}.log"));
        std::fs::read_to_string(path).unwrap()
    }

    /// Returns the logs of all processes.
    pub fn logs(&self) -> String {
        let names = GATES.iter().chain(&["keeper-1"]);
        let read =
            |name: &&str| std::fs::read_to_string(self.folders.work.join(format!("{name}.log")));
        names.filter_map(|name| read(name).ok()).collect()
    }

    /// Suspends the keeper's process.
    pub fn pause_keeper(&self) {
        self.keeper.signal(Signal::STOP).unwrap();
    }

    /// Resumes the keeper's process.
    pub fn resume_keeper(&self) {
        self.keeper.signal(Signal::CONT).unwrap();
    }
}

fn settings(name: &str, extra: &str) -> String {
    format!(
        "[vm]\nname = {name}\navailability_zone = rockland\n{extra}[listen]\nlink = 127.0.0.1:0\n"
    )
}

fn program_folder() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    test.parent()
        .and_then(std::path::Path::parent)
        .unwrap()
        .to_owned()
}

/// Retries `f` until it returns `Some`.
pub async fn until<T>(condition: &str, f: impl AsyncFn() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = f().await {
            return found;
        }
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "not within {TEST_TIMEOUT:?}: {condition}"
        );
        sleep(POLL_INTERVAL).await;
    }
}
