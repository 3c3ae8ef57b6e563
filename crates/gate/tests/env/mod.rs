//! Real gate processes, fake endpoints and a fake keeper on loopback.

#![expect(dead_code, reason = "each test file uses only part of the environment")]

pub mod client;
pub mod fake_endpoint;
pub mod keeper;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use client::Answer;
use fake_endpoint::FakeEndpoint;
use keeper::FakeKeeper;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

/// Time limit for everything that a test waits for.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub const DECLARATION: &str = "\
[availability-zone z]
region = r
[service look]
kind = retriever
repeatable = yes
[service llm]
kind = engine
repeatable = yes
model = m
version = 1
[service book]
kind = plain
repeatable = no
[service draft]
kind = engine
repeatable = no
model = m
version = 1
[pipeline drafting]
stages = draft
[pipeline ask]
stages = look, llm
[pipeline find]
stages = look
[pipeline chat]
stages = llm
[pipeline booking]
stages = book
[pipeline plan-booking]
stages = look, book
[pipeline booking-notice]
stages = book, look
[pipeline booking-draft]
stages = book, draft
[workspace w]
pipelines = ask, find, chat, booking, plan-booking, booking-notice, booking-draft, drafting
availability_zones = z
max_in_flight = 100
[workspace small]
pipelines = find
availability_zones = z
max_in_flight = 1
";

/// A fake keeper and the settings folder of gates.
pub struct Env {
    pub keeper: FakeKeeper,
    /// Address at which gates reach the keeper, if not its own.
    pub keeper_proxy: Option<SocketAddr>,
    folder: TempDir,
}

/// A gate process; killed when dropped.
pub struct Gate {
    child: Child,
    pub http: SocketAddr,
    pub link: SocketAddr,
}

impl Env {
    pub async fn start() -> Self {
        Self {
            keeper: FakeKeeper::start(DECLARATION).await,
            keeper_proxy: None,
            folder: tempfile::tempdir().unwrap(),
        }
    }

    pub async fn gate(&self, name: &str) -> Gate {
        self.gate_with(name, "").await
    }

    /// Starts a gate with extra settings and waits until it is ready.
    pub async fn gate_with(&self, name: &str, extra: &str) -> Gate {
        let path = self.folder.path().join(format!("{name}.ini"));
        let keeper = self.keeper_proxy.unwrap_or(self.keeper.address);
        let settings =
            format!("[vm]\nname = {name}\navailability_zone = z\n[keepers]\nk = {keeper}\n{extra}");
        std::fs::write(&path, settings).unwrap();
        Gate::start(&path).await
    }
}

impl Gate {
    /// Starts a gate with the settings at `path` and waits until it is ready.
    pub async fn start(path: &Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_jujube-gate"))
            .arg("--config")
            .arg(path)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let (http, link) = loop {
            let line = lines.next().expect("the gate listens").unwrap();
            let line: Value = serde_json::from_str(&line).unwrap_or_default();
            if line["payload"] == "listening" {
                let address = |name: &str| line["kv"][name].as_str().unwrap().parse().unwrap();
                break (address("http"), address("link"));
            }
        };
        // The log must be read on, or the gate would block on a full pipe.
        std::thread::spawn(move || lines.for_each(drop));
        let gate = Self { child, http, link };
        gate.wait_until("/readyz", |a| a.status == 200).await;
        gate
    }

    /// Requests `path` until `is_good`, and returns that response.
    pub async fn wait_until(&self, path: &str, is_good: impl Fn(&Answer) -> bool) -> Answer {
        let start = Instant::now();
        loop {
            let answer = client::get(self.http, path).await;
            match answer {
                Ok(answer) if is_good(&answer) => return answer,
                other => assert!(start.elapsed() < TEST_TIMEOUT, "{path}: {other:?}"),
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Announces `endpoint` once; the announcement expires after some seconds.
    pub async fn announce(&self, endpoint: &FakeEndpoint) {
        self.announce_at(endpoint, endpoint.address).await;
    }

    /// Announces `endpoint` with another address.
    pub async fn announce_at(&self, endpoint: &FakeEndpoint, address: SocketAddr) {
        let mut announcement = endpoint.announcement();
        announcement["address"] = json!(format!("http://{address}"));
        let answer = client::post(self.http, "/v1/announce", &[], &announcement).await;
        assert_eq!(answer.unwrap().status, 200);
    }

    /// Posts `input` to `pipeline`.
    pub async fn post(&self, pipeline: &str, headers: &[(&str, &str)], input: Value) -> Answer {
        self.try_post(pipeline, headers, input).await.unwrap()
    }

    pub async fn try_post(
        &self,
        pipeline: &str,
        headers: &[(&str, &str)],
        input: Value,
    ) -> Result<Answer, String> {
        let path = format!("/v1/pipelines/{pipeline}");
        let mut all = vec![("jujube-workspace", "w")];
        all.retain(|(name, _)| !headers.iter().any(|(n, _)| n == name));
        all.extend_from_slice(headers);
        client::post(self.http, &path, &all, &json!({ "input": input })).await
    }

    /// Largest resident memory of the process so far, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.unwrap().trim().trim_end_matches(" kB");
        kilobytes.parse::<u64>().unwrap() << 10
    }

    /// Waits until the process has no open connection to `address`.
    pub async fn wait_until_disconnected(&self, address: SocketAddr) {
        const ESTABLISHED: &str = "01";
        let start = Instant::now();
        let remote = format!("0100007F:{:04X}", address.port());
        loop {
            let path = format!("/proc/{}/net/tcp", self.child.id());
            let table = std::fs::read_to_string(path).unwrap();
            let mut rows = table
                .lines()
                .map(|row| row.split_whitespace().collect::<Vec<_>>());
            let is_open = rows.any(|row| row.get(2) == Some(&&*remote) && row[3] == ESTABLISHED);
            if !is_open {
                return;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "still connected");
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Sends SIGTERM with the shell's built-in `kill`.
    pub fn terminate(&self) {
        let kill = format!("kill -TERM {}", self.child.id());
        assert!(
            Command::new("sh")
                .args(["-c", &kill])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Waits for the process to exit.
    pub async fn wait_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "the gate has not ended");
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sum of the samples of `metric` whose labels contain `label`.
    pub async fn metric(&self, metric: &str, label: &str) -> f64 {
        let page = client::get(self.http, "/metrics").await.unwrap().text();
        let lines = page
            .lines()
            .filter(|l| l.starts_with(metric) && l.contains(label));
        lines
            .filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        // It may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
