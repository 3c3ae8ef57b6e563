//! HTTP server of a baseline gate.

use std::{convert::Infallible, io, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::stream::poll_fn;
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{
    HeaderMap, Method, Request as HttpRequest, Response, StatusCode,
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use membership::AnnounceResponse;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::mpsc, task::JoinSet};

use super::{
    GateState,
    pipeline::{self, Failure, Request},
};
use crate::check::Outcome;

type Body = BoxBody<Bytes, io::Error>;

/// Time until an endpoint's next announcement.
const ANNOUNCE_INTERVAL_MS: u64 = 500;

pub(super) async fn serve(gate: Arc<GateState>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((socket, _)) = accepted {
                // Without Nagle's algorithm, so that each token is sent at once.
                let _ = socket.set_nodelay(true);
                let gate = Arc::clone(&gate);
                let service = service_fn(move |req| handle(Arc::clone(&gate), req));
                let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
                connections.spawn(async {
                    // Callers may disconnect at any time.
                    let _ = connection.await;
                });
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn handle(
    gate: Arc<GateState>,
    req: HttpRequest<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let (head, body) = req.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => Bytes::new(),
    };
    let path = head.uri.path();
    if head.method != Method::POST {
        return Ok(json_response(StatusCode::OK, &json!({ "revision": 0 })));
    }
    if path == "/v1/announce" {
        if let Ok(announcement) = serde_json::from_slice(&body) {
            gate.table.announce(announcement);
        }
        let announced = json!(AnnounceResponse {
            next_ms: ANNOUNCE_INTERVAL_MS
        });
        return Ok(json_response(StatusCode::OK, &announced));
    }
    let Some(pipeline) = path.strip_prefix("/v1/pipelines/") else {
        return Ok(json_response(StatusCode::OK, &json!({})));
    };
    let req = parse_request(pipeline, &head.headers, &body);
    let accept = head.headers.get("accept");
    Ok(match accept.is_some_and(|a| a == "text/event-stream") {
        true => stream_response(gate, req),
        false => whole_response(pipeline::run_pipeline(&gate, &req, None).await),
    })
}

fn parse_request(pipeline: &str, headers: &HeaderMap, body: &[u8]) -> Request {
    let text = |name| headers.get(name).and_then(|v| v.to_str().ok());
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let millis = text("jujube-deadline-ms").and_then(|ms| ms.parse().ok());
    Request {
        pipeline: pipeline.to_owned(),
        input: body["input"].clone(),
        key: text("idempotency-key").map(str::to_owned),
        deadline: millis.map(Duration::from_millis),
    }
}

fn whole_response(result: Result<Value, Failure>) -> Response<Body> {
    let (status, value) = status_and_body(result);
    json_response(status, &value)
}

fn status_and_body(result: Result<Value, Failure>) -> (StatusCode, Value) {
    match result {
        Ok(output) => {
            let value = json!({ "outcome": "completed", "output": output, "stages": [] });
            (StatusCode::OK, value)
        }
        Err(failure) => {
            let status = match failure.told {
                Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
                _ => StatusCode::BAD_GATEWAY,
            };
            let value = json!({ "outcome": failure.told, "detail": failure.detail });
            (status, value)
        }
    }
}

fn stream_response(gate: Arc<GateState>, req: Request) -> Response<Body> {
    let (tx, mut rx) = mpsc::channel::<io::Result<Frame<Bytes>>>(16);
    tokio::spawn(async move {
        let (tokens_tx, mut tokens_rx) = mpsc::channel(16);
        let forward = async {
            while let Some((offset, text)) = tokens_rx.recv().await {
                send_event(&tx, "token", &json!({ "offset": offset, "text": text })).await;
            }
        };
        let run = async {
            let result = pipeline::run_pipeline(&gate, &req, Some(&tokens_tx)).await;
            drop(tokens_tx);
            result
        };
        let (result, ()) = tokio::join!(run, forward);
        let name = if result.is_ok() { "done" } else { "error" };
        send_event(&tx, name, &status_and_body(result).1).await;
    });
    let frames = poll_fn(move |cx| rx.poll_recv(cx));
    let mut res = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    let value = hyper::header::HeaderValue::from_static("text/event-stream");
    res.headers_mut().insert("content-type", value);
    res
}

async fn send_event(tx: &mpsc::Sender<io::Result<Frame<Bytes>>>, name: &str, value: &Value) {
    let event = format!("event: {name}\ndata: {value}\n\n");
    // The receiver is gone only if the caller disconnected.
    let _ = tx.send(Ok(Frame::data(event.into()))).await;
}

fn json_response(status: StatusCode, value: &Value) -> Response<Body> {
    let never = |never: Infallible| match never {};
    let body = Full::new(Bytes::from(value.to_string())).map_err(never);
    let mut res = Response::new(body.boxed());
    *res.status_mut() = status;
    res
}
