//! Abusive load at `/v1`, links, a keeper, a controller, a console and a forwarding gate, as
//! processes with low limits. The connections stay open while the checks run.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    os::unix::fs::PermissionsExt,
    path::Path,
    sync::Arc,
    time::Duration,
};

use bench::{
    processes::{Folders, RoleProcess},
    stand_in::{self, Kind, StandIn, StandInConfig},
};
use host::client::{Client, build_request};
use hyper::Request;
use operators::{KeeperApi, Submission};
use serde_json::Value;
use system::wait_until;
use tempfile::TempDir;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    sync::{Mutex, MutexGuard},
    task::JoinSet,
    time::{sleep, timeout},
};
use uuid::Uuid;

/// Memory of the smallest VM, in MB.
const MEMORY_MB: u64 = 120;
/// Limit on open files that the connections of a load exceed.
const FEW_DESCRIPTORS: usize = 512;
/// Limit on open files of a keeper's VM; bodies exceed the memory before connections exceed it.
const DESCRIPTORS: usize = 4_096;
/// Descriptors that are left to files.
const FILES: usize = 200;
/// Connections of a load that exceeds [`FEW_DESCRIPTORS`].
const CONNECTIONS: usize = 600;
/// Bytes that the bodies of a load have together; more than the memory.
const BODIES_BYTES: usize = 200 << 20;
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Loads take turns, since each loads the machine.
static TURN: Mutex<()> = Mutex::const_new(());

/// A listener under test.
#[derive(Clone, Copy)]
struct Port {
    name: &'static str,
    address: SocketAddr,
    /// A path that reads a body, or any.
    path: &'static str,
    /// Size of a body that the path takes, in bytes.
    body: usize,
}

/// What each client writes, one piece after the other.
type Pieces = Arc<Vec<Vec<u8>>>;

struct Site {
    roles: Vec<RoleProcess>,
    ports: Vec<Port>,
    /// The forwarding gate's listener for callers.
    callers: Port,
    descriptors: usize,
    changes: u32,
    _endpoints: Vec<StandIn>,
    _folder: TempDir,
    _turn: MutexGuard<'static, ()>,
}

impl Site {
    async fn start(descriptors: usize) -> Self {
        let turn = TURN.lock().await;
        let folder = TempDir::new().unwrap();
        let folders = Folders {
            programs: limited_programs(folder.path(), descriptors),
            work: folder.path().to_owned(),
        };
        let resources =
            format!("[resources]\nmemory_mb = {MEMORY_MB}\ndescriptors = {descriptors}\n");
        let start = async |role: &str, more: &str| {
            let text = format!(
                "[vm]\nname = {role}\navailability_zone = west\n{resources}\
                 [listen]\nlink = 127.0.0.1:0\n{more}"
            );
            let program = format!("jujube-{role}");
            folders.start(&program, role, &text).await.unwrap()
        };
        let http = "http = 127.0.0.1:0\n";
        let keeper = "[keepers]\nkeeper = 127.0.0.1:1\n[data]\nfolder = data\n";
        let keeper = start("keeper", &format!("{http}{keeper}")).await;
        let keepers = format!("[keepers]\nkeeper = {}\n", keeper.link.unwrap());
        let gate = start("gate", &format!("{http}{keepers}")).await;
        let gates = format!("{http}{keepers}[gates]\ngate = {}\n", gate.link.unwrap());
        let controller = start("controller", &gates).await;
        let console = start("console", &gates).await;
        let bound = TcpListener::bind("127.0.0.1:0").unwrap();
        let readiness = bound.local_addr().unwrap();
        drop(bound);
        let callers = format!("callers = 127.0.0.1:0\nhttp = {readiness}\n{keepers}");
        let forwarder = start("forwarder", &callers).await;
        let mut endpoints = Vec::new();
        for (n, role) in [&keeper, &gate].into_iter().enumerate() {
            let mut cfg = StandInConfig::new(&format!("desk-{n}"), "desk", "west", Kind::Plain);
            cfg.gates = vec![role.url()];
            endpoints.push(stand_in::start(cfg).await.unwrap());
        }
        let port = |name, address, path, body| Port {
            name,
            address,
            path,
            body,
        };
        let ports = vec![
            port("keeper http", keeper.http, "/v1/changes", 3 << 20),
            port("keeper link", keeper.link.unwrap(), "/link", 64 << 10),
            port("/v1", gate.http, "/v1/pipelines/ask", 2 << 20),
            port("/v1 announce", gate.http, "/v1/announce", 256 << 10),
            port("gate link", gate.link.unwrap(), "/link", 64 << 10),
            port("controller", controller.http, "/v1/status", 64 << 10),
            port("console", console.http, "/login", 256 << 10),
            port("forwarder readiness", readiness, "/readyz", 64 << 10),
            port("forwarder link", forwarder.link.unwrap(), "/link", 64 << 10),
        ];
        let callers = port("callers", forwarder.http, "/look/1", 2 << 20);
        let mut site = Self {
            callers,
            roles: vec![keeper, gate, controller, console, forwarder],
            ports,
            descriptors,
            changes: 0,
            _endpoints: endpoints,
            _folder: folder,
            _turn: turn,
        };
        site.check("before").await;
        site
    }

