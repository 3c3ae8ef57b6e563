//! Sends one call to one endpoint and reads its response.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING},
};
use ingress::BodyBudgets;
use outbound::{Connection, InstanceCheck, Pool, SendState};
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

use crate::dialect::{Dialect, ResponseClass};

/// Header that says how long the peer keeps an idle connection open.
const KEEP_ALIVE: &str = "keep-alive";
/// Number of refused requests after which a connection is closed.
const MAX_REFUSED: usize = 16;

/// Why a call has no complete response.
#[derive(Clone, Debug, Error, PartialEq)]
pub(crate) enum CallError {
    /// No byte was written to a socket, and none will be.
    #[error("not sent: {0}")]
    Unsent(String),
    /// No connection could be opened, so no byte was written to a socket.
    #[error("not sent, no connection was made: {0}")]
    Unreached(String),
    /// The request was sent, and the response was lost.
    #[error("sent, and the answer was lost: {0}")]
    Lost(String),
    /// The request was sent, and the response did not arrive in time.
    #[error("sent, and no answer came in time")]
    TimedOut,
    /// The response exceeds the size limit.
    #[error("the answer is larger than the bound")]
    TooLarge,
    /// This gate's memory for bodies is used up.
    #[error("no memory is left for the answer")]
    NoMemory,
}

impl CallError {
    /// Returns true if the connection ended, or none could be opened.
    pub(crate) fn is_connection_end(&self) -> bool {
        matches!(self, Self::Unreached(_) | Self::Lost(_))
    }

    /// Returns true if the endpoint may have run the call.
    pub(crate) fn may_have_run(&self) -> bool {
        !matches!(self, Self::Unsent(_) | Self::Unreached(_))
    }
}

/// Whether a connection has been given a call. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Handover(Arc<AtomicBool>);

impl Handover {
    /// Returns true if bytes of the call may have been written to a socket.
    pub(crate) fn has_started(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, has_started: bool) {
        self.0.store(has_started, Ordering::Relaxed);
    }
}

/// A response whose body has not been read yet.
#[derive(Debug)]
pub(crate) struct Exchange {
    connection: Connection,
    body: Incoming,
    address: SocketAddr,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
}

