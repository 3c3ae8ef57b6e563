//! Sends one call to one endpoint and reads its response.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue},
};
use outbound::{
    BodyMemory, Connection, MemoryReservation, Notice, Pool, SendState, parse_retry_after,
};
use tokio::time::{Instant, timeout, timeout_at};
use uuid::Uuid;

use crate::{error::CallError, sse::EventReader};

/// Call id, which every response echoes.
const CALL: HeaderName = HeaderName::from_static("jujube-call");
const DEADLINE: HeaderName = HeaderName::from_static("jujube-deadline-ms");
const PRIORITY: HeaderName = HeaderName::from_static("jujube-priority");
const KEY: HeaderName = HeaderName::from_static("idempotency-key");
const OUTCOME: HeaderName = HeaderName::from_static("jujube-outcome");
/// `1`: the endpoint is leaving and accepts no new calls.
const LEAVING: HeaderName = HeaderName::from_static("jujube-leaving");
/// Requests per second that the endpoint takes from all gates together.
const LIMIT: HeaderName = HeaderName::from_static("jujube-limit");

/// Most bytes of an endpoint's error response that are read.
const MAX_ERROR_BYTES: usize = 64 << 10;
/// Most characters of an endpoint's error response that are passed on.
const MAX_DETAIL_CHARS: usize = 300;

/// Longest wait for the end of a body whose content is complete.
const MAX_END_WAIT: Duration = Duration::from_millis(50);

/// Longest wait for the body of an endpoint's error response.
const MAX_ERROR_WAIT: Duration = Duration::from_millis(500);

/// Limits on waiting for a response and on its size.
#[derive(Clone, Debug)]
pub(crate) struct ResponseLimits {
    /// Longest wait for the head of the response.
    pub(crate) first_byte: Duration,
    /// Longest wait for the next part of the response before reading is interrupted.
    pub(crate) gap: Duration,
    /// End of the response: the request's deadline, or somewhat later if the call may not be
    /// repeated.
    pub(crate) deadline: Instant,
    /// Largest response in bytes.
    pub(crate) max_bytes: usize,
    /// Memory for all bodies that the gate holds.
    pub(crate) memory: BodyMemory,
}

/// Metadata and limits of a call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Unique to each call; retries get a new one.
    pub(crate) id: Uuid,
    pub(crate) address: SocketAddr,
    /// Deadline of the request.
    pub(crate) deadline: Instant,
    /// Priority of the workspace.
    pub(crate) priority: u8,
    /// Idempotency key of a call that may not be repeated.
    pub(crate) key: Option<Uuid>,
    /// Tracks whether any byte of the call was handed to a socket.
    pub(crate) send_state: SendState,
    pub(crate) limits: ResponseLimits,
    /// What the response headers say about the endpoint.
    pub(crate) notice: NoticeSlot,
}

/// What the response headers say about the endpoint, set once the head has arrived. Clones share
/// it.
#[derive(Clone, Debug, Default)]
pub(crate) struct NoticeSlot(Arc<OnceLock<Notice>>);

impl NoticeSlot {
    /// Returns the notice, or the default one if there was no response.
    pub(crate) fn get(&self) -> Notice {
        self.0.get().copied().unwrap_or_default()
    }

    fn set(&self, status: StatusCode, headers: &HeaderMap) {
        // A call has only one response.
        let _ = self.0.set(Notice::parse(status, headers, &LEAVING, &LIMIT));
    }
}

impl Call {
    /// Builds the HTTP request for this call.
    pub(crate) fn request(&self, method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = method;
        *req.uri_mut() = path.parse().unwrap_or_default();
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let headers = req.headers_mut();
        headers.insert(HOST, header_value(&self.address.to_string()));
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(CALL, header_value(&self.id.to_string()));
        headers.insert(DEADLINE, HeaderValue::from(remaining.as_millis() as u64));
        headers.insert(PRIORITY, HeaderValue::from(u16::from(self.priority)));
        if let Some(key) = self.key {
            headers.insert(KEY, header_value(&key.to_string()));
        }
        req
    }
}

