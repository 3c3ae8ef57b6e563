//! Server end of a link: accepts connections and handles calls.

use std::{net::SocketAddr, sync::Arc};

use futures_util::StreamExt;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    task::JoinSet,
    time::{Duration, sleep, timeout},
};
use tokio_tungstenite::accept_async_with_config;

use crate::{
    Channel, Identity, LinkConfig, LinkError,
    connection::{read_frame, websocket_config, write_loop},
    frame::Frame,
    handshake::{End, perform_handshake},
};

/// Maximum number of connections of one process.
const MAX_CONNECTIONS: usize = 4_096;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A call from a peer.
#[derive(Debug)]
pub struct Incoming {
    /// Identity of the caller.
    pub from: Identity,
    /// The component that the call is for.
    pub channel: Channel,
    /// The encoded request.
    pub body: Vec<u8>,
}

/// Accepts connections and replies to each call with the result of `handler`. Runs until dropped,
/// which also closes the connections.
pub async fn serve<F, Fut>(listener: TcpListener, cfg: LinkConfig, handler: F)
where
    F: Fn(Incoming) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Vec<u8>> + Send + 'static,
{
    let (handler, cfg) = (Arc::new(handler), Arc::new(cfg));
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, address)) => {
                let (cfg, handler) = (Arc::clone(&cfg), Arc::clone(&handler));
                connections.spawn(async move {
                    let _slot = slot;
                    // The client notices the lost connection and reconnects.
                    let _ = serve_connection(stream, address, &cfg, &*handler).await;
                });
            }
            // Most likely out of file descriptors: wait for connections to close.
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection<F, Fut>(
    stream: TcpStream,
    address: SocketAddr,
    cfg: &LinkConfig,
    handler: &F,
) -> Result<(), LinkError>
where
    F: Fn(Incoming) -> Fut,
    Fut: Future<Output = Vec<u8>> + Send + 'static,
{
    let failed = |reason: String| LinkError::Connect { address, reason };
    stream
        .set_nodelay(true)
        .map_err(|e| failed(e.to_string()))?;
    let open = async {
        let accepted = accept_async_with_config(stream, Some(websocket_config(cfg))).await;
        let mut socket = accepted.map_err(|e| failed(e.to_string()))?;
        let from = perform_handshake(&mut socket, cfg, End::Server).await?;
        Ok::<_, LinkError>((socket, from))
    };
    let opened = timeout(cfg.connect_timeout, open).await;
    let (socket, from) = opened.map_err(|_| failed("handshake timed out".to_owned()))??;
    let (sink, mut stream) = socket.split();
    let (tx, mut rx) = mpsc::channel(cfg.max_pending);
    let calls = Arc::new(Semaphore::new(cfg.max_pending));
    let read = async {
        let mut running = JoinSet::new();
        loop {
            let frame = read_frame(&mut stream, cfg, &from.vm).await?;
            while running.try_join_next().is_some() {}
            let Frame::Call { id, channel, body } = frame else {
                continue;
            };
            let Ok(permit) = Arc::clone(&calls).acquire_owned().await else {
                return Ok(());
            };
            let reply = handler(Incoming {
                from: from.clone(),
                channel,
                body,
            });
            let tx = tx.clone();
            running.spawn(async move {
                let _permit = permit;
                let body = reply.await;
                // The send fails if the connection is closed, which the caller notices too.
                let _ = tx.send(Frame::Reply { id, body }).await;
            });
        }
    };
    tokio::select! {
        read = read => read,
        written = write_loop(sink, &mut rx, cfg, &from.vm) => written,
    }
}
