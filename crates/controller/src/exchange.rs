//! One HTTP exchange on a connection of its own, of which nothing goes out after a given instant.

use std::{future::poll_fn, net::SocketAddr, pin::pin, task::Poll};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{Instant, sleep_until},
};

/// Largest answer in bytes.
const MAX_ANSWER: usize = 64 << 10;

/// Posts JSON to `path` at `address`, which is `http://IP:PORT`.
pub(crate) async fn post(
    address: &str,
    path: &str,
    body: Vec<u8>,
    until: Instant,
) -> Result<(StatusCode, Bytes), String> {
    let host = address.strip_prefix("http://").unwrap_or(address);
    let to: SocketAddr = host.parse().map_err(|e| format!("address {host}: {e}"))?;
    let req = Request::post(path)
        .header(header::HOST, host)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|e| format!("request: {e}"))?;
    before(until, exchange(to, req)).await
}

async fn exchange(
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
        let answer = sender.send_request(req).await;
        let answer = answer.map_err(|e| failed("call", &e))?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await;
        let body = body.map_err(|e| failed("read answer of", &e))?;
        Ok((status, body.to_bytes()))
    };
    // The connection is driven here and by no task of its own, so that it stops with this call.
    let (mut call, mut connection) = (pin!(call), pin!(connection));
    let mut is_open = true;
    loop {
        tokio::select! {
            biased;
            answer = &mut call => return answer,
            _ = &mut connection, if is_open => is_open = false,
        }
    }
}

/// Runs `work` until `until`; the clock is looked at before each of its steps, so that a process
/// that was stopped in the middle does not go on afterwards.
async fn before<T>(
    until: Instant,
    work: impl Future<Output = Result<T, String>>,
) -> Result<T, String> {
    let mut work = pin!(work);
    let mut end = pin!(sleep_until(until));
    poll_fn(|cx| {
        let is_over = Instant::now() >= until || end.as_mut().poll(cx).is_ready();
        match is_over {
            true => Poll::Ready(Err("no answer in time".to_owned())),
            false => work.as_mut().poll(cx),
        }
    })
    .await
}
