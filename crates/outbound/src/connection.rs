//! One HTTP/1 connection to an endpoint, which carries one call at a time.

use std::{
    future::poll_fn,
    net::SocketAddr,
    pin::{Pin, pin},
    task::{Context, Poll, Waker},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

use crate::send_state::{CurrentCall, SendState, TrackedStream};

/// An open connection; dropping it closes the socket at once.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    current_call: CurrentCall,
    driver: Driver,
    /// When the connection last finished a call.
    pub idle_since: Instant,
    /// How long the other end says that it keeps the connection.
    pub keep_alive: Option<Duration>,
}

impl Connection {
    /// Connects to `address` within `limit`; the error says why not.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, String> {
        let connecting = timeout(limit, TcpStream::connect(address)).await;
        let stream = match connecting {
            Err(_) => return Err(format!("no answer within {limit:?}")),
            Ok(Err(e)) => return Err(e.to_string()),
            Ok(Ok(stream)) => stream,
        };
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let current_call = CurrentCall::default();
        let io = TokioIo::new(TrackedStream::new(stream, current_call.clone()));
        let (sender, driver) = http1::handshake(io).await.map_err(|e| e.to_string())?;
        Ok(Self {
            sender,
            current_call,
            driver: Driver(Some(Box::pin(driver))),
            idle_since: Instant::now(),
            keep_alive: None,
        })
    }

    /// Whether the connection can take a call, as far as this end knows.
    pub fn is_usable(&mut self) -> bool {
        // Nobody has looked at the socket since the last call; the other end may have closed it.
        self.driver.poll(&mut Context::from_waker(Waker::noop()));
        self.sender.is_ready()
    }

    /// Sends `req`, whose bytes are recorded in `handover`, and waits for the head of its answer.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        send_state: &SendState,
    ) -> hyper::Result<Response<Incoming>> {
        self.current_call.set(send_state);
        let sender = &mut self.sender;
        let answer = async {
            sender.ready().await?;
            sender.send_request(req).await
        };
        self.driver.run(answer).await
    }

    /// Waits for `wanted`, a part of the answer on this connection.
    pub async fn drive<T>(&mut self, wanted: impl Future<Output = T>) -> T {
        self.driver.run(wanted).await
    }
}

/// Moves a connection's bytes. Whoever waits for an answer polls it, so that bytes of the answer wake
/// one task and not two.
#[derive(Debug)]
struct Driver(Option<Pin<Box<http1::Connection<Io, Full<Bytes>>>>>);

type Io = TokioIo<TrackedStream<TcpStream>>;

impl Driver {
    fn poll(&mut self, cx: &mut Context<'_>) {
        let Some(driver) = &mut self.0 else {
            return;
        };
        if driver.as_mut().poll(cx).is_ready() {
            // Whoever waits for an answer on this connection sees the error too.
            self.0 = None;
        }
    }

    async fn run<T>(&mut self, wanted: impl Future<Output = T>) -> T {
        let mut wanted = pin!(wanted);
        poll_fn(|cx| {
            if let Poll::Ready(done) = wanted.as_mut().poll(cx) {
                return Poll::Ready(done);
            }
            self.poll(cx);
            wanted.as_mut().poll(cx)
        })
        .await
    }
}
