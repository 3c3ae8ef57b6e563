//! Test environment: a keeper and a gate in this process, stand-in engines, and controller
//! processes.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bench::{
    proxy::Proxy,
    stand_in::{self, Event, JournalEntry, Kind, StandIn, StandInConfig},
};
use host::{
    client::{Client, build_request},
    role::Running,
    settings::Reader,
    shutdown::{StopHandle, channel},
};
use membership::LoadedModel;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::JoinHandle,
    time::{Instant, sleep},
};
use uuid::Uuid;

/// Timeout for every condition that a test waits for.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(40);
pub const SERVICE: &str = "appraise-llm";
const MODEL: &str = "appraise-7b";

/// The keeper and the gate in this process, and the folder with all settings files.
pub struct Env {
    folder: TempDir,
    keeper: Running,
    gate: Running,
    _stops: [StopHandle; 2],
    client: Client,
    revision: u64,
}

fn settings(text: &str, folder: &Path) -> Reader {
    Reader::from_bytes("test.ini", folder, text.as_bytes()).unwrap()
}

impl Env {
    pub async fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let (keeper_stop, stopped) = channel();
        // A single keeper never calls its own address.
        let text = "[vm]\nname = k\navailability_zone = z\n[keepers]\nk = 127.0.0.1:1\n\
                    [data]\nfolder = data\n";
        let cfg = keeper::Config::read(&mut settings(text, folder.path()));
        let keeper = keeper::start(cfg, stopped).await.unwrap();
        let (gate_stop, stopped) = channel();
        let text = format!(
            "[vm]\nname = g\navailability_zone = z\n[keepers]\nk = {}\n",
            keeper.link.unwrap()
        );
        let cfg = gate::Config::read(&mut settings(&text, folder.path()));
        let gate = gate::start(cfg, stopped).await.unwrap();
        Self {
            folder,
            keeper,
            gate,
            _stops: [keeper_stop, gate_stop],
            client: Client::new(Duration::from_secs(5)),
            revision: 0,
        }
    }

    /// Declares `version` with `adapters` and returns once the change is accepted.
    pub async fn declare(&mut self, version: u32, adapters: &str) {
        self.declare_with(version, adapters, "").await;
    }

    /// Declares `version` with `adapters` and `extra_keys` of the service.
    pub async fn declare_with(&mut self, version: u32, adapters: &str, extra_keys: &str) {
        let document = format!(
            "[availability-zone z]\nregion = r\n[service {SERVICE}]\nkind = engine\n\
             repeatable = yes\nmodel = {MODEL}\nversion = {version}\nadapters = {adapters}\n{extra_keys}\
             [pipeline appraisal]\nstages = {SERVICE}\n[workspace w]\npipelines = appraisal\n\
             availability_zones = z\nmax_in_flight = 100\n"
        );
        let change = json!({
            "change": Uuid::now_v7(), "base_revision": self.revision, "author": "test",
            "reason": "test", "document": document,
        });
        let url = format!("http://{}/v1/changes", self.keeper.http);
        let start = Instant::now();
        loop {
            let response = self.client.post(&url, change.to_string().into()).await;
            let json: Value = response.map_or(Value::Null, |a| {
                serde_json::from_slice(&a.body).unwrap_or_default()
            });
            if let Some(revision) = json["revision"].as_u64() {
                self.revision = revision;
                return;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "declare: {json}");
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Starts an engine with `version` loaded.
    pub async fn engine(&self, name: &str, version: u32, checks_fencing: bool) -> StandIn {
        stand_in::start(self.engine_config(name, version, checks_fencing))
            .await
            .unwrap()
    }

    /// Starts an engine that receives calls and orders through `proxy`.
    pub async fn engine_behind_proxy(&self, proxy: &Proxy, name: &str, version: u32) -> StandIn {
        let mut cfg = self.engine_config(name, version, true);
        cfg.announced_address = Some(format!("http://{}", proxy.address()));
        let engine = stand_in::start(cfg).await.unwrap();
        proxy.set_upstream(engine.address());
        engine
    }

    /// Starts a task that announces `name` with `version` loaded and refuses all orders.
    pub async fn start_refusing_endpoint(&self, name: &str, version: u32) -> JoinHandle<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (client, url) = (
            self.client.clone(),
            format!("http://{}/v1/announce", self.gate.http),
        );
        let announcement = move |seq: u64| {
            json!({
                "endpoint": name, "service": SERVICE, "az": "z", "state": "ready", "seq": seq,
                "address": format!("http://{address}"), "incarnation": Uuid::nil(),
                "models": [{"model": MODEL, "version": version, "adapters": ["horlogerie"]}],
            })
        };
        let bodies: Vec<Vec<u8>> = (1..200)
            .map(|seq| announcement(seq).to_string().into())
            .collect();
        tokio::spawn(async move {
            let announce = async {
                for body in bodies {
                    // A lost announcement is replaced by the next one.
                    let _ = client.post(&url, body).await;
                    sleep(Duration::from_millis(500)).await;
                }
            };
            let refuse = async {
                while let Ok((mut stream, _)) = listener.accept().await {
                    let response = "HTTP/1.1 400 Bad Request\r\ncontent-length: 2\r\n\r\nno";
                    // The request is short enough for one read.
                    let _ = stream.read(&mut [0; 4_096]).await;
                    let _ = stream.write_all(response.as_bytes()).await;
                }
            };
            tokio::join!(announce, refuse);
        })
    }

    pub fn engine_config(&self, name: &str, version: u32, checks_fencing: bool) -> StandInConfig {
        let mut cfg = StandInConfig::new(name, SERVICE, "z", Kind::Engine);
        cfg.gates = vec![format!("http://{}", self.gate.http)];
        cfg.checks_fencing = checks_fencing;
        cfg.engine.load_time = Duration::from_millis(100);
        cfg.models = vec![LoadedModel {
            model: MODEL.to_owned(),
            version,
            adapters: vec!["horlogerie".to_owned()],
        }];
        cfg
    }

    pub fn gate_url(&self) -> String {
        format!("http://{}", self.gate.http)
    }

    pub fn controller(&self, name: &str) -> Controller {
        self.controller_with(name, "settle_ms = 100\n")
    }

    /// Starts a controller with `extra_keys` in its section `[controller]`.
    pub fn controller_with(&self, name: &str, extra_keys: &str) -> Controller {
        let path = self.folder.path().join(format!("{name}.ini"));
        let (keeper, gate) = (self.keeper.link.unwrap(), self.gate.link.unwrap());
        let text = format!(
            "[vm]\nname = {name}\navailability_zone = z\n[keepers]\nk = {keeper}\n\
             [gates]\ng = {gate}\n[controller]\nlease_ms = 1500\norder_ms = 500\n\
             follow_ms = 500\nload_ms = 8000\n{extra_keys}"
        );
        std::fs::write(&path, text).unwrap();
        Controller::start(&path, self.client.clone())
    }
}

