//! Benchmark of one gate process on loopback: latency added to a call and to the first chunk of a
//! stream, calls per second, and streamed tokens per second with their CPU time.
//!
//! `cargo build --release -p gate && cargo run --release -p gate --example added_time [GATE]...`
//!
//! `GATE` is the path of a gate binary; several are measured one after the other. The default is
//! the binary of this build.

#[expect(dead_code, reason = "the benchmark uses only part of the fake keeper")]
#[path = "../tests/env/keeper.rs"]
mod keeper;

use std::{
    convert::Infallible,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::{
    Request, Response,
    body::{Frame, Incoming},
    client::conn::http1::{SendRequest, handshake},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use keeper::FakeKeeper;
use mimalloc::MiMalloc;
use serde_json::{Value, json};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{Instant, MissedTickBehavior, interval, sleep},
};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Duration of each measurement.
const MEASURE_TIME: Duration = Duration::from_secs(5);
/// Concurrent callers, each with its own connection.
const CALLERS: usize = 32;
/// Concurrent streams, and the interval between the tokens of a stream.
const CONCURRENT_STREAMS: usize = 240;
const TOKEN_INTERVAL: Duration = Duration::from_millis(8);
const TOKENS_PER_STREAM: usize = 250;
/// Endpoints of each service; they share one address.
const ENDPOINTS_PER_SERVICE: usize = 20;
/// Unit of the CPU times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
const DECLARATION: &str = "\
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
[pipeline find]
stages = look
[pipeline chat]
stages = llm
[workspace w]
pipelines = find, chat
availability_zones = z
max_in_flight = 100000
";

struct Gate {
    child: Child,
    http: SocketAddr,
}

impl Drop for Gate {
    fn drop(&mut self) {
        // It may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Gate {
    fn start(exe: &Path, keeper: SocketAddr, folder: &Path) -> Self {
        let path = folder.join("gate.ini");
        let settings = format!("[vm]\nname = g\navailability_zone = z\n[keepers]\nk = {keeper}\n");
        std::fs::write(&path, settings).expect("the temporary folder is writable");
        let mut child = Command::new(exe)
            .arg("--config")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("build the gate first: cargo build --release -p gate");
        let mut lines = BufReader::new(child.stdout.take().expect("it is piped")).lines();
        let http = loop {
            let line = lines
                .next()
                .expect("the gate listens")
                .expect("its log is text");
            let line: Value = serde_json::from_str(&line).unwrap_or_default();
            if let Some(http) = line["kv"]["http"].as_str() {
                break http.parse().expect("an address");
            }
        };
        std::thread::spawn(move || lines.for_each(drop));
        Self { child, http }
    }

    /// User and system CPU time used so far, in seconds.
    fn cpu_seconds(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks: f64 = fields[11..13]
            .iter()
            .filter_map(|t| t.parse::<f64>().ok())
            .sum();
        ticks / TICKS_PER_SECOND
    }

    fn peak_memory_mb(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status
            .lines()
            .find(|l| l.starts_with("VmHWM"))
            .unwrap_or_default();
        let kb: f64 = line
            .split_whitespace()
            .nth(1)
            .and_then(|n| n.parse().ok())
            .unwrap_or(0.0);
        kb / 1024.0
    }
}

async fn serve_endpoint() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("loopback");
            stream.set_nodelay(true).expect("a socket");
            let serving =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(answer));
            tokio::spawn(serving);
        }
    });
    address
}

type EndpointBody = Either<Full<Bytes>, http_body_util::combinators::BoxBody<Bytes, Infallible>>;

async fn answer(req: Request<Incoming>) -> Result<Response<EndpointBody>, hyper::Error> {
    let (head, body) = req.into_parts();
    body.collect().await?;
    let call = head.headers.get("jujube-call").cloned();
    let body = match head.uri.path() {
        "/v1/completions" => Either::Right(BodyExt::boxed(StreamBody::new(tokens()))),
        _ => Either::Left(Full::new(Bytes::from_static(
            br#"{"output":{"found":[1,2,3]}}"#,
        ))),
    };
    let mut res = Response::new(body);
    if let Some(call) = call {
        res.headers_mut().insert("jujube-call", call);
    }
    Ok(res)
}

