//! Small HTTP client for the calls between the product's own processes.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::TokioExecutor,
};
use thiserror::Error;
use tokio::time::timeout;

/// Maximum size of a response body.
const MAX_BODY_BYTES: usize = 64 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A call that got no complete response.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{step} {peer}: {reason}")]
pub struct ClientError {
    /// The operation that failed.
    pub step: &'static str,
    /// Authority of the called URL, or the URL itself where it is malformed.
    pub peer: String,
    /// Cause of the failure.
    pub reason: String,
    /// True if nothing was sent: the URL was malformed or the connection could not be opened.
    pub is_unsent: bool,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body, at most 64 MiB.
    pub body: Bytes,
}

/// HTTP client that bounds the duration and the response size of each call.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    call_timeout: Duration,
}

impl Client {
    /// Creates a client that fails calls after `call_timeout`, reading of the body included.
    pub fn new(call_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new()).build(connector);
        Self { pool, call_timeout }
    }

    /// Sends `req` and reads the complete response.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Answer, ClientError> {
        let peer = req
            .uri()
            .authority()
            .map_or_else(String::new, ToString::to_string);
        let error = |step, reason: String, is_unsent| ClientError {
            step,
            peer: peer.clone(),
            reason,
            is_unsent,
        };
        let exchange = async {
            let res = self.pool.request(req).await.map_err(|e| {
                let cause =
                    std::error::Error::source(&e).map_or(String::new(), |c| format!(": {c}"));
                error("call", format!("{e}{cause}"), e.is_connect())
            })?;
            let (parts, body) = res.into_parts();
            let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
            let body = body.map_err(|e| error("read response of", e.to_string(), false))?;
            Ok(Answer {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            })
        };
        match timeout(self.call_timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(error(
                "call",
                format!("no response within {:?}", self.call_timeout),
                false,
            )),
        }
    }

    /// Sends `GET url`.
    pub async fn get(&self, url: &str) -> Result<Answer, ClientError> {
        self.send(build_request(Request::get(url), Bytes::new(), url)?)
            .await
    }

    /// Sends `POST url` with a JSON body.
    pub async fn post(&self, url: &str, body: Vec<u8>) -> Result<Answer, ClientError> {
        let builder = Request::post(url).header("content-type", "application/json");
        self.send(build_request(builder, body.into(), url)?).await
    }
}

/// Builds a request with `body`.
///
/// # Errors
/// Returns an unsent [`ClientError`] that names `url` as its peer if the builder holds an invalid
/// part.
pub fn build_request(
    builder: hyper::http::request::Builder,
    body: Bytes,
    url: &str,
) -> Result<Request<Full<Bytes>>, ClientError> {
    builder.body(Full::new(body)).map_err(|e| ClientError {
        step: "address",
        peer: url.to_owned(),
        reason: e.to_string(),
        is_unsent: true,
    })
}
