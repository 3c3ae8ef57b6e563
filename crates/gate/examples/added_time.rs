//! Measures one gate process on loopback: time that it adds to a call and to the first chunk, calls
//! a second, and streamed tokens a second with the processor time that they take.
//!
//! `cargo build --release -p gate && cargo run --release -p gate --example added_time [GATE]...`
//!
//! Each `GATE` is the path of a gate's binary to measure, one after the other; without one it is the
//! binary of this build.

#[expect(dead_code, reason = "the measurement needs a part of the tests' fake")]
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

const PATIENCE: Duration = Duration::from_secs(20);
/// Time of each measurement.
const SPAN: Duration = Duration::from_secs(5);
/// Callers at one time, each with its own connection.
const CALLERS: usize = 32;
/// Streams at one time, and the pause between the tokens of one stream.
const STREAMS: usize = 240;
const TOKEN_PAUSE: Duration = Duration::from_millis(8);
const TOKENS: usize = 250;
/// Endpoints of each service; they share one address.
const ENDPOINTS: usize = 20;
/// Ticks a second of the processor times in `/proc`.
const TICKS: f64 = 100.0;
const DECLARED: &str = "\
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
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Gate {
    fn start(exe: &Path, keeper: SocketAddr, folder: &Path) -> Self {
        let path = folder.join("gate.ini");
        let settings = format!("[vm]\nname = g\navailability_zone = z\n[keepers]\nk = {keeper}\n");
        std::fs::write(&path, settings).expect("the folder is ours");
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

    /// Processor time used so far, in user and kernel mode.
    fn processor_time(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks: f64 = fields[11..13]
            .iter()
            .filter_map(|t| t.parse::<f64>().ok())
            .sum();
        ticks / TICKS
    }

    fn memory_mb(&self) -> f64 {
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
    let mut tick = interval(TOKEN_PAUSE);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    futures_util::stream::unfold((0, tick), async move |(n, mut tick)| {
        let text = match n {
            ..TOKENS => {
                tick.tick().await;
                let choices = [json!({"text": "word ", "finish_reason": null})];
                format!("data: {}\n\n", json!({"offset": n * 5, "choices": choices}))
            }
            TOKENS => "data: [DONE]\n\n".to_owned(),
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

/// Latencies in microseconds, sorted.
#[derive(Default)]
struct Latencies(Vec<u64>);

impl Latencies {
    fn at(&self, q: f64) -> f64 {
        let at = (self.0.len() as f64 * q) as usize;
        self.0
            .get(at.min(self.0.len().saturating_sub(1)))
            .map_or(0.0, |us| *us as f64 / 1e3)
    }
}

/// Pauses for a time drawn between zero and twice `mean`, on a thread of its own: the runtime's timer
/// ticks once a millisecond, which would send the calls of one tick all at the same instant.
async fn pause_about(mean: Duration) {
    let pause = mean.mul_f64(rand::random_range(0.0..2.0));
    let slept = tokio::task::spawn_blocking(move || std::thread::sleep(pause)).await;
    slept.expect("a sleep does not panic");
}

/// Calls `to` from all callers, each again as soon as it has its answer plus about `pause`.
async fn call_all(to: SocketAddr, path: &'static str, pause: Duration) -> Latencies {
    let until = Instant::now() + SPAN;
    let mut callers = JoinSet::new();
    for n in 0..CALLERS {
        callers.spawn(async move {
            let mut sender = connect(to).await;
            sleep(pause * n as u32 / CALLERS as u32).await;
            let mut taken = Vec::new();
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
                taken.push(start.elapsed().as_micros() as u64);
                if !pause.is_zero() {
                    pause_about(pause).await;
                }
            }
            taken
        });
    }
    let mut all: Vec<u64> = callers.join_all().await.into_iter().flatten().collect();
    all.sort_unstable();
    Latencies(all)
}

/// Streams from `to`; time to each first chunk, and all chunks.
async fn stream_all(to: SocketAddr, path: &'static str) -> (Latencies, u64, f64) {
    let chunks = Arc::new(AtomicU64::new(0));
    let begun = Instant::now();
    let until = begun + SPAN;
    let mut callers = JoinSet::new();
    for n in 0..STREAMS {
        let chunks = Arc::clone(&chunks);
        callers.spawn(async move {
            sleep(TOKEN_PAUSE * TOKENS as u32 * n as u32 / STREAMS as u32).await;
            let mut sender = connect(to).await;
            let mut firsts = Vec::new();
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
                        firsts.push(start.elapsed().as_micros() as u64);
                        is_first = false;
                    }
                    chunks.fetch_add(count as u64, Ordering::Relaxed);
                }
            }
            firsts
        });
    }
    let mut firsts: Vec<u64> = callers.join_all().await.into_iter().flatten().collect();
    firsts.sort_unstable();
    let seconds = begun.elapsed().as_secs_f64();
    (Latencies(firsts), chunks.load(Ordering::Relaxed), seconds)
}

async fn announce(gate: SocketAddr, endpoint: SocketAddr) {
    let incarnation = uuid::Uuid::now_v7();
    for seq in 1.. {
        for n in 0..ENDPOINTS * 2 {
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

fn this_build() -> PathBuf {
    let exe = std::env::current_exe().expect("the path of this program is known");
    exe.with_file_name("..").join("jujube-gate")
}

#[tokio::main]
async fn main() {
    let mut gates: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
    if gates.is_empty() {
        gates.push(this_build());
    }
    for gate in gates {
        println!("{}", gate.display());
        measure(&gate).await;
    }
}

async fn measure(exe: &Path) {
    let keeper = FakeKeeper::start(DECLARED).await;
    let folder = tempfile::tempdir().expect("a folder");
    let gate = Gate::start(exe, keeper.address, folder.path());
    let endpoint = serve_endpoint().await;
    let announcing = tokio::spawn(announce(gate.http, endpoint));
    sleep(Duration::from_secs(1)).await;
    measure_calls(&gate, endpoint).await;
    measure_streams(&gate, endpoint).await;
    println!("gate's peak memory: {:.0} MB", gate.memory_mb());
    announcing.abort();
}

async fn measure_calls(gate: &Gate, endpoint: SocketAddr) {
    let before = gate.processor_time();
    let full = call_all(gate.http, "/v1/pipelines/find", Duration::ZERO).await;
    let rate = full.0.len() as f64 / SPAN.as_secs_f64();
    let used = gate.processor_time() - before;
    println!(
        "full load: {rate:.0} calls/s on {:.2} cores, {:.1} us of processor a call, p50 {:.3} ms, p99 {:.3} ms",
        used / SPAN.as_secs_f64(),
        used / full.0.len() as f64 * 1e6,
        full.at(0.5),
        full.at(0.99)
    );

    // Twice the time of a call at full load, so that the rate is half of it.
    let pause = Duration::from_secs_f64(2.0 * CALLERS as f64 / rate);
    let direct = call_all(endpoint, "/v1/stages/look", pause).await;
    let before = gate.processor_time();
    let half = call_all(gate.http, "/v1/pipelines/find", pause).await;
    let used = gate.processor_time() - before;
    let rate = half.0.len() as f64 / SPAN.as_secs_f64();
    println!(
        "half load: {rate:.0} calls/s, {:.1} us of processor a call",
        used / half.0.len() as f64 * 1e6
    );
    print_added("half load", &half, &direct);
}

async fn measure_streams(gate: &Gate, endpoint: SocketAddr) {
    let (direct, ..) = stream_all(endpoint, "/v1/completions").await;
    let before = gate.processor_time();
    let (first, tokens, seconds) = stream_all(gate.http, "/v1/pipelines/chat").await;
    let used = gate.processor_time() - before;
    println!(
        "streams: {:.0} tokens/s on {:.2} cores, {:.1} us of processor a token, {:.0} tokens/s a core",
        tokens as f64 / seconds,
        used / seconds,
        used / tokens as f64 * 1e6,
        tokens as f64 / used
    );
    print_added("first chunk", &first, &direct);
}

fn print_added(what: &str, with: &Latencies, without: &Latencies) {
    for (name, q) in [("p50", 0.5), ("p99", 0.99)] {
        let (with, without) = (with.at(q), without.at(q));
        println!(
            "{what}: {name} {with:.3} ms, endpoint alone {without:.3} ms, added {:.3} ms",
            with - without
        );
    }
}
