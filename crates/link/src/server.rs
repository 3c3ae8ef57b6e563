//! Server end of a link: accepts connections and handles calls.

use std::{
    net::SocketAddr,
    sync::{Arc, Weak},
};

use futures_util::StreamExt;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    task::JoinSet,
    time::{Duration, sleep, timeout},
};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, tungstenite::protocol::Role as SocketRole,
};

use crate::{
    Channel, Identity, LinkConfig, LinkError,
    connection::{read_frame, unverified_config, websocket_config, write_loop},
    exact_reads::ExactReads,
    frame::Frame,
    handshake::{End, perform_handshake},
    unverified::{Lease, Unverified},
};

/// Maximum number of connections of one process that have completed their handshake.
const MAX_VERIFIED: usize = 4_096;
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
    /// Gone once the connection is closed.
    pub connection: Weak<()>,
}

/// Accepts connections and replies to each call with the result of `handler`. Runs until dropped,
/// which also closes the connections.
pub async fn serve<F, Fut>(listener: TcpListener, cfg: LinkConfig, handler: F)
where
    F: Fn(Incoming) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Vec<u8>> + Send + 'static,
{
    let (handler, cfg) = (Arc::new(handler), Arc::new(cfg));
    let verified = Arc::new(Semaphore::new(MAX_VERIFIED));
    let unverified = Unverified::new(cfg.max_unverified);
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, address)) => {
                let lease = unverified.admit().await;
                let (cfg, handler) = (Arc::clone(&cfg), Arc::clone(&handler));
                let verified = Arc::clone(&verified);
                connections.spawn(async move {
                    // In all cases the client notices the lost connection and reconnects.
                    let Ok((socket, from)) = open(stream, address, &cfg, lease).await else {
                        return;
                    };
                    let Ok(_slot) = verified.try_acquire() else {
                        return;
                    };
                    let _ = serve_connection(socket, &from, &cfg, &*handler).await;
                });
            }
            // Most likely out of file descriptors: wait for connections to close.
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Completes the handshake with a client, unless `lease` is revoked before its end.
async fn open(
    stream: TcpStream,
    address: SocketAddr,
    cfg: &LinkConfig,
    mut lease: Lease,
) -> Result<(WebSocketStream<TcpStream>, Identity), LinkError> {
    let failed = |reason: &str| LinkError::Connect {
        address,
        reason: reason.to_owned(),
    };
    stream
        .set_nodelay(true)
        .map_err(|e| failed(&e.to_string()))?;
    let handshake = async {
        let limits = unverified_config(cfg);
        let accepted = accept_async_with_config(stream, Some(limits)).await;
        // Clients send nothing between their request to upgrade and its answer.
        let stream = ExactReads::new(accepted.map_err(|e| failed(&e.to_string()))?.into_inner());
        let role = SocketRole::Server;
        let mut socket = WebSocketStream::from_raw_socket(stream, role, Some(limits)).await;
        let from = perform_handshake(&mut socket, cfg, End::Server).await?;
        let stream = socket.into_inner().into_inner();
        let limits = websocket_config(cfg);
        let socket = WebSocketStream::from_raw_socket(stream, role, Some(limits)).await;
        Ok::<_, LinkError>((socket, from))
    };
    let opened = tokio::select! {
        opened = timeout(cfg.connect_timeout, handshake) => opened,
        () = lease.revoked() => return Err(failed("too many unfinished handshakes")),
    };
    opened.map_err(|_| failed("handshake timed out"))?
}

async fn serve_connection<F, Fut>(
    socket: WebSocketStream<TcpStream>,
    from: &Identity,
    cfg: &LinkConfig,
    handler: &F,
) -> Result<(), LinkError>
where
    F: Fn(Incoming) -> Fut,
    Fut: Future<Output = Vec<u8>> + Send + 'static,
{
    let (sink, mut stream) = socket.split();
    let (tx, mut rx) = mpsc::channel(cfg.max_pending);
    let calls = Arc::new(Semaphore::new(cfg.max_pending));
    let open = Arc::new(());
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
                connection: Arc::downgrade(&open),
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