/// A controller process, killed when dropped.
pub struct Controller {
    child: Child,
    http: SocketAddr,
    client: Client,
}

impl Controller {
    fn start(config: &Path, client: Client) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_jujube-controller"))
            .arg("--config")
            .arg(config)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let http = loop {
            let line = lines.next().expect("the controller listens").unwrap();
            let line: Value = serde_json::from_str(&line).unwrap_or_default();
            if line["payload"] == "listening" {
                break line["kv"]["http"].as_str().unwrap().parse().unwrap();
            }
        };
        // Keeps reading the log, so that the controller does not block on a full pipe.
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                println!("{line}");
            }
        });
        Self {
            child,
            http,
            client,
        }
    }

    pub async fn get(&self, path: &str) -> String {
        let response = self
            .client
            .get(&format!("http://{}{path}", self.http))
            .await;
        response.map_or(String::new(), |a| {
            String::from_utf8_lossy(&a.body).into_owned()
        })
    }

    pub async fn status(&self) -> Value {
        serde_json::from_str(&self.get("/v1/status").await).unwrap_or_default()
    }

    /// Polls the status until `is_reached` returns true, and returns that status.
    pub async fn wait_for_status(&self, what: &str, is_reached: impl Fn(&Value) -> bool) -> Value {
        let start = Instant::now();
        loop {
            let status = self.status().await;
            if is_reached(&status) {
                return status;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "{what}: {status:#}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let result = Command::new("kill").args([name, &pid]).status().unwrap();
        assert!(result.success(), "signal {name}");
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "the controller has not exited"
            );
            sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Callers that send requests one after another.
pub struct LoadGenerator {
    stop: StopHandle,
    /// Number of successful requests so far.
    answered: Arc<AtomicUsize>,
    callers: Vec<JoinHandle<Vec<String>>>,
}

impl LoadGenerator {
    /// Stops the callers once more than `least` requests were successful, or after
    /// [`TEST_TIMEOUT`]; returns the number of successful requests and the errors.
    pub async fn stop_after(self, least: usize) -> (usize, Vec<String>) {
        let start = Instant::now();
        let answered = || self.answered.load(Ordering::Relaxed);
        while answered() <= least && start.elapsed() < TEST_TIMEOUT {
            sleep(Duration::from_millis(20)).await;
        }
        self.stop.stop();
        let mut failed = Vec::new();
        for caller in self.callers {
            failed.extend(caller.await.unwrap());
        }
        (self.answered.load(Ordering::Relaxed), failed)
    }
}

impl Env {
    async fn await_gate_revision(&self) {
        let (url, start) = (format!("{}/v1/revision", self.gate_url()), Instant::now());
        loop {
            let response = self.client.get(&url).await;
            let json: Value = response.map_or(Value::Null, |a| {
                serde_json::from_slice(&a.body).unwrap_or_default()
            });
            match json["revision"].as_u64() {
                Some(revision) if revision >= self.revision => return,
                _ => assert!(start.elapsed() < TEST_TIMEOUT, "gate: {json}"),
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Starts four callers of the gate's pipeline once the gate follows the declaration. Controllers may
    /// have it earlier.
    pub async fn start_load(&self) -> LoadGenerator {
        self.await_gate_revision().await;
        let (stop, stopped) = channel();
        let url = format!("{}/v1/pipelines/appraisal", self.gate_url());
        let answered = Arc::new(AtomicUsize::new(0));
        let callers = (0..4).map(|_| {
            let (client, url, stopped) = (self.client.clone(), url.clone(), stopped.clone());
            let answered = Arc::clone(&answered);
            tokio::spawn(async move {
                let mut failed = Vec::new();
                while !stopped.is_stopped() {
                    match send_request(&client, &url).await {
                        Ok(()) => {
                            answered.fetch_add(1, Ordering::Relaxed);
                        }
                        Err(what) => failed.push(what),
                    }
                }
                failed
            })
        });
        LoadGenerator {
            callers: callers.collect(),
            answered,
            stop,
        }
    }
}

async fn send_request(client: &Client, url: &str) -> Result<(), String> {
    let req = hyper::Request::post(url)
        .header("content-type", "application/json")
        .header("jujube-workspace", "w");
    let body = json!({ "input": "a watch" }).to_string().into();
    let req = build_request(req, body, url).map_err(|e| e.to_string())?;
    let response = client.send(req).await.map_err(|e| e.to_string())?;
    match response.status.as_u16() {
        200 => Ok(()),
        status => Err(format!(
            "{status}: {}",
            String::from_utf8_lossy(&response.body)
        )),
    }
}

/// Waits until `engine` has exactly `versions` loaded.
pub async fn wait_for_versions(engine: &StandIn, versions: &[u32]) {
    let start = Instant::now();
    loop {
        let mut loaded: Vec<u32> = engine.models().iter().map(|m| m.version).collect();
        loaded.sort_unstable();
        if loaded == versions {
            return;
        }
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "{} has {loaded:?}",
            engine.name()
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the fencing tokens of the orders that `engine` applied, in sequence.
pub fn order_fencing_numbers(engine: &StandIn) -> Vec<u64> {
    let number = |entry: JournalEntry| match entry.event {
        Event::Ordered { fencing, .. } => Some(fencing),
        _ => None,
    };
    engine.journal().into_iter().filter_map(number).collect()
}

/// Waits until one of `engines` has `version` loaded, and returns that engine.
pub async fn wait_for_engine_with(engines: &[StandIn], version: u32) -> &StandIn {
    let start = Instant::now();
    let has = |e: &&StandIn| e.models().iter().any(|m| m.version == version);
    loop {
        if let Some(engine) = engines.iter().find(has) {
            return engine;
        }
        assert!(start.elapsed() < TEST_TIMEOUT, "none has version {version}");
        sleep(Duration::from_millis(5)).await;
    }
}