/// Only for numbers, ids and addresses, which are plain ASCII.
fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// A call whose response head has arrived and whose body is still to be read. What was read of the
/// body is kept, so that reading can go on after an error.
#[derive(Debug)]
pub(crate) struct Exchange {
    connection: Connection,
    body: Incoming,
    address: SocketAddr,
    /// When the first part of the response arrived.
    pub(crate) first_part_at: Instant,
    limits: ResponseLimits,
    peeked: Option<Bytes>,
    is_ended: bool,
    collected: Collected,
    /// The part of a stream's events that is not parsed yet.
    pub(crate) events: EventReader,
}

/// The part of a body that was collected so far.
#[derive(Debug)]
struct Collected {
    // Joined at the end, so that an oversized body is never copied.
    parts: Vec<Bytes>,
    size: usize,
    memory: MemoryReservation,
}

/// Sends `req` for `call` over an idle connection, or else a new one, and waits for the head of a
/// successful response. Replaces an idle connection that was closed before the first byte was sent.
pub(crate) async fn send(
    pool: &Pool,
    call: &Call,
    req: Request<Full<Bytes>>,
) -> Result<Exchange, CallError> {
    if let Some(connection) = pool.checkout(call.address) {
        match send_on(connection, pool, call, req.clone()).await {
            Err(CallError::ConnectionLost(_)) if !call.send_state.has_sent() => {}
            result => return result,
        }
    }
    send_on_new(pool, call, req).await
}

/// Like [`send`], but always over a new connection.
pub(crate) async fn send_on_new(
    pool: &Pool,
    call: &Call,
    req: Request<Full<Bytes>>,
) -> Result<Exchange, CallError> {
    let connection = pool.connect(call.address).await;
    let connection = connection.map_err(CallError::Connect)?;
    send_on(connection, pool, call, req).await
}

/// Like [`send`], over `connection`.
pub(crate) async fn send_on(
    mut connection: Connection,
    pool: &Pool,
    call: &Call,
    req: Request<Full<Bytes>>,
) -> Result<Exchange, CallError> {
    let limits = call.limits.clone();
    let until = limits.deadline.min(Instant::now() + limits.first_byte);
    let sent = timeout_at(until, connection.send(req, &call.send_state)).await;
    let answer = match sent {
        Err(_) if Instant::now() >= limits.deadline => return Err(CallError::Deadline),
        Err(_) => {
            pool.close_idle(call.address);
            return Err(CallError::Stalled(limits.first_byte));
        }
        Ok(Err(e)) => return Err(CallError::ConnectionLost(e.to_string())),
        Ok(Ok(answer)) if outbound::is_final_status(answer.status()) => answer,
        Ok(Ok(answer)) => {
            let status = answer.status().as_u16();
            return Err(CallError::Malformed(format!(
                "{status} is no status of a response"
            )));
        }
    };
    let (head, body) = answer.into_parts();
    let collected = Collected {
        parts: Vec::new(),
        size: 0,
        memory: limits.memory.reservation(),
    };
    let exchange = Exchange {
        connection,
        body,
        address: call.address,
        first_part_at: Instant::now(),
        limits,
        peeked: None,
        is_ended: false,
        collected,
        events: EventReader::default(),
    };
    exchange
        .check_head(call, head.status, &head.headers, pool)
        .await
}

impl Exchange {
    async fn check_head(
        mut self,
        call: &Call,
        status: StatusCode,
        headers: &HeaderMap,
        pool: &Pool,
    ) -> Result<Self, CallError> {
        let echoed = headers.get(CALL).map(HeaderValue::as_bytes);
        let is_ours = echoed.is_some_and(|echo| Uuid::try_parse_ascii(echo) == Ok(call.id));
        let is_refused = headers.get(OUTCOME).is_some_and(|o| o == "not_run");
        let retry_after = parse_retry_after(headers);
        // Without an id, it may be a copy of the answer to an earlier call on the connection.
        let is_unrelated = match echoed {
            Some(_) => !is_ours,
            None => self.connection.is_reused(),
        };
        if !is_unrelated {
            call.notice.set(status, headers);
        }
        match status {
            _ if is_unrelated => Err(CallError::CallIdMismatch),
            // Closes the connection: an answer to another call could not be told from a copy.
            StatusCode::SERVICE_UNAVAILABLE if is_refused && echoed.is_none() => {
                Err(CallError::NotRun { retry_after })
            }
            StatusCode::SERVICE_UNAVAILABLE if is_refused => {
                // The body is only read so that the connection can be reused.
                let _ = timeout(MAX_END_WAIT, self.collect(MAX_ERROR_BYTES)).await;
                self.finish(pool);
                Err(CallError::NotRun { retry_after })
            }
            StatusCode::OK if !is_ours => Err(CallError::CallIdMismatch),
            StatusCode::OK => Ok(self),
            _ => {
                // The status counts without a body that is late, too large or broken off.
                let text = timeout(MAX_ERROR_WAIT, self.collect(MAX_ERROR_BYTES)).await;
                let text = text.ok().and_then(Result::ok).unwrap_or_default();
                self.finish(pool);
                Err(CallError::Status {
                    status: status.as_u16(),
                    detail: truncate(&text),
                    retry_after,
                })
            }
        }
    }

