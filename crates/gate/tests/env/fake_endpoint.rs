//! Fake endpoints whose behaviour a test defines with a closure.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
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
use uuid::Uuid;

use super::TEST_TIMEOUT;

/// A received call.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    pub method: String,
    pub path: String,
    pub call: String,
    pub key: Option<String>,
    pub body: Value,
    /// Index of the connection, from 0.
    pub connection: usize,
    /// Index of the call at this endpoint, from 0, not counting cancellations.
    pub nth: usize,
    /// True if the connection has carried an earlier call.
    pub is_kept: bool,
}

/// How the endpoint answers a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// 200 with this body.
    Json(Value),
    /// 200 with this body after a delay.
    Delayed(Duration, Value),
    /// A status with headers and a body.
    Status(u16, Vec<(&'static str, String)>, String),
    /// A status with headers, and a body that never ends.
    EndlessStatus(u16, Vec<(&'static str, String)>),
    /// 200 with the id of another call.
    WrongCallId(Value),
    /// An explicit refusal after a delay.
    DelayedRefusal(Duration),
    /// An explicit refusal with the id of another call.
    RefusalWithWrongCallId,
    /// An explicit refusal without the id of any call.
    RefusalWithoutCallId,
    /// No response at all.
    Silent,
    /// An event stream.
    Stream(Vec<Step>),
    /// Closes the connection before the response.
    CloseConnection,
}

/// A step of a streamed response.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends a chunk with this offset.
    Chunk(usize, &'static str),
    /// Sends these bytes as they are.
    Text(&'static str),
    Done,
    Pause(Duration),
    /// Closes the connection in the middle of the stream.
    Disconnect,
    /// Sends nothing more and keeps the connection open.
    Stall,
}

type Handler = dyn Fn(&ReceivedCall) -> Reply + Send + Sync;

pub struct FakeEndpoint {
    pub name: String,
    pub service: String,
    pub address: SocketAddr,
    pub received: Arc<Mutex<Vec<ReceivedCall>>>,
    incarnation: Uuid,
    announcements: AtomicU64,
    task: JoinHandle<()>,
}

impl Drop for FakeEndpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FakeEndpoint {
    pub async fn start(
        name: &str,
        service: &str,
        handler: impl Fn(&ReceivedCall) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let received: Arc<Mutex<Vec<ReceivedCall>>> = Arc::default();
        let handler: Arc<Handler> = Arc::new(handler);
        let task = tokio::spawn(serve(listener, Arc::clone(&received), handler));
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            address,
            received,
            incarnation: Uuid::now_v7(),
            announcements: AtomicU64::new(0),
            task,
        }
    }

    /// Returns an endpoint whose address refuses connections.
    pub async fn unreachable(name: &str, service: &str) -> Self {
        let endpoint = Self::start(name, service, |_| Reply::Silent).await;
        endpoint.task.abort();
        sleep(Duration::from_millis(20)).await;
        endpoint
    }

    /// The next announcement of this endpoint.
    pub fn announcement(&self) -> Value {
        let seq = self.announcements.fetch_add(1, Ordering::SeqCst) + 1;
        json!({
            "endpoint": self.name, "service": self.service, "az": "z",
            "address": format!("http://{}", self.address),
            "incarnation": self.incarnation, "seq": seq, "state": "ready",
            "models": [{"model": "m", "version": 1}],
            "unknown_member": true,
        })
    }

    /// Calls received, without cancellations.
    pub fn calls(&self) -> Vec<ReceivedCall> {
        let received = self.received.lock().unwrap();
        received
            .iter()
            .filter(|s| s.method == "POST")
            .cloned()
            .collect()
    }

    pub fn cancellations(&self) -> usize {
        let received = self.received.lock().unwrap();
        received.iter().filter(|s| s.method == "DELETE").count()
    }

    pub async fn wait_for_calls(&self, times: usize) {
        let start = Instant::now();
        while self.calls().len() < times {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "{} was not called",
                self.name
            );
            sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn serve(
    listener: TcpListener,
    received: Arc<Mutex<Vec<ReceivedCall>>>,
    handler: Arc<Handler>,
) {
    let mut connections = tokio::task::JoinSet::new();
    for connection in 0.. {
        let (stream, _) = listener.accept().await.unwrap();
        stream.set_nodelay(true).unwrap();
        let (received, handler) = (Arc::clone(&received), Arc::clone(&handler));
        let service = service_fn(move |req| {
            answer(req, connection, Arc::clone(&received), Arc::clone(&handler))
        });
        connections.spawn(async move {
            // A fake endpoint may close its own connection.
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
    received: Arc<Mutex<Vec<ReceivedCall>>>,
    handler: Arc<Handler>,
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
        let mut received = received.lock().unwrap();
        let nth = received.iter().filter(|s| s.method == "POST").count();
        let call = ReceivedCall {
            method: head.method.to_string(),
            path: head.uri.path().to_owned(),
            call: header("jujube-call").unwrap_or_default(),
            key: header("idempotency-key"),
            body: serde_json::from_slice(&body).unwrap_or_default(),
            connection,
            nth,
            is_kept: received.iter().any(|c| c.connection == connection),
        };
        received.push(call.clone());
        call
    };
    let ok = Response::builder().header("jujube-call", &call.call);
    if call.method == "DELETE" {
        return Ok(ok.body(full_body("")).unwrap());
    }
    match handler(&call) {
        Reply::Json(value) => Ok(ok.body(full_body(&value.to_string())).unwrap()),
        Reply::Delayed(pause, value) => {
            sleep(pause).await;
            Ok(ok.body(full_body(&value.to_string())).unwrap())
        }
        Reply::Status(status, headers, text) => {
            let mut res = ok.status(status);
            for (name, value) in headers {
                res = res.header(name, value);
            }
            Ok(res.body(full_body(&text)).unwrap())
        }
        Reply::EndlessStatus(status, headers) => {
            let mut res = ok.status(status);
            for (name, value) in headers {
                res = res.header(name, value);
            }
            let frames = stream::iter([Step::Text("{"), Step::Stall]).then(frame);
            Ok(res.body(BodyExt::boxed(StreamBody::new(frames))).unwrap())
        }
        Reply::WrongCallId(value) => {
            let res = Response::builder().header("jujube-call", Uuid::new_v4().to_string());
            Ok(res.body(full_body(&value.to_string())).unwrap())
        }
        Reply::DelayedRefusal(pause) => {
            sleep(pause).await;
            let res = ok.status(503).header("jujube-outcome", "not_run");
            Ok(res.body(full_body("")).unwrap())
        }
        Reply::RefusalWithWrongCallId => {
            let res = Response::builder().header("jujube-call", Uuid::new_v4().to_string());
            let res = res.status(503).header("jujube-outcome", "not_run");
            Ok(res.body(full_body("")).unwrap())
        }
        Reply::RefusalWithoutCallId => {
            let res = Response::builder().status(503);
            let res = res.header("jujube-outcome", "not_run");
            Ok(res.body(full_body("")).unwrap())
        }
        Reply::Silent => std::future::pending().await,
        Reply::CloseConnection => Err(std::io::Error::other("hang up")),
        Reply::Stream(steps) => {
            let frames = stream::iter(steps).then(frame);
            let ok = ok.header("content-type", "text/event-stream");
            Ok(ok.body(BodyExt::boxed(StreamBody::new(frames))).unwrap())
        }
    }
}

async fn frame(frame: Step) -> Result<Frame<Bytes>, std::io::Error> {
    let text = match frame {
        Step::Chunk(offset, text) => {
            let choices = [json!({"text": text, "finish_reason": null})];
            format!(
                "data: {}\n\n",
                json!({"offset": offset, "choices": choices})
            )
        }
        Step::Text(text) => text.to_owned(),
        Step::Done => "data: [DONE]\n\n".to_owned(),
        Step::Pause(pause) => {
            sleep(pause).await;
            String::new()
        }
        Step::Disconnect => return Err(std::io::Error::other("cut")),
        Step::Stall => std::future::pending().await,
    };
    Ok(Frame::data(Bytes::from(text)))
}

fn full_body(text: &str) -> Body {
    let text = Bytes::copy_from_slice(text.as_bytes());
    http_body_util::Full::new(text)
        .map_err(|e: Infallible| match e {})
        .boxed()
}

/// An explicit refusal.
pub fn not_run() -> Reply {
    Reply::Status(
        503,
        vec![("jujube-outcome", "not_run".to_owned())],
        String::new(),
    )
}

/// Response body of a plain stage.
pub fn output(value: &Value) -> Value {
    json!({ "output": value })
}