    /// Checks that all processes run within their limits, that a change is committed and reaches
    /// the gates, and that each listener serves an ordinary request.
    async fn check(&mut self, what: &str) {
        for role in &self.roles {
            let (name, id) = (&role.name, role.id());
            let (peak, open) = (peak_memory(id), descriptors(id));
            println!("{what}: {name} {} MiB, {open} descriptors", peak >> 20);
            assert!(peak <= MEMORY_MB * 1_000_000, "{what}: {name} {peak} bytes");
            let most = FILES + (self.descriptors - FILES) * 75 / 100;
            assert!(open <= most, "{what}: {name} {open} descriptors");
        }
        self.changes += 1;
        let [keeper, gate, controller, console, forwarder] = &self.roles[..] else {
            unreachable!("five roles are started");
        };
        let api = KeeperApi::new(vec![keeper.http.to_string()], None);
        let (change, document) = (Uuid::now_v7(), declaration(self.changes));
        let revision = wait_until(&format!("{what}: a change is committed"), async || {
            let submission = Submission {
                change,
                base_revision: api.declaration().await.ok()?.revision,
                author: "test".to_owned(),
                reason: what.to_owned(),
                document: Some(document.clone()),
                sections: None,
            };
            Some(api.submit(&submission).await.ok()?.revision)
        })
        .await;
        wait_until(&format!("{what}: the gate follows"), async || {
            let body = send(gate.http, "/v1/revision", "").await?;
            let body: Value = serde_json::from_slice(&body).ok()?;
            (body["revision"].as_u64()? >= revision).then_some(())
        })
        .await;
        for (address, path, body) in [
            (gate.http, "/v1/pipelines/ask", "{\"input\":\"1\"}"),
            (forwarder.http, "/look/1", "1"),
            (controller.http, "/healthz", ""),
            (console.http, "/healthz", ""),
        ] {
            let condition = format!("{what}: {path} is served at {address}");
            wait_until(&condition, async || send(address, path, body).await).await;
        }
    }

    /// Runs a load at each port and checks the site while its connections stay.
    async fn run(&mut self, load: impl Fn(Port) -> (usize, Pieces)) {
        for port in self.ports.clone() {
            self.run_at(port, load(port)).await;
        }
    }

    async fn run_at(&mut self, port: Port, (clients, pieces): (usize, Pieces)) {
        let open = abuse(vec![(port, clients, pieces)]).await;
        sleep(SETTLE_TIME).await;
        let what = format!("{}, {} clients", port.name, open.len());
        self.check(&what).await;
    }
}