    /// Waits for the first part of the body; engines send the head long before it. Fails if the body
    /// is empty, so that it ends no other call.
    pub(crate) async fn wait_first_part(&mut self) -> Result<(), CallError> {
        self.peeked = self.read(self.limits.first_byte).await?;
        self.first_part_at = Instant::now();
        match self.peeked {
            Some(_) => Ok(()),
            None => Err(CallError::Malformed("the response is empty".to_owned())),
        }
    }

    /// Waits until the body goes on or ends, however long it is silent.
    pub(crate) async fn wait_next_part(&mut self) -> Result<(), CallError> {
        if self.peeked.is_none() && !self.is_ended {
            self.peeked = self.read(self.limits.first_byte).await?;
        }
        Ok(())
    }

    /// Returns the next part of the body, `None` at its end. Fails with [`CallError::Stalled`] if it
    /// does not arrive within the limit; it may arrive later.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, CallError> {
        match self.peeked.take() {
            None if self.is_ended => Ok(None),
            None => self.read(self.limits.gap).await,
            part => Ok(part),
        }
    }

    async fn read(&mut self, limit: Duration) -> Result<Option<Bytes>, CallError> {
        loop {
            let until = self.limits.deadline.min(Instant::now() + limit);
            let frame = match timeout_at(until, self.connection.drive(self.body.frame())).await {
                Err(_) if until == self.limits.deadline => return Err(CallError::Deadline),
                Err(_) => return Err(CallError::Stalled(limit)),
                Ok(None) => {
                    self.is_ended = true;
                    return Ok(None);
                }
                Ok(Some(Err(e))) => return Err(CallError::ConnectionLost(e.to_string())),
                Ok(Some(Ok(frame))) => frame,
            };
            // Trailers are ignored.
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the whole body, at most `max` bytes. The gate's memory for bodies is reserved while it is
    /// read. After [`CallError::Stalled`], another call goes on with the rest of the body.
    pub(crate) async fn collect(&mut self, max: usize) -> Result<Bytes, CallError> {
        while let Some(part) = self.next().await? {
            let collected = &mut self.collected;
            collected.size += part.len();
            if collected.size > max {
                return Err(CallError::TooLarge(max));
            }
            if !collected.memory.try_grow(collected.size) {
                return Err(CallError::NoMemory);
            }
            collected.parts.push(part);
        }
        let parts = &mut self.collected.parts;
        Ok(match parts.len() {
            1 => parts.swap_remove(0),
            _ => parts.concat().into(),
        })
    }

    /// Waits shortly for the end of a body whose content is complete, so that the connection can be
    /// reused.
    pub(crate) async fn wait_end(&mut self) {
        // Without the end, the connection is closed.
        let _ = timeout(MAX_END_WAIT, self.next()).await;
    }

    /// Returns the connection to the pool if the body has ended, else closes it.
    pub(crate) fn finish(self, pool: &Pool) {
        if self.is_ended {
            pool.checkin(self.address, self.connection);
        }
    }

    /// Largest response in bytes.
    pub(crate) fn max_bytes(&self) -> usize {
        self.limits.max_bytes
    }
}

fn truncate(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes)
        .chars()
        .take(MAX_DETAIL_CHARS)
        .collect()
}
