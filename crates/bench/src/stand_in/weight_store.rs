//! A weight store whose total rate is limited: loads at the same time share it.

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

use super::reply::{Body, problem, streamed};
use crate::client::Client;

/// Bytes sent at once.
const PIECE: usize = 16 * 1024;
/// Wait before a failed load is tried again.
pub(crate) const RETRY: Duration = Duration::from_millis(200);

/// Size and rate of a weight store.
#[derive(Clone, Copy, Debug)]
pub struct WeightStoreConfig {
    /// Bytes of each model.
    pub model_bytes: usize,
    /// Bytes a second for all loads together.
    pub bytes_per_second: usize,
}

/// A running weight store; dropping it ends it.
#[derive(Debug)]
pub struct WeightStore {
    address: SocketAddr,
    asked: Arc<Asked>,
    _tasks: JoinSet<()>,
}

/// How the store answers, and how often it was asked.
#[derive(Debug, Default)]
struct Asked {
    is_refusing: AtomicBool,
    refused: AtomicU64,
    given: AtomicU64,
    open: AtomicU64,
    most_open: AtomicU64,
}

impl Asked {
    fn enter(&self) {
        let open = self.open.fetch_add(1, Ordering::SeqCst) + 1;
        self.most_open.fetch_max(open, Ordering::SeqCst);
    }

    fn leave(&self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
        self.given.fetch_add(1, Ordering::SeqCst);
    }
}

impl WeightStore {
    /// Its base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Has it answer 503 from now on, or give weights again.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.asked.is_refusing.store(is_refusing, Ordering::SeqCst);
    }

    /// Fetches that were refused.
    pub fn refused_fetches(&self) -> u64 {
        self.asked.refused.load(Ordering::SeqCst)
    }

    /// Fetches that ended.
    pub fn completed_fetches(&self) -> u64 {
        self.asked.given.load(Ordering::SeqCst)
    }

    /// Most fetches at one time.
    pub fn max_concurrent_fetches(&self) -> u64 {
        self.asked.most_open.load(Ordering::SeqCst)
    }
}

/// When the next piece may go, for all loads together.
type Schedule = Arc<Mutex<Instant>>;

/// Starts a weight store on loopback.
pub async fn start(cfg: WeightStoreConfig) -> eyre::Result<WeightStore> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await;
    let listener = listener.wrap_err("bind the weight store")?;
    let address = listener.local_addr()?;
    let mut tasks = JoinSet::new();
    let asked = Arc::new(Asked::default());
    tasks.spawn(accept(cfg, listener, Arc::clone(&asked)));
    Ok(WeightStore {
        address,
        asked,
        _tasks: tasks,
    })
}

async fn accept(cfg: WeightStoreConfig, listener: TcpListener, asked: Arc<Asked>) {
    let schedule: Schedule = Arc::new(Mutex::new(Instant::now()));
    let mut connections = JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        let (schedule, asked) = (Arc::clone(&schedule), Arc::clone(&asked));
        let service = service_fn(move |_: Request<hyper::body::Incoming>| {
            let answer = match asked.is_refusing.load(Ordering::SeqCst) {
                true => {
                    asked.refused.fetch_add(1, Ordering::SeqCst);
                    let detail = "the weight store is at its limit";
                    problem(StatusCode::SERVICE_UNAVAILABLE, "", detail, true)
                }
                false => Response::new(weights(cfg, Arc::clone(&schedule), Arc::clone(&asked))),
            };
            async { Ok::<_, Infallible>(answer) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
        connections.spawn(async {
            // A load that was given up is ordinary.
            let _ = connection.await;
        });
    }
}

fn weights(cfg: WeightStoreConfig, schedule: Schedule, asked: Arc<Asked>) -> Body {
    let (tx, body) = streamed();
    tokio::spawn(async move {
        asked.enter();
        let mut left = cfg.model_bytes;
        while left > 0 {
            let size = left.min(PIECE);
            left -= size;
            let slot = reserve(&schedule, size, cfg.bytes_per_second).await;
            sleep_until(slot).await;
            let piece = Frame::data(Bytes::from(vec![0; size]));
            if tx.send(Ok(piece)).await.is_err() {
                break;
            }
        }
        asked.leave();
    });
    body
}

async fn reserve(schedule: &Schedule, size: usize, rate: usize) -> Instant {
    let mut next = schedule.lock().await;
    let slot = (*next).max(Instant::now());
    *next = slot + Duration::from_secs_f64(size as f64 / rate.max(1) as f64);
    *next
}

/// What became of a fetch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fetched {
    /// So many bytes came.
    Whole(usize),
    /// The store is at its limit and gave nothing.
    Refused(StatusCode),
}

/// Fetches the weights called `name` whole.
pub(crate) async fn fetch(client: &Client, store: &str, name: &str) -> eyre::Result<Fetched> {
    let url = format!("{store}/v1/weights/{name}");
    let res = client.open(Method::GET, &url, &[], Vec::new()).await?;
    if matches!(res.status().as_u16(), 429 | 503) {
        return Ok(Fetched::Refused(res.status()));
    }
    ensure!(res.status().is_success(), "{url} answered {}", res.status());
    let mut body = res.into_body();
    let mut total = 0;
    while let Some(frame) = body.frame().await {
        total += frame?.data_ref().map_or(0, Bytes::len);
    }
    Ok(Fetched::Whole(total))
}
