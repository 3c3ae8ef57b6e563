//! Simulated weight store whose total transfer rate is shared by concurrent loads.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use eyre::{WrapErr, ensure};
use http_body_util::BodyExt;
use hyper::{
    Method, Request, Response, StatusCode, body::Frame, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpListener,
    sync::Mutex,
    task::JoinSet,
    time::{Instant, sleep_until},
};

use super::reply::{Body, channel_body, problem};
use crate::client::Client;

/// Maximum size of a body chunk.
const CHUNK_BYTES: usize = 16 * 1024;
/// Delay before a failed fetch is retried.
pub(crate) const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Configuration of a weight store.
#[derive(Clone, Copy, Debug)]
pub struct WeightStoreConfig {
    /// Size of every model, in bytes.
    pub model_bytes: usize,
    /// Total rate of all fetches, in bytes per second.
    pub bytes_per_second: usize,
}

/// A running weight store; dropping it stops it.
#[derive(Debug)]
pub struct WeightStore {
    address: SocketAddr,
    state: Arc<StoreState>,
    _tasks: JoinSet<()>,
}

/// Mode of the store and counters of its fetches.
#[derive(Debug, Default)]
struct StoreState {
    is_refusing: AtomicBool,
    refused: AtomicU64,
    completed: AtomicU64,
    open: AtomicU64,
    max_open: AtomicU64,
}

impl StoreState {
    fn record_start(&self) {
        let open = self.open.fetch_add(1, Ordering::SeqCst) + 1;
        self.max_open.fetch_max(open, Ordering::SeqCst);
    }

    fn record_end(&self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
        self.completed.fetch_add(1, Ordering::SeqCst);
    }
}

impl WeightStore {
    /// Base URL, `http://IP:PORT`.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Refuses fetches with status 503 if true; serves them again if false.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.state.is_refusing.store(is_refusing, Ordering::SeqCst);
    }

    /// Number of fetches refused so far.
    pub fn refused_fetches(&self) -> u64 {
        self.state.refused.load(Ordering::SeqCst)
    }

    /// Number of fetches that ended so far, complete or not.
    pub fn completed_fetches(&self) -> u64 {
        self.state.completed.load(Ordering::SeqCst)
    }

    /// Largest number of concurrent fetches so far.
    pub fn max_concurrent_fetches(&self) -> u64 {
        self.state.max_open.load(Ordering::SeqCst)
    }
}

/// Time at which the next chunk may be sent, shared by all fetches.
type Schedule = Arc<Mutex<Instant>>;

/// Starts a weight store on a free loopback port.
pub async fn start(cfg: WeightStoreConfig) -> eyre::Result<WeightStore> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await;
    let listener = listener.wrap_err("bind the weight store")?;
    let address = listener.local_addr()?;
    let mut tasks = JoinSet::new();
    let state = Arc::new(StoreState::default());
    tasks.spawn(accept(cfg, listener, Arc::clone(&state)));
    Ok(WeightStore {
        address,
        state,
        _tasks: tasks,
    })
}

async fn accept(cfg: WeightStoreConfig, listener: TcpListener, state: Arc<StoreState>) {
    let schedule: Schedule = Arc::new(Mutex::new(Instant::now()));
    let mut connections = JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        let (schedule, state) = (Arc::clone(&schedule), Arc::clone(&state));
        let service = service_fn(move |_: Request<hyper::body::Incoming>| {
            let response = match state.is_refusing.load(Ordering::SeqCst) {
                true => {
                    state.refused.fetch_add(1, Ordering::SeqCst);
                    let detail = "the weight store is at its limit";
                    problem(StatusCode::SERVICE_UNAVAILABLE, "", detail, true)
                }
                false => Response::new(weights(cfg, Arc::clone(&schedule), Arc::clone(&state))),
            };
            async { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
        connections.spawn(async {
            // Errors are ignored: a client may abandon a fetch.
            let _ = connection.await;
        });
    }
}

fn weights(cfg: WeightStoreConfig, schedule: Schedule, state: Arc<StoreState>) -> Body {
    let (tx, body) = channel_body();
    tokio::spawn(async move {
        state.record_start();
        let mut remaining = cfg.model_bytes;
        while remaining > 0 {
            let size = remaining.min(CHUNK_BYTES);
            remaining -= size;
            let send_at = reserve(&schedule, size, cfg.bytes_per_second).await;
            sleep_until(send_at).await;
            let chunk = Frame::data(Bytes::from(vec![0; size]));
            if tx.send(Ok(chunk)).await.is_err() {
                break;
            }
        }
        state.record_end();
    });
    body
}

async fn reserve(schedule: &Schedule, size: usize, rate: usize) -> Instant {
    let mut next = schedule.lock().await;
    let send_at = (*next).max(Instant::now());
    *next = send_at + Duration::from_secs_f64(size as f64 / rate.max(1) as f64);
    *next
}

/// Result of a fetch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fetched {
    /// All bytes arrived; holds their number.
    Complete(usize),
    /// The store refused the fetch with this status, 429 or 503.
    Refused(StatusCode),
}

/// Fetches all weights of the model version `name`.
///
/// Fails on connection errors and on any other status than success, 429 or 503.
pub(crate) async fn fetch(client: &Client, store: &str, name: &str) -> eyre::Result<Fetched> {
    let url = format!("{store}/v1/weights/{name}");
    let res = client.open(Method::GET, &url, &[], Vec::new()).await?;
    if matches!(res.status().as_u16(), 429 | 503) {
        return Ok(Fetched::Refused(res.status()));
    }
    ensure!(
        res.status().is_success(),
        "{url} returned status {}",
        res.status()
    );
    let mut body = res.into_body();
    let mut total = 0;
    while let Some(frame) = body.frame().await {
        total += frame?.data_ref().map_or(0, Bytes::len);
    }
    Ok(Fetched::Complete(total))
}
