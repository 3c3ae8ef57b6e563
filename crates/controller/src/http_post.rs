//! Sends one HTTP request on its own connection; sends nothing after a given deadline.

use std::{future::poll_fn, net::SocketAddr, pin::pin, task::Poll};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{Instant, sleep_until},
};

const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Posts a JSON body to `path` at `address`, which has the form `http://IP:PORT`.
pub(crate) async fn post(
    address: &str,
    path: &str,
    body: Vec<u8>,
    deadline: Instant,
) -> Result<(StatusCode, Bytes), String> {
    let host = address.strip_prefix("http://").unwrap_or(address);
    let to: SocketAddr = host.parse().map_err(|e| format!("address {host}: {e}"))?;
    let req = Request::post(path)
        .header(header::HOST, host)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|e| format!("request: {e}"))?;
    with_deadline(deadline, send_request(to, req)).await
}

async fn send_request(
    to: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), String> {
    let failed = |step: &str, e: &dyn std::fmt::Display| format!("{step} {to}: {e}");
    let stream = TcpStream::connect(to)
        .await
        .map_err(|e| failed("connect to", &e))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| failed("connect to", &e))?;
    let call = async {
        let response = sender.send_request(req).await;
        let response = response.map_err(|e| failed("call", &e))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await;
        let body = body.map_err(|e| failed("read response from", &e))?;
        Ok((status, body.to_bytes()))
    };
    // The connection is polled here rather than in its own task, so that it stops with this call.
    let (mut call, mut connection) = (pin!(call), pin!(connection));
    let mut is_open = true;
    loop {
        tokio::select! {
            biased;
            response = &mut call => return response,
            _ = &mut connection, if is_open => is_open = false,
        }
    }
}

/// Runs `future` until `deadline`. The clock is checked before every poll, so that a process that
/// was suspended past the deadline sends nothing when it resumes.
async fn with_deadline<T>(
    deadline: Instant,
    future: impl Future<Output = Result<T, String>>,
) -> Result<T, String> {
    let mut future = pin!(future);
    let mut timer = pin!(sleep_until(deadline));
    poll_fn(|cx| {
        let is_expired = Instant::now() >= deadline || timer.as_mut().poll(cx).is_ready();
        match is_expired {
            true => Poll::Ready(Err("no response before the deadline".to_owned())),
            false => future.as_mut().poll(cx),
        }
    })
    .await
}
