//! HTTP/1 connection to an endpoint that carries one call at a time.

use std::{
    future::poll_fn,
    net::SocketAddr,
    pin::{Pin, pin},
    task::{Context, Poll, Waker},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    body::{Body, Incoming},
    client::conn::http1::{self, SendRequest},
    header::TRANSFER_ENCODING,
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

use crate::{
    delivered_stream::{DeliveredStream, PeerEnded},
    held_body::{HeldBody, SharedDelivery},
    instance_check::{InstanceCheck, RunningCheck},
    read_limit::{LimitedStream, Undelivered},
    send_state::{CurrentCall, SendState, TrackedStream},
};

/// Maximum size of the HTTP library's buffer of a connection, and so of a response head.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// An open connection. Dropping it closes the socket immediately.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<HeldBody>,
    delivery: SharedDelivery,
    current_call: CurrentCall,
    undelivered: Undelivered,
    peer_ended: PeerEnded,
    driver: Driver,
    address: SocketAddr,
    /// Decides whether the end of the connection ends the current response.
    check: Option<RunningCheck>,
    /// Calls sent so far, counting the current one.
    calls: usize,
    /// True if the connection carries one call only, since responses on it name no call.
    pub is_single_use: bool,
    /// Time at which the last call on the connection finished.
    pub idle_since: Instant,
    /// How long the peer keeps an idle connection open, as stated in a `Keep-Alive` header.
    pub keep_alive: Option<Duration>,
    /// Ids of the requests that the peer refused on this connection.
    pub refused: Vec<String>,
}

impl Connection {
    /// Connects to `address` within `limit`. The error describes the cause.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, String> {
        let connecting = timeout(limit, TcpStream::connect(address)).await;
        let stream = match connecting {
            Err(_) => return Err(format!("no answer within {limit:?}")),
            Ok(Err(e)) => return Err(e.to_string()),
            Ok(Ok(stream)) => stream,
        };
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let current_call = CurrentCall::default();
        let undelivered = Undelivered::default();
        let peer_ended = PeerEnded::default();
        let delivery = SharedDelivery::default();
        let stream = DeliveredStream::new(stream, delivery.clone(), peer_ended.clone());
        let stream = LimitedStream::new(stream, undelivered.clone());
        let io = TokioIo::new(TrackedStream::new(stream, current_call.clone()));
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(|e| e.to_string())?;
        Ok(Self {
            sender,
            delivery,
            current_call,
            undelivered,
            peer_ended,
            driver: Driver(Some(Box::pin(driver))),
            address,
            check: None,
            calls: 0,
            is_single_use: false,
            idle_since: Instant::now(),
            keep_alive: None,
            refused: Vec::new(),
        })
    }

    /// Returns true if the connection can carry a call, as far as is known locally.
    pub fn is_usable(&mut self) -> bool {
        // The socket was not polled since the last call, and the peer may have closed it.
        self.driver.poll(&mut Context::from_waker(Waker::noop()));
        self.sender.is_ready() && !self.peer_ended.get()
    }

    /// Returns true if the connection has carried a call before the current one.
    pub fn is_reused(&self) -> bool {
        self.calls > 1
    }

    /// Sends `req`, tracking its bytes in `send_state`, and waits for the response head.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        send_state: &SendState,
    ) -> hyper::Result<Response<Incoming>> {
        self.current_call.set(send_state);
        self.undelivered.reset();
        self.check = None;
        self.calls += 1;
        let (sender, delivery) = (&mut self.sender, &self.delivery);
        let response = async {
            sender.ready().await?;
            let (head, body) = req.into_parts();
            let Ok(body) = body.collect().await;
            let body = delivery.start(body.to_bytes());
            sender.send_request(Request::from_parts(head, body)).await
        };
        let response = self.driver.run(response).await;
        self.undelivered.reset();
        if response.as_ref().is_ok_and(is_delimited) && self.delivery.lock().record_delimited() {
            // Nobody may drive the connection after a short response, and the peer may still wait for
            // the last byte.
            self.driver.poll(&mut Context::from_waker(Waker::noop()));
        }
        response
    }

    /// Returns true if the end of the connection would not prove that the current response is whole: it
    /// tells no end of its own, and the peer may not have read the request.
    pub fn is_end_ambiguous(&self) -> bool {
        self.delivery.lock().is_end_ambiguous()
    }

    /// Runs `check` once the connection has ended during the current response.
    pub fn check_end(&mut self, check: InstanceCheck) {
        self.check = Some(check.start(self.address));
    }

    /// Waits for the result of the check after the end of the response, if there is one. The error says why
    /// the response may not be whole.
    pub async fn confirm_end(&mut self) -> Result<(), String> {
        match &mut self.check {
            Some(check) => poll_fn(|cx| check.poll(cx)).await,
            None => Ok(()),
        }
    }

    /// Runs `future`, which waits for a part of the response, while driving the connection. The
    /// connection fails if the peer sends far more than a part holds without completing one.
    pub async fn drive<T>(&mut self, future: impl Future<Output = T>) -> T {
        let mut future = pin!(self.driver.run(future));
        let part = poll_fn(|cx| {
            if let Poll::Ready(part) = future.as_mut().poll(cx) {
                return Poll::Ready(part);
            }
            match &mut self.check {
                Some(check) if self.peer_ended.get() && !self.delivery.lock().is_held() => {
                    // The result is kept until the end of the response.
                    let _ = check.poll(cx);
                }
                Some(_) | None => {}
            }
            Poll::Pending
        })
        .await;
        self.undelivered.reset();
        part
    }
}

/// Returns true if the head of `response` tells where it ends; otherwise its connection does.
fn is_delimited(response: &Response<Incoming>) -> bool {
    let is_chunked = || {
        let mut encodings = response.headers().get_all(TRANSFER_ENCODING).iter();
        let last = encodings.next_back().and_then(|value| value.to_str().ok());
        last.and_then(|value| value.rsplit(',').next())
            .is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
    };
    response.body().size_hint().exact().is_some() || is_chunked()
}

/// Performs the connection's I/O. It is polled by the task that waits for the response instead of a
/// task of its own, so that incoming bytes wake only one task.
#[derive(Debug)]
struct Driver(Option<Pin<Box<http1::Connection<Io, HeldBody>>>>);

type Io = TokioIo<TrackedStream<LimitedStream<DeliveredStream>>>;

impl Driver {
    fn poll(&mut self, cx: &mut Context<'_>) {
        let Some(driver) = &mut self.0 else {
            return;
        };
        if driver.as_mut().poll(cx).is_ready() {
            // The future that waits for the response gets the error as well.
            self.0 = None;
        }
    }

    async fn run<T>(&mut self, future: impl Future<Output = T>) -> T {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(output);
            }
            self.poll(cx);
            future.as_mut().poll(cx)
        })
        .await
    }
}
