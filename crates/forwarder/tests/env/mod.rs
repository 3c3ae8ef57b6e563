//! A keeper and forwarding gates as real processes, with stand-ins for endpoints.

use std::{path::PathBuf, time::Duration};

use bench::{
    processes::{Folders, RoleProcess, Signal},
    stand_in::{self, Event, Kind, StandIn, StandInConfig},
};
use host::client::{Answer, Client, ClientError, request};
use hyper::Request;
use operators::{ApiError, KeeperApi, Submission};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};
use uuid::Uuid;

/// Bound on anything that a test waits for.
const PATIENCE: Duration = Duration::from_secs(20);
const CALL_LIMIT: Duration = Duration::from_secs(10);
/// An access key of the only workspace.
pub const KEY: &str = "tug-key";
/// The first two gates.
pub const GATES: [&str; 2] = ["gate-1", "gate-2"];

/// Services with their kind and how many endpoints they have.
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

/// The whole of it; dropping it ends every process.
pub struct Env {
    folders: Folders,
    pub keeper: RoleProcess,
    pub gates: Vec<RoleProcess>,
    pub endpoints: Vec<StandIn>,
    client: Client,
    // Dropped last: data and logs live here.
    _folder: TempDir,
}

/// A caller's request.
#[derive(Clone, Copy)]
pub struct Ask<'a> {
    pub gate: usize,
    pub path: &'a str,
    pub id: &'a str,
    pub key: Option<&'a str>,
    pub headers: &'a [(&'a str, &'a str)],
}

impl<'a> Ask<'a> {
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

impl Env {
    /// Starts everything and waits until both gates serve every route.
    pub async fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let folders = Folders {
            programs: programs(),
            work: folder.path().to_owned(),
        };
        let settings = settings("keeper-1", "[keepers]\nkeeper-1 = 127.0.0.1:1\n")
            + "http = 127.0.0.1:0\n[data]\nfolder = data\n";
        let keeper = folders.start("jujube-keeper", "keeper-1", &settings);
        let mut env = Self {
            keeper: keeper.await.unwrap(),
            folders,
            gates: Vec::new(),
            endpoints: Vec::new(),
            client: Client::new(CALL_LIMIT),
            _folder: folder,
        };
        for name in GATES {
            env.start_gate(name).await;
        }
        env.declare().await;
        for (service, kind, count) in SERVICES {
            for number in 1..=count {
                let name = format!("{service}-{number}");
                let mut cfg = StandInConfig::new(&name, service, "rockland", kind);
                cfg.gates = vec![env.keeper.url()];
                env.endpoints.push(stand_in::start(cfg).await.unwrap());
            }
        }
        env.await_ready().await;
        env
    }

    async fn start_gate(&mut self, name: &str) {
        let keeper = self.keeper.link.unwrap();
        let settings = settings(name, &format!("[keepers]\nkeeper-1 = {keeper}\n"))
            + "http = 127.0.0.1:0\ncallers = 127.0.0.1:0\n[timing]\nnotice_ms = 100\n[retries]\nslack = 200\n";
        let gate = self.folders.start("jujube-forwarder", name, &settings);
        self.gates.push(gate.await.unwrap());
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
                // There is no leader yet.
                Err(_) => None,
            }
        })
        .await;
    }

    /// Waits until each gate knows every endpoint.
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
                until("the gate serves", async || {
                    let id = Uuid::now_v7().to_string();
                    let ask = Ask {
                        gate,
                        headers,
                        ..Ask::new(path, &id)
                    };
                    let answer = self.ask(ask).await.ok()?;
                    answer.status.is_success().then_some(())
                })
                .await;
            }
        }
    }

    /// Sends one request; an answer that broke off is an error.
    pub async fn ask(&self, ask: Ask<'_>) -> Result<Answer, ClientError> {
        let url = format!("http://{}{}", self.gates[ask.gate].http, ask.path);
        let mut builder = Request::post(&url).header("jujube-request", ask.id);
        if let Some(key) = ask.key {
            builder = builder.header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in ask.headers {
            builder = builder.header(*name, *value);
        }
        self.client
            .send(request(builder, "hello".into(), &url)?)
            .await
    }

    /// What endpoints of `service` did in calls that `request` names.
    pub fn ran(&self, service: &str, request: &str) -> usize {
        let all = self.endpoints.iter().flat_map(StandIn::journal);
        let is_it = |e: &bench::stand_in::JournalEntry| {
            e.service == service && e.call == request && e.event == Event::Started
        };
        all.filter(is_it).count()
    }

    /// Items of batched calls, call by call.
    pub fn batches(&self) -> Vec<Vec<String>> {
        let all = self.endpoints.iter().flat_map(StandIn::journal);
        let batches = all.filter_map(|entry| match entry.event {
            Event::Batched { items } => Some(items),
            _ => None,
        });
        batches.collect()
    }

    /// Handles that were given up.
    pub fn freed(&self) -> Vec<String> {
        let all = self.endpoints.iter().flat_map(StandIn::journal);
        let freed = all.filter_map(|entry| match entry.event {
            Event::Freed { handles } => Some(handles),
            _ => None,
        });
        freed.flatten().collect()
    }

    /// What is in the logs of all processes.
    pub fn logged(&self) -> String {
        let names = GATES.iter().chain(&["keeper-1"]);
        let read =
            |name: &&str| std::fs::read_to_string(self.folders.work.join(format!("{name}.log")));
        names.filter_map(|name| read(name).ok()).collect()
    }

    /// Stops the keeper without ending it.
    pub fn freeze_keeper(&self) {
        self.keeper.signal(Signal::STOP).unwrap();
    }

    /// Lets it go on.
    pub fn thaw_keeper(&self) {
        self.keeper.signal(Signal::CONT).unwrap();
    }
}

fn settings(name: &str, more: &str) -> String {
    format!(
        "[vm]\nname = {name}\navailability_zone = rockland\n{more}[listen]\nlink = 127.0.0.1:0\n"
    )
}

fn programs() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    test.parent()
        .and_then(std::path::Path::parent)
        .unwrap()
        .to_owned()
}

/// Tries until `f` gives something.
pub async fn until<T>(what: &str, f: impl AsyncFn() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = f().await {
            return found;
        }
        assert!(
            start.elapsed() < PATIENCE,
            "not within {PATIENCE:?}: {what}"
        );
        sleep(Duration::from_millis(30)).await;
    }
}
