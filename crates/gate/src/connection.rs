//! One HTTP/1 connection to an endpoint, which carries one call at a time.

use std::{net::SocketAddr, time::Duration};

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
    task::AbortHandle,
    time::{Instant, timeout},
};

use crate::handover::{Handover, Recorded, Slot};

/// An open connection; dropping it closes the socket at once.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    slot: Slot,
    driver: AbortHandle,
    /// When the connection last finished a call.
    pub(crate) idle_since: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Connects to `address` within `limit`; the error says why not.
    pub(crate) async fn open(address: SocketAddr, limit: Duration) -> Result<Self, String> {
        let connecting = timeout(limit, TcpStream::connect(address)).await;
        let stream = match connecting {
            Err(_) => return Err(format!("no answer within {limit:?}")),
            Ok(Err(e)) => return Err(e.to_string()),
            Ok(Ok(stream)) => stream,
        };
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let slot = Slot::default();
        let io = TokioIo::new(Recorded::new(stream, slot.clone()));
        let (sender, driver) = http1::handshake(io).await.map_err(|e| e.to_string())?;
        let driver = tokio::spawn(async move {
            // Whoever waits for an answer on this connection sees the error too.
            let _ = driver.await;
        });
        Ok(Self {
            sender,
            slot,
            driver: driver.abort_handle(),
            idle_since: Instant::now(),
        })
    }

    /// Whether the connection can take a call, as far as this end knows.
    pub(crate) fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends `req`, whose bytes are recorded in `handover`, and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        handover: &Handover,
    ) -> hyper::Result<Response<Incoming>> {
        self.slot.carry(handover);
        self.sender.ready().await?;
        self.sender.send_request(req).await
    }
}
