//! A small HTTP client for our own programs' calls to each other's HTTP pages.

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

/// Largest body of an answer in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// Why a call gave no answer.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{step} {peer}: {reason}")]
pub struct ClientError {
    /// What was done.
    pub step: &'static str,
    /// The address called.
    pub peer: String,
    /// What failed.
    pub reason: String,
    /// Whether the connection could not even be opened, so that nothing was sent.
    pub is_unsent: bool,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The body, whole.
    pub body: Bytes,
}

/// Makes calls, each bounded in time and in the size of its answer.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    limit: Duration,
}

impl Client {
    /// A client whose calls each take at most `limit`.
    pub fn new(limit: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_LIMIT));
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new()).build(connector);
        Self { pool, limit }
    }

    /// Sends `req` and reads the whole answer.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Answer, ClientError> {
        let peer = req
            .uri()
            .authority()
            .map_or_else(String::new, ToString::to_string);
        let failed = |step, reason: String, is_unsent| ClientError {
            step,
            peer: peer.clone(),
            reason,
            is_unsent,
        };
        let exchange = async {
            let res = self.pool.request(req).await.map_err(|e| {
                let cause =
                    std::error::Error::source(&e).map_or(String::new(), |c| format!(": {c}"));
                failed("call", format!("{e}{cause}"), e.is_connect())
            })?;
            let (parts, body) = res.into_parts();
            let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
            let body = body.map_err(|e| failed("read answer of", e.to_string(), false))?;
            Ok(Answer {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            })
        };
        match timeout(self.limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(failed(
                "call",
                format!("no answer within {:?}", self.limit),
                false,
            )),
        }
    }

    /// `GET url`.
    pub async fn get(&self, url: &str) -> Result<Answer, ClientError> {
        self.send(build_request(Request::get(url), Bytes::new(), url)?)
            .await
    }

    /// `POST url` with a JSON body.
    pub async fn post(&self, url: &str, body: Vec<u8>) -> Result<Answer, ClientError> {
        let builder = Request::post(url).header("content-type", "application/json");
        self.send(build_request(builder, body.into(), url)?).await
    }
}

/// Completes a request; `url` names the peer where it is malformed.
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
