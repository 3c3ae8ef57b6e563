//! The callers' listener: one task a connection, ended without cutting an answer off.

use std::{pin::pin, time::Duration};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::sleep,
};

use crate::forwarder::Forwarder;

/// Most connections of callers.
const MAX_CONNECTIONS: usize = 3_000;
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Least buffer that the library takes.
const MIN_BUFFER: usize = 8 << 10;

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
    let service = service_fn(move |req| forwarder.clone().handle(req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Counted from the end of the last answer, so that it bounds idle connections as well.
        .header_read_timeout(callers.idle.max(callers.head))
        .max_buf_size((callers.head_bytes as usize * 2).max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let closing = phase.wait_for(|phase| *phase == Phase::Closing);
    tokio::select! {
        // What went wrong is the caller's to know.
        _ = &mut connection => return,
        _ = closing => {}
    }
    connection.as_mut().graceful_shutdown();
    // An answer under way ends first.
    let _ = connection.await;
}
