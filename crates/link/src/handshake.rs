//! Handshake in which both ends identify themselves and, if a key is set, prove it by an HMAC
//! challenge.

use derives::record;
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_tungstenite::{WebSocketStream, tungstenite::Message};

use crate::{Identity, LinkConfig, LinkError, decode, encode};

const NONCE_BYTES: usize = 32;

#[record]
struct Hello {
    identity: Identity,
    #[serde(with = "serde_bytes")]
    nonce: Vec<u8>,
    is_keyed: bool,
}

#[record]
struct Proof {
    #[serde(with = "serde_bytes")]
    mac: Vec<u8>,
}

/// End of the connection; part of the HMAC, so that a proof can't be reflected to its sender.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum End {
    Client,
    Server,
}

impl End {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Client => b"client",
            Self::Server => b"server",
        }
    }

    fn other(self) -> Self {
        match self {
            Self::Client => Self::Server,
            Self::Server => Self::Client,
        }
    }
}

/// Exchanges hellos and proofs; returns the identity of the other end.
pub(crate) async fn perform_handshake<S: AsyncRead + AsyncWrite + Unpin>(
    socket: &mut WebSocketStream<S>,
    cfg: &LinkConfig,
    end: End,
) -> Result<Identity, LinkError> {
    let ours = Hello {
        identity: cfg.identity.clone(),
        nonce: rand::random::<[u8; NONCE_BYTES]>().to_vec(),
        is_keyed: cfg.key.is_some(),
    };
    send(socket, encode(&ours)).await?;
    let theirs: Hello = decode(&receive(socket).await?)?;
    let peer = theirs.identity.vm.clone();
    match &cfg.key {
        None if theirs.is_keyed => Err(LinkError::KeyMismatch { peer }),
        None => Ok(theirs.identity),
        Some(key) => {
            let mac = proof_mac(key, end, &ours, &theirs).finalize().into_bytes();
            let proof = Proof { mac: mac.to_vec() };
            send(socket, encode(&proof)).await?;
            let proof: Proof = decode(&receive(socket).await?)?;
            proof_mac(key, end.other(), &theirs, &ours)
                .verify_slice(&proof.mac)
                .map_err(|_| LinkError::KeyMismatch { peer })?;
            Ok(theirs.identity)
        }
    }
}

fn proof_mac(key: &[u8], end: End, own: &Hello, other: &Hello) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any size");
    mac.update(end.label());
    mac.update(&encode(own));
    mac.update(&encode(other));
    mac
}

async fn send<S: AsyncRead + AsyncWrite + Unpin>(
    socket: &mut WebSocketStream<S>,
    bytes: Vec<u8>,
) -> Result<(), LinkError> {
    let sent = socket.send(Message::Binary(bytes.into())).await;
    sent.map_err(|e| failed("send handshake to", &e.to_string()))
}

async fn receive<S: AsyncRead + AsyncWrite + Unpin>(
    socket: &mut WebSocketStream<S>,
) -> Result<Vec<u8>, LinkError> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => Ok(bytes.to_vec()),
        Some(Ok(_)) => Err(failed("read handshake from", "not a binary message")),
        Some(Err(e)) => Err(failed("read handshake from", &e.to_string())),
        None => Err(failed("read handshake from", "connection closed")),
    }
}

fn failed(step: &'static str, reason: &str) -> LinkError {
    LinkError::Socket {
        step,
        peer: "the other end".to_owned(),
        reason: reason.to_owned(),
    }
}
