//! HTTP client for requests of this crate.

use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP client with pooled connections.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Answer {
    /// Parses the body as JSON; returns null if it is invalid.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { pool }
    }
}

impl Client {
    /// Sends `body` to `url` and returns as soon as the response head has arrived; the response body
    /// can be streamed.
    pub async fn open(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> eyre::Result<Response<Incoming>> {
        let mut req = Request::builder().method(method).uri(url);
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(Bytes::from(body)))?;
        let sent = self.pool.request(req).await;
        sent.wrap_err_with(|| format!("send a request to {url}"))
    }

    /// Sends `body` to `url` and reads the complete response.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> eyre::Result<Answer> {
        let res = self.open(method, url, headers, body).await?;
        let (head, body) = res.into_parts();
        let body = body.collect().await;
        let body = body.wrap_err_with(|| format!("read the answer of {url}"))?;
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }

    /// Sends `value` as JSON in a POST request and reads the complete response.
    pub async fn post_json(
        &self,
        url: &str,
        headers: &[(&str, &str)],
        value: &impl serde::Serialize,
    ) -> eyre::Result<Answer> {
        let mut all = vec![("content-type", "application/json")];
        all.extend_from_slice(headers);
        self.send(Method::POST, url, &all, serde_json::to_vec(value)?)
            .await
    }
}