/// Returns a folder with scripts that start the programs with a limit on open files.
fn limited_programs(folder: &Path, descriptors: usize) -> std::path::PathBuf {
    let test = std::env::current_exe().unwrap();
    let built = test.parent().and_then(Path::parent).unwrap();
    for role in ["keeper", "gate", "controller", "console", "forwarder"] {
        let (program, script) = (format!("jujube-{role}"), folder.join("programs"));
        fs::create_dir_all(&script).unwrap();
        let path = built.join(&program);
        let contents = format!(
            "#!/bin/sh\nulimit -n {descriptors}\nexec {} \"$@\"\n",
            path.display()
        );
        fs::write(script.join(&program), contents).unwrap();
        let mode = fs::Permissions::from_mode(0o755);
        fs::set_permissions(script.join(&program), mode).unwrap();
    }
    folder.join("programs")
}

fn declaration(n: u32) -> String {
    format!(
        "[availability-zone west]\nregion = coast\n[service desk]\nkind = plain\nrepeatable = yes\n\
         [pipeline ask]\nstages = desk\ndeadline_ms = {}\n[route look]\nhost = 127.0.0.1\n\
         path_prefix = /look/\nrepeat = anew\nattempts = 2\nlongest_ms = 4000\npublic = yes\n\
         services = desk 1\n[workspace tugs]\npriority = 7\npipelines = ask\n\
         availability_zones = west\nmax_in_flight = 100\n",
        4_000 + n
    )
}

fn peak_memory(id: i32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("the process lives");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.expect("the process lives").trim();
    peak.trim_end_matches(" kB").parse::<u64>().unwrap() << 10
}

fn descriptors(id: i32) -> usize {
    let open = fs::read_dir(format!("/proc/{id}/fd"));
    open.expect("the process lives").count()
}

/// Sends a request, with `body` if it is not empty; returns the body of a successful answer.
async fn send(address: SocketAddr, path: &str, body: &'static str) -> Option<Vec<u8>> {
    let url = format!("http://{address}{path}");
    let builder = match body {
        "" => Request::get(&url),
        _ => Request::post(&url).header("jujube-workspace", "tugs"),
    };
    let req = build_request(builder, body.into(), &url).ok()?;
    let answer = Client::new(Duration::from_secs(5)).send(req).await.ok()?;
    answer.status.is_success().then(|| answer.body.to_vec())
}

/// Opens the clients of all loads at once; returns their connections, also of those that could not
/// write everything.
async fn abuse(loads: Vec<(Port, usize, Pieces)>) -> Vec<TcpStream> {
    let mut clients = JoinSet::new();
    for (port, count, pieces) in loads {
        for _ in 0..count {
            let pieces = Arc::clone(&pieces);
            clients.spawn(async move {
                let connected = timeout(SEND_TIMEOUT, TcpStream::connect(port.address)).await;
                let mut stream = connected.ok()?.ok()?;
                stream.set_nodelay(true).ok()?;
                // The other end may close or stop reading; both are allowed.
                let _ = timeout(SEND_TIMEOUT, async {
                    for piece in pieces.iter() {
                        stream.write_all(piece).await?;
                    }
                    Ok::<_, std::io::Error>(())
                })
                .await;
                Some(stream)
            });
        }
    }
    clients.join_all().await.into_iter().flatten().collect()
}

fn head(port: Port, fields: &str) -> Vec<u8> {
    let fields = format!("host: 127.0.0.1\r\njujube-workspace: tugs\r\n{fields}");
    format!("POST {} HTTP/1.1\r\n{fields}\r\n", port.path).into_bytes()
}

/// Clients whose bodies have [`BODIES_BYTES`] together.
fn senders(port: Port) -> usize {
    (BODIES_BYTES / port.body).min(CONNECTIONS)
}

fn unfinished_body(port: Port, piece: usize) -> Pieces {
    let mut pieces = vec![head(port, &format!("content-length: {}\r\n", port.body))];
    let body = vec![b' '; port.body - 1];
    pieces.extend(body.chunks(piece).map(<[u8]>::to_vec));
    Arc::new(pieces)
}

