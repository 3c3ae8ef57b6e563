//! A weight store whose total rate is limited: loads at the same time share it.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use eyre::{WrapErr, ensure};
use http_body_util::BodyExt;
use hyper::{Method, Request, Response, body::Frame, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpListener,
    sync::Mutex,
    task::JoinSet,
    time::{Instant, sleep_until},
};

use super::reply::{Body, streamed};
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
    _tasks: JoinSet<()>,
}

impl WeightStore {
    /// Its base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
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
    tasks.spawn(accept(cfg, listener));
    Ok(WeightStore {
        address,
        _tasks: tasks,
    })
}

async fn accept(cfg: WeightStoreConfig, listener: TcpListener) {
    let schedule: Schedule = Arc::new(Mutex::new(Instant::now()));
    let mut connections = JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        let schedule = Arc::clone(&schedule);
        let service = service_fn(move |_: Request<hyper::body::Incoming>| {
            let body = weights(cfg, Arc::clone(&schedule));
            async { Ok::<_, Infallible>(Response::new(body)) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
        connections.spawn(async {
            // A load that was given up is ordinary.
            let _ = connection.await;
        });
    }
}

fn weights(cfg: WeightStoreConfig, schedule: Schedule) -> Body {
    let (tx, body) = streamed();
    tokio::spawn(async move {
        let mut left = cfg.model_bytes;
        while left > 0 {
            let size = left.min(PIECE);
            left -= size;
            let slot = reserve(&schedule, size, cfg.bytes_per_second).await;
            sleep_until(slot).await;
            let piece = Frame::data(Bytes::from(vec![0; size]));
            if tx.send(Ok(piece)).await.is_err() {
                return;
            }
        }
    });
    body
}

async fn reserve(schedule: &Schedule, size: usize, rate: usize) -> Instant {
    let mut next = schedule.lock().await;
    let slot = (*next).max(Instant::now());
    *next = slot + Duration::from_secs_f64(size as f64 / rate.max(1) as f64);
    *next
}

/// Fetches the weights called `name` whole; the bytes that came.
pub(crate) async fn fetch(client: &Client, store: &str, name: &str) -> eyre::Result<usize> {
    let url = format!("{store}/v1/weights/{name}");
    let res = client.open(Method::GET, &url, &[], Vec::new()).await?;
    ensure!(res.status().is_success(), "{url} answered {}", res.status());
    let mut body = res.into_body();
    let mut total = 0;
    while let Some(frame) = body.frame().await {
        total += frame?.data_ref().map_or(0, Bytes::len);
    }
    Ok(total)
}
