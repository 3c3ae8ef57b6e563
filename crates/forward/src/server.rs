//! The callers' listener: one task a connection, ended without cutting an answer off.

use std::{convert::Infallible, pin::Pin, time::Duration};

use hyper::{
    Request, Response as HttpResponse, body::Incoming, server::conn::http1, service::service_fn,
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

/// Most connections of callers.
const MAX_CONNECTIONS: usize = 3_000;
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Least buffer that the library takes.
const MIN_BUFFER: usize = 8 << 10;

/// The answer to a head that does not come to its end.
const SLOW_HEAD: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
const REFUSAL_LIMIT: Duration = Duration::from_secs(1);

/// How far an ordered end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Serving.
    Serving,
    /// Idle connections are closed, no new ones are taken.
    Closing,
}

/// Takes connections until closing, then waits for those that are open.
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
            // Out of descriptors, most likely: give others time to close.
            Err(_) => sleep(ACCEPT_PAUSE).await,
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
    let service = service_fn(move |req| answer(forwarder.clone(), req, tracked.answering()));
    let stream = TrackedStream {
        stream,
        head_timer: head_timer.clone(),
    };
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // EndpointCounts from the end of the last answer, so that it bounds idle connections as well.
        .header_read_timeout(callers.idle.max(callers.head))
        .max_buf_size((callers.head_bytes as usize * 2).max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let end = tokio::select! {
        // What went wrong is the caller's to know.
        _ = &mut connection => ConnectionEnd::Closed,
        () = head_timer.timed_out(callers.head) => ConnectionEnd::SlowHead,
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => ConnectionEnd::Closing,
    };
    match end {
        ConnectionEnd::Closed => {}
        ConnectionEnd::SlowHead => refuse_slow_head(connection.into_parts().io).await,
        ConnectionEnd::Closing => {
            Pin::new(&mut connection).graceful_shutdown();
            // An answer under way ends first.
            let _ = connection.await;
        }
    }
}

/// Why a connection is not served any more.
enum ConnectionEnd {
    Closed,
    SlowHead,
    Closing,
}

async fn answer(
    forwarder: Forwarder,
    req: Request<Incoming>,
    answering: AnsweringGuard,
) -> Result<HttpResponse<TrackedBody<ResponseBody>>, Infallible> {
    let answered = forwarder.handle(req).await?;
    Ok(answered.map(|body| TrackedBody {
        body,
        _answering: answering,
    }))
}

async fn refuse_slow_head(io: TokioIo<TrackedStream<TcpStream>>) {
    let mut stream = io.into_inner().stream;
    // A caller that has gone needs no answer.
    let _ = timeout(REFUSAL_LIMIT, stream.write_all(SLOW_HEAD)).await;
}