/// Sends a release of results to `address` and waits until `deadline` for the response head. Responses
/// to releases name no call and cannot be told apart, so `pool` is one for releases only.
pub(crate) async fn send_release(
    pool: &Pool,
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<Exchange, CallError> {
    send_tracked(pool, address, "", req, deadline, &Handover::default()).await
}

/// Sends `req` with this id to `address` and waits until `deadline` for the response head. If a reused
/// idle connection closes before the first byte is written, the request is sent on a new connection. A
/// connection on which this id was refused is closed, since a copy of the refusal could not be told
/// from the response. `handover` tells whether a call that is dropped was still unsent.
pub(crate) async fn send_tracked(
    pool: &Pool,
    address: SocketAddr,
    id: &str,
    req: Request<Full<Bytes>>,
    deadline: Instant,
    handover: &Handover,
) -> Result<Exchange, CallError> {
    let idle = pool.checkout(address);
    if let Some(connection) = idle.filter(|c| !c.refused.iter().any(|refused| refused == id)) {
        handover.set(true);
        match send_on(connection, address, req.clone(), deadline, deadline).await {
            Err(CallError::Unsent(_)) if Instant::now() < deadline => handover.set(false),
            result => return result,
        }
    }
    let connection = connect(pool, address, deadline).await?;
    handover.set(true);
    send_on(connection, address, req, deadline, deadline).await
}

/// Starts to send a batched call to `address` before `start_by`, and waits until `deadline` for the
/// response head. Each call gets a connection of its own, since its response names no call: a late copy
/// of it could not be told from the response to the next one.
pub(crate) async fn send_batch(
    pool: &Pool,
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    start_by: Instant,
    deadline: Instant,
) -> Result<Exchange, CallError> {
    let mut connection = connect(pool, address, start_by).await?;
    connection.is_single_use = true;
    send_on(connection, address, req, start_by, deadline).await
}

/// Opens a connection before `start_by`.
async fn connect(
    pool: &Pool,
    address: SocketAddr,
    start_by: Instant,
) -> Result<Connection, CallError> {
    let connecting = timeout_at(start_by, pool.connect(address)).await;
    match connecting {
        Err(_) => Err(CallError::Unsent("no time left to connect".to_owned())),
        Ok(Err(why)) => {
            pool.close_idle(address);
            Err(CallError::Unreached(why))
        }
        Ok(Ok(connection)) => Ok(connection),
    }
}

async fn send_on(
    mut connection: Connection,
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    start_by: Instant,
    deadline: Instant,
) -> Result<Exchange, CallError> {
    let send_state = SendState::with_deadline(start_by);
    let sent = {
        let sending = connection.send(req, &send_state);
        tokio::pin!(sending);
        match timeout_at(start_by, &mut sending).await {
            Err(_) if !send_state.seal() => timeout_at(deadline, sending).await,
            sent => sent,
        }
    };
    let response: Response<Incoming> = match sent {
        Ok(Ok(response)) if outbound::is_final_status(response.status()) => response,
        Ok(Ok(response)) => {
            let status = response.status().as_u16();
            return Err(CallError::Lost(format!(
                "{status} is no status of a response"
            )));
        }
        Ok(Err(e)) if send_state.seal() => return Err(CallError::Unsent(e.to_string())),
        Ok(Err(e)) => return Err(CallError::Lost(e.to_string())),
        Err(_) if send_state.seal() => {
            return Err(CallError::Unsent("no time left to send".to_owned()));
        }
        Err(_) => return Err(CallError::TimedOut),
    };
    let (head, body) = response.into_parts();
    connection.keep_alive = keep_alive_timeout(&head.headers);
    Ok(Exchange {
        connection,
        body,
        address,
        status: head.status,
        headers: head.headers,
    })
}

/// How long the peer keeps an idle connection open, if it says so.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE).map(HeaderValue::to_str)?.ok()?;
    let mut items = text.split(',');
    let seconds = items.find_map(|item| item.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

impl Exchange {
    /// Classifies the response to the request `id`, which is empty for batched calls. Only the first
    /// response on a connection certainly belongs to its request; a later one without the request's id
    /// may be a copy of an earlier one.
    pub(crate) fn classify(&self, dialect: &Dialect, id: &str) -> ResponseClass {
        match self.connection.is_reused() && !(dialect.echoes_id)(id, &self.headers) {
            true => ResponseClass::Unrelated,
            false => (dialect.classify)(id, self.status, &self.headers),
        }
    }

    /// Lets `check` confirm the end of the body if the end of the connection alone doesn't.
    pub(crate) fn check_end(&mut self, check: impl FnOnce() -> InstanceCheck) {
        if self.connection.is_end_ambiguous() {
            self.connection.check_end(check());
        }
    }

    /// Ends the exchange after the request `id` was refused, and returns the connection to `pool` after
    /// the body, up to `max` bytes.
    pub(crate) async fn end_refused(
        mut self,
        pool: &Pool,
        id: &str,
        max: usize,
        deadline: Instant,
    ) {
        let refused = &mut self.connection.refused;
        if refused.len() >= MAX_REFUSED {
            return;
        }
        refused.push(id.to_owned());
        // The body is read only to keep the connection usable.
        let _ = self.discard_body(pool, max, deadline).await;
    }

    /// Returns the next part of the body, or `None` at its end. Waits until `deadline`.
    pub(crate) async fn next_chunk(
        &mut self,
        deadline: Instant,
    ) -> Result<Option<Bytes>, CallError> {
        loop {
            let frame = self.connection.drive(self.body.frame());
            match timeout_at(deadline, frame).await {
                Err(_) => return Err(CallError::TimedOut),
                Ok(None) => {
                    let confirmed = timeout_at(deadline, self.connection.confirm_end()).await;
                    let confirmed = confirmed.map_err(|_| CallError::TimedOut)?;
                    return match confirmed {
                        Ok(()) => Ok(None),
                        Err(why) => {
                            Err(CallError::Lost(format!("its end was not confirmed: {why}")))
                        }
                    };
                }
                Ok(Some(Err(e))) => return Err(CallError::Lost(e.to_string())),
                // Trailers are not forwarded.
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Reads the whole body, up to `max` bytes and within `memory`, and returns the connection to
    /// `pool`.
    pub(crate) async fn read_body(
        mut self,
        pool: &Pool,
        memory: &BodyBudgets,
        max: usize,
        deadline: Instant,
    ) -> Result<Bytes, CallError> {
        let mut whole = BytesMut::new();
        let mut share = memory.buffer();
        while let Some(part) = self.next_chunk(deadline).await? {
            let size = whole.len() + part.len();
            match size {
                _ if size > max => return Err(CallError::TooLarge),
                _ if !share.try_grow_response(size) => return Err(CallError::NoMemory),
                _ => whole.extend_from_slice(&part),
            }
        }
        self.release(pool);
        Ok(share.attach(whole.freeze()))
    }

    /// Reads the rest of a body that isn't used, up to `max` bytes, and returns the connection to
    /// `pool`.
    pub(crate) async fn discard_body(
        mut self,
        pool: &Pool,
        max: usize,
        deadline: Instant,
    ) -> Result<(), CallError> {
        let mut size = 0;
        while let Some(part) = self.next_chunk(deadline).await? {
            size += part.len();
            if size > max {
                return Err(CallError::TooLarge);
            }
        }
        self.release(pool);
        Ok(())
    }

    /// Returns true if the end of the body is the end of the connection.
    pub(crate) fn ends_with_connection(&self) -> bool {
        !self.headers.contains_key(CONTENT_LENGTH) && !self.headers.contains_key(TRANSFER_ENCODING)
    }

    /// Returns the connection to `pool` after the end of the body.
    pub(crate) fn release(self, pool: &Pool) {
        pool.checkin(self.address, self.connection);
    }
}
