//! Reading and writing frames on one open connection.

use futures_util::{Sink, SinkExt, Stream, StreamExt};
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval, timeout},
};
use tokio_tungstenite::tungstenite::{self, Message, protocol::WebSocketConfig};

use crate::{LinkConfig, LinkError, decode, encode, frame::Frame};

/// Maximum number of frames written before a flush.
const MAX_BATCH: usize = 64;
/// Maximum size of a frame before the handshake is complete; hellos and proofs take under 1 KiB.
const MAX_UNVERIFIED_FRAME_BYTES: usize = 64 << 10;
/// Read buffer before the handshake is complete. The library allocates it at once, 128 KiB by
/// default, which a crowd of unverified connections would hold.
const UNVERIFIED_BUFFER_BYTES: usize = 4 << 10;

/// Returns the configuration of the WebSocket library for `cfg`.
pub(crate) fn websocket_config(cfg: &LinkConfig) -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(cfg.max_frame_bytes))
        .max_frame_size(Some(cfg.max_frame_bytes))
}

/// Returns the configuration for a connection before its handshake is complete.
pub(crate) fn unverified_config(cfg: &LinkConfig) -> WebSocketConfig {
    let max_bytes = cfg.max_frame_bytes.min(MAX_UNVERIFIED_FRAME_BYTES);
    WebSocketConfig::default()
        .read_buffer_size(UNVERIFIED_BUFFER_BYTES)
        .max_message_size(Some(max_bytes))
        .max_frame_size(Some(max_bytes))
}

/// Writes the frames from `rx`, and heartbeats. Returns an error when the socket fails or blocks, and
/// `Ok` once every sender of `rx` is dropped.
pub(crate) async fn write_loop(
    mut sink: impl Sink<Message, Error = tungstenite::Error> + Unpin,
    rx: &mut mpsc::Receiver<Frame>,
    cfg: &LinkConfig,
    peer: &str,
) -> Result<(), LinkError> {
    let mut heartbeat = interval(cfg.heartbeat_interval);
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut batch = Vec::new();
    loop {
        tokio::select! {
            received = rx.recv_many(&mut batch, MAX_BATCH) => if received == 0 {
                // The other end needs no close frame: it also handles a lost connection.
                let _ = timeout(cfg.connect_timeout, sink.close()).await;
                return Ok(());
            },
            _ = heartbeat.tick() => batch.push(Frame::Heartbeat),
        }
        let write = async {
            for frame in batch.drain(..) {
                sink.feed(Message::Binary(encode(&frame).into())).await?;
            }
            sink.flush().await
        };
        match timeout(cfg.idle_timeout, write).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => return Err(socket_error("write to", peer, &e)),
            Err(_) => return Err(idle_error(cfg, peer)),
        }
    }
}

/// Reads the next call or reply. Heartbeats are skipped and only restart the idle timeout.
pub(crate) async fn read_frame(
    stream: &mut (impl Stream<Item = Result<Message, tungstenite::Error>> + Unpin),
    cfg: &LinkConfig,
    peer: &str,
) -> Result<Frame, LinkError> {
    loop {
        let next = timeout(cfg.idle_timeout, stream.next()).await;
        let message = match next {
            Err(_) => return Err(idle_error(cfg, peer)),
            Ok(None) => {
                return Err(LinkError::Lost {
                    peer: peer.to_owned(),
                });
            }
            Ok(Some(Err(e))) => return Err(socket_error("read from", peer, &e)),
            Ok(Some(Ok(message))) => message,
        };
        match message {
            Message::Binary(bytes) => match decode(&bytes)? {
                Frame::Heartbeat => {}
                frame => return Ok(frame),
            },
            Message::Close(_) => {
                return Err(LinkError::Lost {
                    peer: peer.to_owned(),
                });
            }
            _ => {}
        }
    }
}

fn idle_error(cfg: &LinkConfig, peer: &str) -> LinkError {
    LinkError::Silent {
        peer: peer.to_owned(),
        silence: cfg.idle_timeout,
    }
}

fn socket_error(step: &'static str, peer: &str, e: &tungstenite::Error) -> LinkError {
    LinkError::Socket {
        step,
        peer: peer.to_owned(),
        reason: e.to_string(),
    }
}
