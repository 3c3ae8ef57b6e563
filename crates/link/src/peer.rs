//! Client end of a link: maintains one connection to a peer and makes calls over it.

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
    connection::{read_frame, websocket_config, write_loop},
    decode, encode,
    frame::Frame,
    handshake::{End, perform_handshake},
};

const MIN_BACKOFF: Duration = Duration::from_millis(20);

/// Pending calls, and the sender of frames to the connection's writer.
#[derive(Debug, Default)]
struct ConnectionState {
    tx: Option<mpsc::Sender<Frame>>,
    pending: HashMap<u64, oneshot::Sender<Vec<u8>>>,
    next_id: u64,
}

/// Handle of the link to one peer; the link closes when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Peer {
    shared: Arc<Shared>,
    identity_rx: watch::Receiver<Option<Identity>>,
    _task: Arc<AbortOnDrop>,
}

#[derive(Debug)]
struct Shared {
    name: String,
    address: SocketAddr,
    cfg: LinkConfig,
    state: Mutex<ConnectionState>,
}

#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Removes a call from the pending ones when its future completes or is dropped.
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
    fn lock(&self) -> std::sync::MutexGuard<'_, ConnectionState> {
        self.state.lock().expect("no holder of this lock panics")
    }

    fn not_connected(&self) -> LinkError {
        LinkError::NotConnected {
            peer: self.name.clone(),
        }
    }
}

impl Peer {
    /// Starts the task that maintains a connection to `name` at `address`.
    pub fn start(name: &str, address: SocketAddr, cfg: &LinkConfig) -> Self {
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            address,
            cfg: cfg.clone(),
            state: Mutex::default(),
        });
        let (tx, identity_rx) = watch::channel(None);
        let task = tokio::spawn(maintain_connection(Arc::clone(&shared), tx));
        Self {
            shared,
            identity_rx,
            _task: Arc::new(AbortOnDrop(task.abort_handle())),
        }
    }

    /// Returns the peer's name in the settings.
    pub fn name(&self) -> &str {
        &self.shared.name
    }

    /// Returns the address that the link connects to.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the identity of the other end; `None` while not connected.
    pub fn identity(&self) -> Option<Identity> {
        self.identity_rx.borrow().clone()
    }

    /// Returns true if a connection is open.
    pub fn is_connected(&self) -> bool {
        self.identity_rx.borrow().is_some()
    }

    /// Waits until a connection is open.
    pub async fn connected(&self) {
        let mut identity_rx = self.identity_rx.clone();
        // An error means that the link is closing; the next call then returns an error.
        let _ = identity_rx.wait_for(Option::is_some).await;
    }

    /// Sends `req` on `channel` and waits at most `limit` for the decoded reply.
    pub async fn call<Req: Serialize, Rep: DeserializeOwned>(
        &self,
        channel: Channel,
        req: &Req,
        limit: Duration,
    ) -> Result<Rep, LinkError> {
        let bytes = self.call_bytes(channel, encode(req), limit).await?;
        decode(&bytes)
    }

    /// Sends `body` on `channel` and waits at most `limit` for the encoded reply.
    pub async fn call_bytes(
        &self,
        channel: Channel,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Vec<u8>, LinkError> {
        let shared = &*self.shared;
        let (reply_tx, reply_rx) = oneshot::channel();
        let (id, tx) = {
            let mut state = shared.lock();
            let tx = state.tx.clone().ok_or_else(|| shared.not_connected())?;
            if state.pending.len() >= shared.cfg.max_pending {
                let peer = shared.name.clone();
                return Err(LinkError::Busy { peer });
            }
            state.next_id += 1;
            let id = state.next_id;
            state.pending.insert(id, reply_tx);
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

async fn maintain_connection(shared: Arc<Shared>, identity_tx: watch::Sender<Option<Identity>>) {
    let mut backoff = MIN_BACKOFF;
    loop {
        if let Ok((socket, identity)) = connect(&shared).await {
            backoff = MIN_BACKOFF;
            run(&shared, socket, identity, &identity_tx).await;
            identity_tx.send_replace(None);
        }
        let delay = rand::rng().random_range(backoff / 2..=backoff);
        sleep(delay).await;
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
        let opened =
            client_async_with_config(url, stream, Some(websocket_config(&shared.cfg))).await;
        let (mut socket, _) = opened.map_err(|e| failed(e.to_string()))?;
        let identity = perform_handshake(&mut socket, &shared.cfg, End::Client).await?;
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
    identity_tx: &watch::Sender<Option<Identity>>,
) {
    let (sink, mut stream) = socket.split();
    let (tx, mut rx) = mpsc::channel(shared.cfg.max_pending);
    shared.lock().tx = Some(tx);
    identity_tx.send_replace(Some(identity));
    let read = async {
        while let Ok(frame) = read_frame(&mut stream, &shared.cfg, &shared.name).await {
            if let Frame::Reply { id, body } = frame {
                let reply_tx = shared.lock().pending.remove(&id);
                // The send fails if the caller has dropped its future.
                let _ = reply_tx.map(|tx| tx.send(body));
            }
        }
    };
    tokio::select! {
        () = read => {}
        _ = write_loop(sink, &mut rx, &shared.cfg, &shared.name) => {}
    }
    let mut state = shared.lock();
    state.tx = None;
    state.pending.clear();
}
