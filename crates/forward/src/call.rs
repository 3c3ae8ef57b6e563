//! One call to one endpoint, up to the head of its answer.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming, header::HeaderValue};
use outbound::{Connection, Handover, Pool};
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

/// Name of the header that says how long an idle connection is kept.
const KEEP_ALIVE: &str = "keep-alive";

/// Why a call has no whole answer.
#[derive(Clone, Debug, Error, PartialEq)]
pub(crate) enum CallError {
    /// No byte of it was handed to a socket, and none will be.
    #[error("not sent: {0}")]
    Unsent(String),
    /// No connection was made, so no byte of it was handed to a socket.
    #[error("not sent, no connection was made: {0}")]
    Unreached(String),
    /// It was sent, and its answer was lost.
    #[error("sent, and the answer was lost: {0}")]
    Lost(String),
    /// It was sent, and no answer came in time.
    #[error("sent, and no answer came in time")]
    TimedOut,
    /// The answer is larger than the bound.
    #[error("the answer is larger than the bound")]
    TooLarge,
}

impl CallError {
    /// Whether the call may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        !matches!(self, Self::Unsent(_) | Self::Unreached(_))
    }
}

/// An answer whose body is yet to be read.
#[derive(Debug)]
pub(crate) struct Exchange {
    connection: Connection,
    body: Incoming,
    address: SocketAddr,
    /// Its status.
    pub(crate) status: StatusCode,
    /// Its headers.
    pub(crate) headers: HeaderMap,
}

/// Sends `req` to `address` and waits deadline `deadline` for the head of the answer. An idle connection
/// that was closed before the first byte is replaced.
pub(crate) async fn send(
    pool: &Pool,
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<Exchange, CallError> {
    if let Some(connection) = pool.take(address) {
        match send_on(connection, address, req.clone(), deadline).await {
            Err(CallError::Unsent(_)) if Instant::now() < deadline => {}
            result => return result,
        }
    }
    let connecting = timeout_at(deadline, pool.connect(address)).await;
    let connection = match connecting {
        Err(_) => return Err(CallError::Unsent("no time left to connect".to_owned())),
        Ok(Err(why)) => {
            pool.suspect(address);
            return Err(CallError::Unreached(why));
        }
        Ok(Ok(connection)) => connection,
    };
    send_on(connection, address, req, deadline).await
}

async fn send_on(
    mut connection: Connection,
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<Exchange, CallError> {
    let handover = Handover::until(deadline);
    let sent = timeout_at(deadline, connection.send(req, &handover)).await;
    let response: Response<Incoming> = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(e)) if handover.seal() => return Err(CallError::Unsent(e.to_string())),
        Ok(Err(e)) => return Err(CallError::Lost(e.to_string())),
        Err(_) if handover.seal() => {
            return Err(CallError::Unsent("no time left to send".to_owned()));
        }
        Err(_) => return Err(CallError::TimedOut),
    };
    let (head, body) = response.into_parts();
    connection.kept = keep_alive_timeout(&head.headers);
    Ok(Exchange {
        connection,
        body,
        address,
        status: head.status,
        headers: head.headers,
    })
}

/// How long the other end keeps an idle connection, where it says so.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE).map(HeaderValue::to_str)?.ok()?;
    let mut items = text.split(',');
    let seconds = items.find_map(|item| item.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

impl Exchange {
    /// The next part of the body, `None` at its end; waits deadline `deadline`.
    pub(crate) async fn next_chunk(
        &mut self,
        deadline: Instant,
    ) -> Result<Option<Bytes>, CallError> {
        loop {
            let frame = self.connection.wait(self.body.frame());
            match timeout_at(deadline, frame).await {
                Err(_) => return Err(CallError::TimedOut),
                Ok(None) => return Ok(None),
                Ok(Some(Err(e))) => return Err(CallError::Lost(e.to_string())),
                // Trailers carry nothing that is passed on.
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// The whole body, of at most `max` bytes; the connection goes back to `pool`.
    pub(crate) async fn read_body(
        mut self,
        pool: &Pool,
        max: usize,
        deadline: Instant,
    ) -> Result<Bytes, CallError> {
        let mut whole = BytesMut::new();
        while let Some(part) = self.next_chunk(deadline).await? {
            if whole.len() + part.len() > max {
                return Err(CallError::TooLarge);
            }
            whole.extend_from_slice(&part);
        }
        self.release(pool);
        Ok(whole.freeze())
    }

    /// Gives the connection back after the body's end.
    pub(crate) fn release(self, pool: &Pool) {
        pool.put(self.address, self.connection);
    }
}
