//! The calling end: keeps one connection to a peer up and makes calls over it.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_util::StreamExt;
use rand::RngExt;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot, watch},
    task::AbortHandle,
    time::{sleep, timeout},
};
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

use crate::{
    Channel, Identity, LinkConfig, LinkError,
    connection::{bounds, read_frame, write_loop},
    decode, encode,
    frame::Frame,
    handshake::{End, shake},
};

const FIRST_BACKOFF: Duration = Duration::from_millis(20);

/// Calls that wait for replies, and the way to the connection's writer.
#[derive(Debug, Default)]
struct Open {
    tx: Option<mpsc::Sender<Frame>>,
    pending: HashMap<u64, oneshot::Sender<Vec<u8>>>,
    next_id: u64,
}

/// A handle on the link to one peer; the link closes when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Peer {
    shared: Arc<Shared>,
    up: watch::Receiver<Option<Identity>>,
    _task: Arc<AbortOnDrop>,
}

#[derive(Debug)]
struct Shared {
    name: String,
    address: SocketAddr,
    cfg: LinkConfig,
    open: Mutex<Open>,
}

#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Removes a call from the pending ones however its future ends.
struct PendingGuard<'a> {
    shared: &'a Shared,
    id: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.shared.lock().pending.remove(&self.id);
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, Open> {
        self.open.lock().expect("no holder of this lock panics")
    }

    fn not_connected(&self) -> LinkError {
        LinkError::NotConnected {
            peer: self.name.clone(),
        }
    }
}

impl Peer {
    /// Starts the task that keeps a connection to `name` at `address` up.
    pub fn start(name: &str, address: SocketAddr, cfg: &LinkConfig) -> Self {
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            address,
            cfg: cfg.clone(),
            open: Mutex::default(),
        });
        let (tx, up) = watch::channel(None);
        let task = tokio::spawn(keep_up(Arc::clone(&shared), tx));
        Self {
            shared,
            up,
            _task: Arc::new(AbortOnDrop(task.abort_handle())),
        }
    }

    /// The peer's name in our settings.
    pub fn name(&self) -> &str {
        &self.shared.name
    }

    /// The address that the link connects to.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Who is at the other end, while connected.
    pub fn identity(&self) -> Option<Identity> {
        self.up.borrow().clone()
    }

    /// Whether a connection is open now.
    pub fn is_connected(&self) -> bool {
        self.up.borrow().is_some()
    }

    /// Returns once a connection is open.
    pub async fn connected(&self) {
        let mut up = self.up.clone();
        // An error means that the link is closing; the next call says so.
        let _ = up.wait_for(Option::is_some).await;
    }

    /// Sends `req` on `channel` and waits at most `limit` for the typed reply.
    pub async fn call<Req: Serialize, Rep: DeserializeOwned>(
        &self,
        channel: Channel,
        req: &Req,
        limit: Duration,
    ) -> Result<Rep, LinkError> {
        let bytes = self.call_bytes(channel, encode(req), limit).await?;
        decode(&bytes)
    }

    /// Sends `body` on `channel` and waits at most `limit` for the reply's bytes.
    pub async fn call_bytes(
        &self,
        channel: Channel,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Vec<u8>, LinkError> {
        let shared = &*self.shared;
        let (reply_tx, reply_rx) = oneshot::channel();
        let (id, tx) = {
            let mut open = shared.lock();
            let tx = open.tx.clone().ok_or_else(|| shared.not_connected())?;
            if open.pending.len() >= shared.cfg.max_pending {
                let peer = shared.name.clone();
                return Err(LinkError::Busy { peer });
            }
            open.next_id += 1;
            let id = open.next_id;
            open.pending.insert(id, reply_tx);
            (id, tx)
        };
        let _guard = PendingGuard { shared, id };
        let exchange = async {
            let sent = tx.send(Frame::Call { id, channel, body }).await;
            sent.map_err(|_| shared.not_connected())?;
            let peer = shared.name.clone();
            reply_rx.await.map_err(|_| LinkError::Lost { peer })
        };
        match timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(LinkError::TimedOut {
                peer: shared.name.clone(),
                waited: limit,
            }),
        }
    }
}

async fn keep_up(shared: Arc<Shared>, up: watch::Sender<Option<Identity>>) {
    let mut backoff = FIRST_BACKOFF;
    loop {
        if let Ok((socket, identity)) = connect(&shared).await {
            backoff = FIRST_BACKOFF;
            run(&shared, socket, identity, &up).await;
            up.send_replace(None);
        }
        let jittered = rand::rng().random_range(backoff / 2..=backoff);
        sleep(jittered).await;
        backoff = (backoff * 2).min(shared.cfg.max_backoff);
    }
}

async fn connect(shared: &Shared) -> Result<(WebSocketStream<TcpStream>, Identity), LinkError> {
    let failed = |reason: String| LinkError::Connect {
        address: shared.address,
        reason,
    };
    let open = async {
        let stream = TcpStream::connect(shared.address).await;
        let stream = stream.map_err(|e| failed(e.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|e| failed(e.to_string()))?;
        let url = format!("ws://{}/link", shared.address);
        let opened = client_async_with_config(url, stream, Some(bounds(&shared.cfg))).await;
        let (mut socket, _) = opened.map_err(|e| failed(e.to_string()))?;
        let identity = shake(&mut socket, &shared.cfg, End::Client).await?;
        Ok((socket, identity))
    };
    match timeout(shared.cfg.connect_timeout, open).await {
        Ok(result) => result,
        Err(_) => Err(failed(format!(
            "no answer within {:?}",
            shared.cfg.connect_timeout
        ))),
    }
}

async fn run(
    shared: &Shared,
    socket: WebSocketStream<TcpStream>,
    identity: Identity,
    up: &watch::Sender<Option<Identity>>,
) {
    let (sink, mut stream) = socket.split();
    let (tx, mut rx) = mpsc::channel(shared.cfg.max_pending);
    shared.lock().tx = Some(tx);
    up.send_replace(Some(identity));
    let read = async {
        while let Ok(frame) = read_frame(&mut stream, &shared.cfg, &shared.name).await {
            if let Frame::Reply { id, body } = frame {
                let waiting = shared.lock().pending.remove(&id);
                // A caller that gave up has dropped its end; its reply is not wanted.
                let _ = waiting.map(|tx| tx.send(body));
            }
        }
    };
    tokio::select! {
        () = read => {}
        _ = write_loop(sink, &mut rx, &shared.cfg, &shared.name) => {}
    }
    let mut open = shared.lock();
    open.tx = None;
    open.pending.clear();
}
