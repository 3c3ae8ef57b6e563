//! Asks whether the instance of an endpoint that began a response still runs.
//!
//! The end of a connection looks the same after a whole response and after a crash. A crash takes the
//! process with it, so a reply of the same instance that was asked for after the end excludes one.

use std::{
    fmt::{self, Debug, Formatter},
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, StatusCode};

use crate::{connection::Connection, notice::is_final_status, send_state::SendState};

/// Longest time to connect; several opening packets may be lost.
const MAX_CONNECT_TIME: Duration = Duration::from_secs(10);

/// A question to an endpoint on a connection of its own, and how to recognize its reply.
pub struct InstanceCheck {
    /// A health check or another request that runs nothing.
    pub request: Request<Full<Bytes>>,
    /// Returns true if a response with this head comes from the instance, whatever it says of its health.
    pub is_from_instance: Box<dyn Fn(StatusCode, &HeaderMap) -> bool + Send + Sync>,
}

impl Debug for InstanceCheck {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("InstanceCheck")
            .field("request", &self.request)
            .finish_non_exhaustive()
    }
}

impl InstanceCheck {
    /// Returns the check of the endpoint at `address`, which sends nothing before it is polled.
    pub(crate) fn start(self, address: SocketAddr) -> RunningCheck {
        RunningCheck::Pending(Box::pin(self.run(address)))
    }

    /// Nothing is tried again: an instance that is started meanwhile may have the same name.
    async fn run(self, address: SocketAddr) -> CheckResult {
        let connecting = Connection::open(address, MAX_CONNECT_TIME).await;
        let mut connection = connecting.map_err(|e| format!("no connection for the check: {e}"))?;
        let response = connection.send(self.request, &SendState::new()).await;
        let response = response.map_err(|e| format!("no response to the check: {e}"))?;
        let status = response.status();
        match is_final_status(status) && (self.is_from_instance)(status, response.headers()) {
            true => Ok(()),
            false => Err(format!(
                "the check got {} from another peer",
                status.as_u16()
            )),
        }
    }
}

/// The error says why the instance is not known to run.
type CheckResult = Result<(), String>;

/// A check that runs, or its result. It goes on where it was left if a future that polls it is dropped.
pub(crate) enum RunningCheck {
    Pending(Pin<Box<dyn Future<Output = CheckResult> + Send>>),
    Done(CheckResult),
}

impl RunningCheck {
    pub(crate) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<CheckResult> {
        if let Self::Pending(check) = self
            && let Poll::Ready(result) = check.as_mut().poll(cx)
        {
            *self = Self::Done(result);
        }
        match self {
            Self::Pending(_) => Poll::Pending,
            Self::Done(result) => Poll::Ready(result.clone()),
        }
    }
}

impl Debug for RunningCheck {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pending(_) => f.write_str("Pending"),
            Self::Done(result) => f.debug_tuple("Done").field(result).finish(),
        }
    }
}
