//! Listener for callers: one task per connection, shut down gracefully.

use std::{convert::Infallible, net::SocketAddr, pin::Pin, time::Duration};

use host::http;
use hyper::{
    Request, Response as HttpResponse,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use ingress::{Lease, LimitedStream, Listener, Reason, RequestGuard, SharedStream, Timeouts};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    forwarder::Forwarder,
    response::{ResponseBody, TrackedBody},
};

/// Shortest header field with its line end, from which the number of fields of a head is bounded.
const MIN_FIELD_BYTES: usize = 4;
/// The HTTP library's table of header fields holds at most this many.
const MAX_FIELDS: usize = 24_000;
/// Number of fields that the HTTP library accepts by default.
const DEFAULT_FIELDS: usize = 100;
/// Longest time without a byte of an answer taken by its caller.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(10);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Smallest buffer that the HTTP library accepts.
const MIN_BUFFER: usize = 8 << 10;

/// Response to a head that is not completed in time.
const SLOW_HEAD: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
const SLOW_HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Connections are served.
    Serving,
    /// Idle connections are closed, and no new ones are accepted.
    Closing,
}

/// Accepts connections until the closing phase, then waits for open ones.
pub(crate) async fn serve(
    listener: TcpListener,
    forwarder: Forwarder,
    mut phase: watch::Receiver<Phase>,
) {
    let mut connections = JoinSet::new();
    let table = forwarder.connections.clone();
    let mut limit_tasks = JoinSet::new();
    limit_tasks.spawn(table.clone().expire());
    limit_tasks.spawn(http::log_closed("callers", table.clone()));
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => break,
        };
        match accepted {
            Ok((stream, peer)) => {
                if let Some(lease) = admit(&table, &forwarder, peer) {
                    connections.spawn(connection(stream, lease, forwarder.clone(), phase.clone()));
                }
            }
            // Probably out of file descriptors; wait until some are closed.
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

fn admit(table: &Listener, forwarder: &Forwarder, peer: SocketAddr) -> Option<Lease> {
    let timeouts = {
        let rules = forwarder.rules.borrow();
        let callers = &rules.declaration.callers;
        Timeouts {
            head: callers.head_timeout,
            idle: callers.idle_timeout.max(callers.head_timeout),
            unread: UNREAD_TIMEOUT,
        }
    };
    table.admit(peer, timeouts)
}

async fn connection(
    stream: TcpStream,
    lease: Lease,
    forwarder: Forwarder,
    mut phase: watch::Receiver<Phase>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let callers = forwarder.rules.borrow().declaration.callers.clone();
    let head_bytes = callers.head_bytes as usize;
    let max_buffer = (head_bytes * 2).max(MIN_BUFFER);
    let serving = lease.clone();
    let service = service_fn(move |req| {
        let is_outdated = forwarder.rules.borrow().declaration.callers != callers;
        handle(forwarder.clone(), req, serving.serving(), is_outdated)
    });
    let stream = SharedStream::new(stream);
    let abandoned = lease.abandoned(stream.clone());
    tokio::pin!(abandoned);
    let stream = LimitedStream::new(stream, lease.clone());
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The table of connections limits the time of heads and of idle connections.
        .header_read_timeout(None)
        .max_headers((head_bytes / MIN_FIELD_BYTES).clamp(DEFAULT_FIELDS, MAX_FIELDS))
        .max_buf_size(max_buffer)
        .serve_connection(TokioIo::new(stream), service);
    let is_closing = tokio::select! {
        // Connection errors concern only the caller.
        _ = &mut connection => false,
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => true,
        // Frees all that the request holds.
        () = &mut abandoned => return,
    };
    if is_closing {
        Pin::new(&mut connection).graceful_shutdown();
        // A response in progress is completed first.
        tokio::select! {
            _ = &mut connection => {}
            () = &mut abandoned => return,
        }
    }
    if lease.close_reason() == Some(Reason::SlowHead) {
        refuse_slow_head(connection.into_parts().io).await;
    }
}

/// Handles one request. Its response is the last one on a connection whose limits are no longer
/// those declared.
async fn handle(
    forwarder: Forwarder,
    req: Request<Incoming>,
    serving: RequestGuard,
    is_outdated: bool,
) -> Result<HttpResponse<TrackedBody<ResponseBody>>, Infallible> {
    let mut answered = forwarder.handle(req).await?;
    if is_outdated {
        let close = HeaderValue::from_static("close");
        answered.headers_mut().insert(CONNECTION, close);
    }
    Ok(answered.map(|body| TrackedBody {
        body,
        _serving: serving,
    }))
}

async fn refuse_slow_head(io: TokioIo<LimitedStream<SharedStream>>) {
    let mut stream = io.into_inner().into_inner();
    // The caller may have disconnected.
    let _ = timeout(SLOW_HEAD_TIMEOUT, stream.write_all(SLOW_HEAD)).await;
}
