//! Listener for callers: one task per connection, shut down gracefully.

use std::{convert::Infallible, pin::Pin, time::Duration};

use hyper::{
    Request, Response as HttpResponse,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    forwarder::Forwarder,
    head_timer::{AnsweringGuard, HeadTimer, TrackedBody, TrackedStream},
    response::ResponseBody,
};

const MAX_CONNECTIONS: usize = 3_000;
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
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) if connections.len() < MAX_CONNECTIONS => {
                connections.spawn(connection(stream, forwarder.clone(), phase.clone()));
            }
            Ok(_) => {}
            // Probably out of file descriptors; wait until some are closed.
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn connection(stream: TcpStream, forwarder: Forwarder, mut phase: watch::Receiver<Phase>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let callers = forwarder.rules.borrow().declaration.callers.clone();
    let head_timer = HeadTimer::new();
    let tracked = head_timer.clone();
    let (idle_timeout, head_timeout) = (callers.idle_timeout, callers.head_timeout);
    let max_buffer = (callers.head_bytes as usize * 2).max(MIN_BUFFER);
    let service = service_fn(move |req| {
        let is_outdated = forwarder.rules.borrow().declaration.callers != callers;
        handle(forwarder.clone(), req, tracked.answering(), is_outdated)
    });
    let stream = TrackedStream {
        stream,
        head_timer: head_timer.clone(),
    };
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Counted from the end of the last response, so it limits idle connections as well.
        .header_read_timeout(idle_timeout.max(head_timeout))
        .max_buf_size(max_buffer)
        .serve_connection(TokioIo::new(stream), service);
    let end = tokio::select! {
        // Connection errors concern only the caller.
        _ = &mut connection => ConnectionEnd::Closed,
        () = head_timer.timed_out(head_timeout) => ConnectionEnd::SlowHead,
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => ConnectionEnd::Closing,
    };
    match end {
        ConnectionEnd::Closed => {}
        ConnectionEnd::SlowHead => refuse_slow_head(connection.into_parts().io).await,
        ConnectionEnd::Closing => {
            Pin::new(&mut connection).graceful_shutdown();
            // A response in progress is completed first.
            let _ = connection.await;
        }
    }
}

/// Why a connection ends.
enum ConnectionEnd {
    Closed,
    SlowHead,
    Closing,
}

/// Handles one request. Its response is the last one on a connection whose limits are no longer
/// those declared.
async fn handle(
    forwarder: Forwarder,
    req: Request<Incoming>,
    answering: AnsweringGuard,
    is_outdated: bool,
) -> Result<HttpResponse<TrackedBody<ResponseBody>>, Infallible> {
    let mut answered = forwarder.handle(req).await?;
    if is_outdated {
        let close = HeaderValue::from_static("close");
        answered.headers_mut().insert(CONNECTION, close);
    }
    Ok(answered.map(|body| TrackedBody {
        body,
        _answering: answering,
    }))
}

async fn refuse_slow_head(io: TokioIo<TrackedStream<TcpStream>>) {
    let mut stream = io.into_inner().stream;
    // The caller may have disconnected.
    let _ = timeout(SLOW_HEAD_TIMEOUT, stream.write_all(SLOW_HEAD)).await;
}