fn tokens() -> impl futures_util::Stream<Item = Result<Frame<Bytes>, Infallible>> {
    let mut tick = interval(TOKEN_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    futures_util::stream::unfold((0, tick), async move |(n, mut tick)| {
        let text = match n {
            ..TOKENS_PER_STREAM => {
                tick.tick().await;
                let choices = [json!({"text": "word ", "finish_reason": null})];
                format!("data: {}\n\n", json!({"offset": n * 5, "choices": choices}))
            }
            TOKENS_PER_STREAM => "data: [DONE]\n\n".to_owned(),
            _ => return None,
        };
        Some((Ok(Frame::data(Bytes::from(text))), (n + 1, tick)))
    })
}

async fn connect(to: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(to).await.expect("loopback");
    stream.set_nodelay(true).expect("a socket");
    let (sender, driver) = handshake(TokioIo::new(stream)).await.expect("a connection");
    tokio::spawn(driver);
    sender
}

fn request(path: &str, headers: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let mut req = Request::builder()
        .method("POST")
        .uri(path)
        .header("host", "x");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let body = Bytes::from_static(br#"{"input":{"query":"ice off Rockland"},"previous":null}"#);
    let body = if path.contains("pipelines") {
        Bytes::from_static(br#"{"input":{"query":"ice off Rockland"}}"#)
    } else {
        body
    };
    req.body(Full::new(body)).expect("a request")
}

/// Sorted latencies in microseconds.
#[derive(Default)]
struct Latencies(Vec<u64>);

impl Latencies {
    fn quantile_ms(&self, q: f64) -> f64 {
        let at = (self.0.len() as f64 * q) as usize;
        self.0
            .get(at.min(self.0.len().saturating_sub(1)))
            .map_or(0.0, |us| *us as f64 / 1e3)
    }
}

/// Sleeps for a random time between zero and twice `mean`, on a separate thread. The runtime's
/// timer has a resolution of a millisecond, so it would send all calls of one tick at once.
async fn random_pause(mean: Duration) {
    let pause = mean.mul_f64(rand::random_range(0.0..2.0));
    let slept = tokio::task::spawn_blocking(move || std::thread::sleep(pause)).await;
    slept.expect("a sleep does not panic");
}

/// Calls `to` from all callers for [`MEASURE_TIME`]. Each calls again after its response and a
/// random pause of mean `pause`.
async fn call_all(to: SocketAddr, path: &'static str, pause: Duration) -> Latencies {
    let until = Instant::now() + MEASURE_TIME;
    let mut callers = JoinSet::new();
    for n in 0..CALLERS {
        callers.spawn(async move {
            let mut sender = connect(to).await;
            sleep(pause * n as u32 / CALLERS as u32).await;
            let mut latencies_us = Vec::new();
            let call = uuid::Uuid::new_v4().to_string();
            let headers = [("jujube-workspace", "w"), ("jujube-call", &*call)];
            while Instant::now() < until {
                let start = Instant::now();
                sender.ready().await.expect("open");
                let res = sender
                    .send_request(request(path, &headers))
                    .await
                    .expect("an answer");
                assert_eq!(res.status(), 200);
                res.into_body().collect().await.expect("a body");
                latencies_us.push(start.elapsed().as_micros() as u64);
                if !pause.is_zero() {
                    random_pause(pause).await;
                }
            }
            latencies_us
        });
    }
    let mut latencies_us: Vec<u64> = callers.join_all().await.into_iter().flatten().collect();
    latencies_us.sort_unstable();
    Latencies(latencies_us)
}

/// Streams from `to`. Returns the times to the first chunk, the number of chunks and the seconds
/// taken.
async fn stream_all(to: SocketAddr, path: &'static str) -> (Latencies, u64, f64) {
    let chunks = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let until = started + MEASURE_TIME;
    let mut callers = JoinSet::new();
    for n in 0..CONCURRENT_STREAMS {
        let chunks = Arc::clone(&chunks);
        callers.spawn(async move {
            sleep(TOKEN_INTERVAL * TOKENS_PER_STREAM as u32 * n as u32 / CONCURRENT_STREAMS as u32)
                .await;
            let mut sender = connect(to).await;
            let mut first_chunk_us = Vec::new();
            let headers = [
                ("jujube-workspace", "w"),
                ("accept", "text/event-stream"),
                ("jujube-deadline-ms", "60000"),
            ];
            while Instant::now() < until {
                let start = Instant::now();
                sender.ready().await.expect("open");
                let res = sender
                    .send_request(request(path, &headers))
                    .await
                    .expect("an answer");
                assert_eq!(res.status(), 200);
                let mut body = res.into_body();
                let mut is_first = true;
                while let Some(frame) = body.frame().await {
                    let data = frame.expect("a part").into_data().unwrap_or_default();
                    let count = data.windows(8).filter(|w| w == b"\"offset\"").count();
                    if is_first {
                        first_chunk_us.push(start.elapsed().as_micros() as u64);
                        is_first = false;
                    }
                    chunks.fetch_add(count as u64, Ordering::Relaxed);
                }
            }
            first_chunk_us
        });
    }
    let mut first_chunk_us: Vec<u64> = callers.join_all().await.into_iter().flatten().collect();
    first_chunk_us.sort_unstable();
    let seconds = started.elapsed().as_secs_f64();
    (
        Latencies(first_chunk_us),
        chunks.load(Ordering::Relaxed),
        seconds,
    )
}

async fn announce(gate: SocketAddr, endpoint: SocketAddr) {
    let incarnation = uuid::Uuid::now_v7();
    for seq in 1.. {
        for n in 0..ENDPOINTS_PER_SERVICE * 2 {
            let service = ["look", "llm"][n % 2];
            let body = json!({
                "endpoint": format!("{service}-{n}"), "service": service, "az": "z",
                "address": format!("http://{endpoint}"), "incarnation": incarnation, "seq": seq,
                "state": "ready", "models": [{"model": "m", "version": 1}],
            });
            let mut sender = connect(gate).await;
            let req = Request::builder()
                .method("POST")
                .uri("/v1/announce")
                .header("host", "x");
            let body = Full::new(Bytes::from(body.to_string()));
            let sent = sender
                .send_request(req.body(body).expect("a request"))
                .await;
            assert!(sent.is_ok_and(|res| res.status() == 200));
        }
        sleep(Duration::from_secs(1)).await;
    }
}

fn built_gate() -> PathBuf {
    let exe = std::env::current_exe().expect("the path of this program is known");
    exe.with_file_name("..").join("jujube-gate")
}

#[tokio::main]
async fn main() {
    let mut gates: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
    if gates.is_empty() {
        gates.push(built_gate());
    }
    for gate in gates {
        println!("{}", gate.display());
        measure(&gate).await;
    }
}

async fn measure(exe: &Path) {
    let keeper = FakeKeeper::start(DECLARATION).await;
    let folder = tempfile::tempdir().expect("a folder");
    let gate = Gate::start(exe, keeper.address, folder.path());
    let endpoint = serve_endpoint().await;
    let announcing = tokio::spawn(announce(gate.http, endpoint));
    sleep(Duration::from_secs(1)).await;
    measure_calls(&gate, endpoint).await;
    measure_streams(&gate, endpoint).await;
    println!("gate's peak memory: {:.0} MB", gate.peak_memory_mb());
    announcing.abort();
}

async fn measure_calls(gate: &Gate, endpoint: SocketAddr) {
    let before = gate.cpu_seconds();
    let full = call_all(gate.http, "/v1/pipelines/find", Duration::ZERO).await;
    let rate = full.0.len() as f64 / MEASURE_TIME.as_secs_f64();
    let cpu_seconds = gate.cpu_seconds() - before;
    println!(
        "full load: {rate:.0} calls/s on {:.2} cores, {:.1} us of CPU time per call, p50 {:.3} ms, p99 {:.3} ms",
        cpu_seconds / MEASURE_TIME.as_secs_f64(),
        cpu_seconds / full.0.len() as f64 * 1e6,
        full.quantile_ms(0.5),
        full.quantile_ms(0.99)
    );

    // Twice the time per call at full load, which halves the rate.
    let pause = Duration::from_secs_f64(2.0 * CALLERS as f64 / rate);
    let direct = call_all(endpoint, "/v1/stages/look", pause).await;
    let before = gate.cpu_seconds();
    let half = call_all(gate.http, "/v1/pipelines/find", pause).await;
    let cpu_seconds = gate.cpu_seconds() - before;
    let rate = half.0.len() as f64 / MEASURE_TIME.as_secs_f64();
    println!(
        "half load: {rate:.0} calls/s, {:.1} us of CPU time per call",
        cpu_seconds / half.0.len() as f64 * 1e6
    );
    print_added("half load", &half, &direct);
}

async fn measure_streams(gate: &Gate, endpoint: SocketAddr) {
    let (direct, ..) = stream_all(endpoint, "/v1/completions").await;
    let before = gate.cpu_seconds();
    let (first, tokens, seconds) = stream_all(gate.http, "/v1/pipelines/chat").await;
    let cpu_seconds = gate.cpu_seconds() - before;
    println!(
        "streams: {:.0} tokens/s on {:.2} cores, {:.1} us of CPU time per token, {:.0} tokens/s per core",
        tokens as f64 / seconds,
        cpu_seconds / seconds,
        cpu_seconds / tokens as f64 * 1e6,
        tokens as f64 / cpu_seconds
    );
    print_added("first chunk", &first, &direct);
}

fn print_added(what: &str, with: &Latencies, without: &Latencies) {
    for (name, q) in [("p50", 0.5), ("p99", 0.99)] {
        let (with, without) = (with.quantile_ms(q), without.quantile_ms(q));
        println!(
            "{what}: {name} {with:.3} ms, endpoint alone {without:.3} ms, added {:.3} ms",
            with - without
        );
    }
}
