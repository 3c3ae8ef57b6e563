//! Real keeper processes on ephemeral ports, with a proxy on each link between two of them.

#![allow(dead_code, reason = "each test file uses a part of this")]

use std::{
    collections::BTreeMap,
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::Duration,
};

use bench::proxy::{Cut, Proxy, Rules};
use declaration::{SectionChange, SectionId, SectionText};
use host::client::Client;
use link::{Identity, LinkConfig, Peer, Role, keepers::Keepers};
use operators::{Accepted, ApiError, KeeperApi, KeeperStatus, Submission};
use tokio::time::{Instant, sleep, timeout};
use uuid::Uuid;

/// Timeout of every wait in the tests.
pub const LIMIT: Duration = Duration::from_secs(20);

/// Fault on the links of a keeper.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// Connections are reset and refused.
    Reset,
    /// Connections stay open, but no data passes.
    Blackhole,
    /// No data reaches the keeper; what it sends arrives.
    InboundBlackhole,
}

/// One keeper process.
pub struct Process {
    child: Child,
    panics: Arc<Mutex<Vec<String>>>,
    pub http: SocketAddr,
    pub link: SocketAddr,
}

impl Process {
    /// Starts a keeper and reads its addresses from its log; fails with the log's last line.
    fn start(config: &PathBuf) -> Result<Self, String> {
        let mut child = Command::new(env!("CARGO_BIN_EXE_jujube-keeper"))
            .arg("--config")
            .arg(config)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let panics = Arc::default();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let found = Arc::clone(&panics);
        std::thread::spawn(move || forward_stderr(stderr, &found));
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut last = String::new();
        while let Some(Ok(line)) = lines.next() {
            let record: serde_json::Value = serde_json::from_str(&line).unwrap_or_default();
            if record["payload"] != "listening" {
                last = line;
                continue;
            }
            let address = |key: &str| record["kv"][key].as_str().unwrap().parse().unwrap();
            let (http, link) = (address("http"), address("link"));
            std::thread::spawn(move || {
                for line in lines.map_while(Result::ok) {
                    println!("{line}");
                }
            });
            return Ok(Self {
                child,
                panics,
                http,
                link,
            });
        }
        child.wait().unwrap();
        Err(last)
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Returns the panics that the process reported so far.
    pub fn panics(&self) -> Vec<String> {
        self.panics.lock().unwrap().clone()
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([name, &pid]).status().unwrap();
        assert!(status.success(), "signal {name}");
    }

    /// `kill -9`.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits until the process ends by itself and returns its exit code.
    pub async fn wait_for_exit(&mut self) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < LIMIT {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("the process did not end within {LIMIT:?}");
    }
}

fn forward_stderr(stderr: impl BufRead, panics: &Mutex<Vec<String>>) {
    for line in stderr.lines().map_while(Result::ok) {
        eprintln!("{line}");
        if line.contains("panicked") {
            panics.lock().unwrap().push(line);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Keepers `k0`, `k1`, … with their data folders and the proxies between them.
pub struct Group {
    folder: tempfile::TempDir,
    names: Vec<String>,
    voters: usize,
    extra: String,
    proxies: BTreeMap<(usize, usize), Proxy>,
    pub keepers: Vec<Option<Process>>,
}

impl Group {
    pub async fn start(n: usize) -> Self {
        Self::start_with(n, "").await
    }

    /// Starts `n` voters whose settings end in `extra`.
    pub async fn start_with(n: usize, extra: &str) -> Self {
        let mut proxies = BTreeMap::new();
        for from in 0..n {
            for to in 0..n {
                let seed = (from * n + to) as u64;
                proxies.insert((from, to), Proxy::start(seed).await.unwrap());
            }
        }
        let mut group = Self {
            folder: tempfile::tempdir().unwrap(),
            names: (0..n).map(|i| format!("k{i}")).collect(),
            voters: n,
            extra: extra.to_owned(),
            proxies,
            keepers: (0..n).map(|_| None).collect(),
        };
        for i in 0..n {
            group.restart(i);
        }
        group.wait_until_founded().await;
        group
    }

    /// Waits until the leader has had replies from every initial voter and the log has their
    /// identities: a voter that never replied is indistinguishable from a wiped one and does not
    /// count yet.
    async fn wait_until_founded(&self) {
        let mut synced_polls = 0;
        let synced = async {
            while synced_polls < 3 {
                let leader = self.leader().await;
                let status = self.status(leader).await;
                let is_synced = status.is_ok_and(|s| s.lag.iter().all(|l| l.entries == 0));
                synced_polls = if is_synced { synced_polls + 1 } else { 0 };
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(LIMIT, synced)
            .await
            .expect("all voters heard in time");
    }

    pub fn data(&self, i: usize) -> PathBuf {
        self.folder.path().join(format!("data-k{i}"))
    }

    fn write_settings(&self, i: usize) -> PathBuf {
        let others = (0..self.voters).map(|to| {
            let address = self.proxies[&(i, to)].address();
            format!("{} = {address}\n", self.names[to])
        });
        let text = format!(
            "[vm]\nname = k{i}\navailability_zone = az-{i}\n[keepers]\n{}[data]\nfolder = \
             data-k{i}\n{}",
            others.collect::<String>(),
            self.extra
        );
        let path = self.folder.path().join(format!("k{i}.ini"));
        fs::write(&path, text).unwrap();
        path
    }

    /// Starts one more keeper, which is not yet a member, and returns its index.
    pub async fn start_another(&mut self) -> usize {
        let new = self.names.len();
        for other in 0..=new {
            for pair in [(other, new), (new, other)] {
                let seed = (pair.0 * 16 + pair.1) as u64;
                let proxy = Proxy::start(seed).await.unwrap();
                if let Some(Some(process)) = self.keepers.get(pair.1) {
                    proxy.set_upstream(process.link);
                }
                self.proxies.insert(pair, proxy);
            }
        }
        self.names.push(format!("k{new}"));
        self.keepers.push(None);
        self.restart(new);
        new
    }

    /// Returns a proxy address at which others reach keeper `i`.
    pub fn proxy_address(&self, i: usize) -> String {
        self.proxies[&(0, i)].address().to_string()
    }

    /// Starts keeper `i`, which must not be running; fails with the last line of its log.
    pub fn try_restart(&mut self, i: usize) -> Result<(), String> {
        let process = Process::start(&self.write_settings(i))?;
        for from in 0..self.names.len() {
            self.proxies[&(from, i)].set_upstream(process.link);
        }
        self.keepers[i] = Some(process);
        Ok(())
    }

    pub fn restart(&mut self, i: usize) {
        self.try_restart(i).unwrap();
    }

    pub fn kill(&mut self, i: usize) {
        self.keepers[i].take().unwrap().kill();
    }

    /// Sets the fault on all links between keeper `i` and the others.
    pub fn isolate(&self, i: usize, fault: Fault) {
        for ((from, to), proxy) in &self.proxies {
            if (*from == i) == (*to == i) {
                continue;
            }
            // The keeper is the proxy's upstream on links to it, and the caller on links from it.
            let towards = match *to == i {
                true => Cut::ToUpstream,
                false => Cut::FromUpstream,
            };
            proxy.set_rules(match fault {
                Fault::None => Rules::default(),
                Fault::Blackhole => Rules::cut(Cut::Both),
                Fault::InboundBlackhole => Rules::cut(towards),
                Fault::Reset => Rules {
                    refuse: true,
                    ..Rules::default()
                },
            });
            if fault == Fault::Reset {
                proxy.reset_connections();
            }
        }
    }

    /// Silences all open connections between keepers for good; new connections work.
    pub fn silence_connections(&self) {
        for proxy in self.proxies.values() {
            proxy.silence_connections();
        }
    }

    pub fn running(&self) -> impl Iterator<Item = (usize, &Process)> {
        let all = self.keepers.iter().enumerate();
        all.filter_map(|(i, process)| Some((i, process.as_ref()?)))
    }

    /// Returns an API client for all running keepers.
    pub fn api(&self) -> KeeperApi {
        let keepers = self.running().map(|(_, p)| p.http.to_string()).collect();
        KeeperApi::new(keepers, None)
    }

    /// Returns an API client for keeper `i`.
    pub fn api_of(&self, i: usize) -> KeeperApi {
        let process = self.keepers[i].as_ref().unwrap();
        KeeperApi::new(vec![process.http.to_string()], None)
    }

    pub fn http(&self, i: usize, path: &str) -> String {
        format!("http://{}{path}", self.keepers[i].as_ref().unwrap().http)
    }

    /// Returns links to all running keepers.
    pub fn links(&self) -> Keepers {
        Keepers::new(self.running().map(|(_, p)| peer(p.link)).collect())
    }

    pub fn peer(&self, i: usize) -> Peer {
        peer(self.keepers[i].as_ref().unwrap().link)
    }

    /// Waits until a running keeper is the leader, and returns its index.
    pub async fn leader(&self) -> usize {
        let found = async {
            loop {
                for (i, _) in self.running() {
                    if let Ok(status) = self.status(i).await
                        && status.role == "leader"
                    {
                        return i;
                    }
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(LIMIT, found).await.expect("a leader in time")
    }

    pub async fn status(&self, i: usize) -> Result<KeeperStatus, ApiError> {
        self.api_of(i).statuses().await.remove(0).1
    }

    /// Submits a change, retrying until it is accepted.
    pub async fn submit(&self, submission: &Submission) -> Accepted {
        let accepted = async {
            loop {
                match self.api().submit(submission).await {
                    Ok(accepted) => return accepted,
                    Err(ApiError::Unavailable { .. }) => sleep(Duration::from_millis(50)).await,
                    Err(e) => panic!("{e}"),
                }
            }
        };
        timeout(LIMIT, accepted).await.expect("an answer in time")
    }
}

pub fn peer(address: SocketAddr) -> Peer {
    let identity = Identity {
        vm: "test".to_owned(),
        az: "az-0".to_owned(),
        role: Role::Gate,
        incarnation: Uuid::new_v4(),
    };
    Peer::start("keeper", address, &LinkConfig::new(identity))
}

pub fn client() -> Client {
    Client::new(Duration::from_secs(5))
}

pub fn az(name: &str, region: &str) -> SectionChange {
    let entries = [("region".to_owned(), region.to_owned())].into();
    SectionChange {
        id: SectionId {
            kind: "availability-zone".to_owned(),
            name: name.to_owned(),
        },
        after: Some(SectionText {
            entries,
            comments: Vec::new(),
        }),
    }
}

pub fn submission(base_revision: u64, sections: Vec<SectionChange>) -> Submission {
    Submission {
        change: Uuid::now_v7(),
        base_revision,
        author: "tester".to_owned(),
        reason: "test".to_owned(),
        document: None,
        sections: Some(sections),
    }
}
