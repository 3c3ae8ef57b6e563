//! A small HTTP client that opens a connection per request.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{net::TcpStream, time::timeout};

use super::TEST_TIMEOUT;

#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: hyper::HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_else(|e| panic!("{e}: {}", self.text()))
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Names and data of the events of a stream.
    pub fn events(&self) -> Vec<(String, Value)> {
        events(&self.text())
    }

    pub fn outcome(&self) -> String {
        self.json()["outcome"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

pub fn events(text: &str) -> Vec<(String, Value)> {
    let blocks = text.split("\n\n").filter(|block| !block.is_empty());
    blocks
        .map(|block| {
            let (name, data) = block.split_once('\n').unwrap();
            let name = name.strip_prefix("event: ").unwrap().to_owned();
            let data = data.strip_prefix("data: ").unwrap();
            (name, serde_json::from_str(data).unwrap())
        })
        .collect()
}

pub async fn get(to: SocketAddr, path: &str) -> Result<Answer, String> {
    exchange(to, request(Method::GET, path, &[], Bytes::new())).await
}

pub async fn post(
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Result<Answer, String> {
    let body = Bytes::from(body.to_string());
    exchange(to, request(Method::POST, path, headers, body)).await
}

pub fn request(
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "gate");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    req.body(Full::new(body)).unwrap()
}

pub async fn exchange(to: SocketAddr, req: Request<Full<Bytes>>) -> Result<Answer, String> {
    let whole = async {
        let answer = open(to, req).await?;
        let (head, mut body) = answer.into_parts();
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| e.to_string())?;
            whole.extend_from_slice(&frame.into_data().unwrap_or_default());
        }
        Ok(Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body: whole.freeze(),
        })
    };
    timeout(TEST_TIMEOUT, whole)
        .await
        .map_err(|_| "no response within the time limit".to_owned())?
}

/// Sends `req` and returns the response with its body unread.
pub async fn open(to: SocketAddr, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, String> {
    let stream = TcpStream::connect(to).await.map_err(|e| e.to_string())?;
    let (mut sender, driver) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    tokio::spawn(driver);
    sender.send_request(req).await.map_err(|e| e.to_string())
}
