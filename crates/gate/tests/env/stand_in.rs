//! Endpoints whose behaviour a test writes as a closure.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody, combinators::BoxBody};
use hyper::{
    Request, Response,
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    task::JoinHandle,
    time::{Instant, sleep},
};

use super::PATIENCE;

/// A call as it came.
#[derive(Clone, Debug)]
pub struct Seen {
    pub method: String,
    pub path: String,
    pub call: String,
    pub key: Option<String>,
    pub body: Value,
    /// Number of the connection, from 0.
    pub connection: usize,
    /// Number of the call at this endpoint, from 0; cancellations are not counted.
    pub nth: usize,
}

/// What the endpoint does with a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// 200 with this body.
    Json(Value),
    /// The same after a while.
    Later(Duration, Value),
    /// Another status, headers and body.
    Status(u16, Vec<(&'static str, String)>, String),
    /// 200 with another call's id.
    Crossed(Value),
    /// An explicit refusal with another call's id.
    CrossedRefusal,
    /// No answer at all.
    Silent,
    /// An event stream.
    Stream(Vec<Step>),
    /// The connection is closed before any answer.
    Hangup,
}

/// A part of a stream.
#[derive(Clone, Debug)]
pub enum Step {
    /// A chunk at an offset.
    Chunk(usize, &'static str),
    Done,
    Pause(Duration),
    /// The connection is closed in the middle.
    Cut,
    /// Nothing comes any more.
    Stall,
}

type Behaviour = dyn Fn(&Seen) -> Reply + Send + Sync;

pub struct StandIn {
    pub name: String,
    pub service: String,
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    task: JoinHandle<()>,
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StandIn {
    pub async fn start(
        name: &str,
        service: &str,
        behaviour: impl Fn(&Seen) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
        let behaviour: Arc<Behaviour> = Arc::new(behaviour);
        let task = tokio::spawn(serve(listener, Arc::clone(&seen), behaviour));
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            address,
            seen,
            task,
        }
    }

    /// An address that refuses connections.
    pub async fn refused(name: &str, service: &str) -> Self {
        let endpoint = Self::start(name, service, |_| Reply::Silent).await;
        endpoint.task.abort();
        sleep(Duration::from_millis(20)).await;
        endpoint
    }

    pub fn announcement(&self) -> Value {
        json!({
            "endpoint": self.name, "service": self.service, "az": "z",
            "address": format!("http://{}", self.address),
            "incarnation": uuid::Uuid::now_v7(), "seq": 1, "state": "ready",
            "models": [{"model": "m", "version": 1}],
            "unknown_member": true,
        })
    }

    /// Calls that came, without cancellations.
    pub fn calls(&self) -> Vec<Seen> {
        let seen = self.seen.lock().unwrap();
        seen.iter()
            .filter(|s| s.method == "POST")
            .cloned()
            .collect()
    }

    pub fn cancellations(&self) -> usize {
        let seen = self.seen.lock().unwrap();
        seen.iter().filter(|s| s.method == "DELETE").count()
    }

    pub async fn until_called(&self, times: usize) {
        let start = Instant::now();
        while self.calls().len() < times {
            assert!(start.elapsed() < PATIENCE, "{} was not called", self.name);
            sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn serve(listener: TcpListener, seen: Arc<Mutex<Vec<Seen>>>, behaviour: Arc<Behaviour>) {
    let mut connections = tokio::task::JoinSet::new();
    for connection in 0.. {
        let (stream, _) = listener.accept().await.unwrap();
        stream.set_nodelay(true).unwrap();
        let (seen, behaviour) = (Arc::clone(&seen), Arc::clone(&behaviour));
        let service = service_fn(move |req| {
            answer(req, connection, Arc::clone(&seen), Arc::clone(&behaviour))
        });
        connections.spawn(async move {
            // A stand-in may cut its own connection.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

type Body = BoxBody<Bytes, std::io::Error>;

async fn answer(
    req: Request<Incoming>,
    connection: usize,
    seen: Arc<Mutex<Vec<Seen>>>,
    behaviour: Arc<Behaviour>,
) -> Result<Response<Body>, std::io::Error> {
    let (head, body) = req.into_parts();
    let body = body
        .collect()
        .await
        .map_err(std::io::Error::other)?
        .to_bytes();
    let header = |name: &str| {
        head.headers
            .get(name)
            .map(|v| v.to_str().unwrap().to_owned())
    };
    let call = {
        let mut seen = seen.lock().unwrap();
        let nth = seen.iter().filter(|s| s.method == "POST").count();
        let call = Seen {
            method: head.method.to_string(),
            path: head.uri.path().to_owned(),
            call: header("jujube-call").unwrap_or_default(),
            key: header("idempotency-key"),
            body: serde_json::from_slice(&body).unwrap_or_default(),
            connection,
            nth,
        };
        seen.push(call.clone());
        call
    };
    let ok = Response::builder().header("jujube-call", &call.call);
    if call.method == "DELETE" {
        return Ok(ok.body(full("")).unwrap());
    }
    match behaviour(&call) {
        Reply::Json(value) => Ok(ok.body(full(&value.to_string())).unwrap()),
        Reply::Later(pause, value) => {
            sleep(pause).await;
            Ok(ok.body(full(&value.to_string())).unwrap())
        }
        Reply::Status(status, headers, text) => {
            let mut res = ok.status(status);
            for (name, value) in headers {
                res = res.header(name, value);
            }
            Ok(res.body(full(&text)).unwrap())
        }
        Reply::Crossed(value) => {
            let res = Response::builder().header("jujube-call", uuid::Uuid::new_v4().to_string());
            Ok(res.body(full(&value.to_string())).unwrap())
        }
        Reply::CrossedRefusal => {
            let res = Response::builder().header("jujube-call", uuid::Uuid::new_v4().to_string());
            let res = res.status(503).header("jujube-outcome", "not_run");
            Ok(res.body(full("")).unwrap())
        }
        Reply::Silent => std::future::pending().await,
        Reply::Hangup => Err(std::io::Error::other("hang up")),
        Reply::Stream(steps) => {
            let frames = stream::iter(steps).then(step);
            let ok = ok.header("content-type", "text/event-stream");
            Ok(ok.body(BodyExt::boxed(StreamBody::new(frames))).unwrap())
        }
    }
}

async fn step(step: Step) -> Result<Frame<Bytes>, std::io::Error> {
    let text = match step {
        Step::Chunk(offset, text) => {
            let choices = [json!({"text": text, "finish_reason": null})];
            format!(
                "data: {}\n\n",
                json!({"offset": offset, "choices": choices})
            )
        }
        Step::Done => "data: [DONE]\n\n".to_owned(),
        Step::Pause(pause) => {
            sleep(pause).await;
            String::new()
        }
        Step::Cut => return Err(std::io::Error::other("cut")),
        Step::Stall => std::future::pending().await,
    };
    Ok(Frame::data(Bytes::from(text)))
}

fn full(text: &str) -> Body {
    let text = Bytes::copy_from_slice(text.as_bytes());
    http_body_util::Full::new(text)
        .map_err(|e: Infallible| match e {})
        .boxed()
}

/// Refuses explicitly.
pub fn not_run() -> Reply {
    Reply::Status(
        503,
        vec![("jujube-outcome", "not_run".to_owned())],
        String::new(),
    )
}

/// The output of a plain stage.
pub fn output(value: &Value) -> Value {
    json!({ "output": value })
}