fn one_byte_chunks(port: Port) -> Pieces {
    let chunks = vec![b"1\r\n \r\n".repeat(1_024); 32];
    let head = head(port, "transfer-encoding: chunked\r\n");
    Arc::new([vec![head], chunks].concat())
}

fn byte_by_byte(port: Port) -> Pieces {
    let bytes = head(port, "").into_iter().take(20);
    Arc::new(bytes.map(|byte| vec![byte]).collect())
}

fn short_fields(port: Port, n: usize) -> Pieces {
    Arc::new(vec![head(port, &"a:b\r\n".repeat(n))])
}

fn pipelined(port: Port) -> Pieces {
    let request = head(port, "content-length: 0\r\n").repeat(100);
    Arc::new(vec![request; 20])
}

/// Guards against a load that takes all descriptors of a process.
#[tokio::test(flavor = "multi_thread")]
async fn connections_without_a_byte() {
    let mut site = Site::start(FEW_DESCRIPTORS).await;
    site.run(|_| (CONNECTIONS, Pieces::default())).await;
}

/// Guards against unfinished heads that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn heads_byte_by_byte() {
    let mut site = Site::start(FEW_DESCRIPTORS).await;
    site.run(|port| (CONNECTIONS, byte_by_byte(port))).await;
}

/// Guards against bodies of legal size that together exceed the memory.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_one_byte_short() {
    let mut site = Site::start(DESCRIPTORS).await;
    site.run(|port| (senders(port), unfinished_body(port, port.body)))
        .await;
}

/// Guards against memory that is held for each write instead of each byte.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_small_writes() {
    let mut site = Site::start(DESCRIPTORS).await;
    site.run(|port| (senders(port).min(100), unfinished_body(port, 512)))
        .await;
}

/// Guards against memory that is held for each chunk instead of each byte.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_of_one_byte() {
    let mut site = Site::start(DESCRIPTORS).await;
    site.run(|port| (100, one_byte_chunks(port))).await;
}

/// Guards against heads whose fields, and answers whose bytes nobody reads, take the memory.
#[tokio::test(flavor = "multi_thread")]
async fn many_short_fields_and_unread_answers() {
    let mut site = Site::start(DESCRIPTORS).await;
    for n in [900, 3_000] {
        site.run(|port| (CONNECTIONS, short_fields(port, n))).await;
    }
    site.run(|port| (60, pipelined(port))).await;
}

/// Guards against bodies and fields that together exceed the memory of a forwarding gate with many
/// descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_at_the_callers_of_a_forwarding_gate() {
    let mut site = Site::start(DESCRIPTORS).await;
    let port = site.callers;
    site.run_at(port, (senders(port), unfinished_body(port, port.body)))
        .await;
    site.run_at(port, (100, one_byte_chunks(port))).await;
}

/// Guards against heads whose fields take more memory than their text.
#[tokio::test(flavor = "multi_thread")]
async fn short_fields_at_the_callers_of_a_forwarding_gate() {
    let mut site = Site::start(DESCRIPTORS).await;
    let port = site.callers;
    site.run_at(port, (CONNECTIONS, short_fields(port, 3_000)))
        .await;
}

/// Guards against a load at one listener that closes another one, and against shares that exceed
/// the limits together.
#[tokio::test(flavor = "multi_thread")]
async fn several_listeners_at_once() {
    let mut site = Site::start(FEW_DESCRIPTORS).await;
    let mut loads = Vec::new();
    for port in site.ports.iter().copied().chain([site.callers]) {
        let body = Port {
            body: port.body.min(256 << 10),
            ..port
        };
        loads.push((port, 60, Pieces::default()));
        loads.push((port, 60, byte_by_byte(port)));
        loads.push((port, 60, unfinished_body(body, 64 << 10)));
        loads.push((port, 40, one_byte_chunks(port)));
        loads.push((port, 40, pipelined(port)));
    }
    let _open = abuse(loads).await;
    sleep(SETTLE_TIME).await;
    site.check("all listeners").await;
}
