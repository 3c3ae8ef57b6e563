//! Limits of HTTP listeners on the connections that they hold for clients.

use std::{
    fmt::Write as _,
    io,
    pin::Pin,
    sync::{Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use ingress::{
    ByteBudget, Group, LimitedStream, Limits, Listener, Reason, RequestGuard, Timeouts, VmResources,
};
use salvo::{
    BoxedError, Depot, FlowCtrl, Handler, Request, Response, async_trait,
    conn::{
        Accepted, Acceptor, Holding, StraightStream,
        tcp::{TcpAcceptor, TcpCoupler},
    },
    fuse::ArcFusePolicy,
    http::{HeaderMap, StatusCode, body::ResBody, header::HeaderValue},
};
use spdlog::warn;
use tokio::{
    net::TcpStream,
    time::{MissedTickBehavior, interval},
};

use crate::resources::Resources;

/// Listeners that share the part of the descriptors for readiness, control, metrics and links.
const INTERNAL_LISTENERS: u32 = 3;
/// Parsed header fields have this part of the bytes that a listener may hold.
const FIELDS_PART: usize = 5;
/// Number of fields from which a request counts; the HTTP library refused larger heads by default.
const COUNTED_FIELDS: usize = 100;
/// Memory of a parsed field besides its text, as at the callers' listener of a forwarding gate.
const FIELD_OVERHEAD_BYTES: usize = 256;
/// Time between log lines about closed connections of one listener and reason.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limits beyond which a listener closes a client's connection.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Name of the listener in logs and metrics.
    pub name: &'static str,
    /// Maximum number of open connections. For a further one, the connection closes that has been
    /// without a request for longest; if there is none, the new one is closed.
    pub max_connections: usize,
    /// Maximum size of a request head.
    pub max_head_bytes: usize,
    /// Maximum number of bytes of all request heads that have not arrived completely.
    pub max_unfinished_bytes: usize,
    /// Maximum number of bytes that the header fields of all served requests take once parsed. Requests
    /// of up to 100 fields are not counted.
    pub max_field_bytes: usize,
    /// Maximum time to receive a request head, including the idle time of a kept-alive connection.
    pub head_timeout: Duration,
    /// Maximum pause between two chunks of a request body.
    pub body_timeout: Duration,
    /// Maximum time that a write may wait for the client to read.
    pub write_timeout: Duration,
}

impl ListenerLimits {
    /// Returns the limits of a process's main listener.
    pub fn main(name: &'static str, resources: &Resources) -> Self {
        Self::of_group(name, resources, Group::Callers)
    }

    /// Returns the limits of a listener for health checks, metrics or operators.
    pub fn internal(name: &'static str, resources: &Resources) -> Self {
        let listeners = INTERNAL_LISTENERS;
        Self::of_group(name, resources, Group::Internal { listeners })
    }

    fn of_group(name: &'static str, resources: &Resources, group: Group) -> Self {
        let vm = VmResources {
            memory_bytes: resources.memory_bytes,
            descriptors: resources.descriptors,
        };
        let limits = Limits::new(vm, group);
        Self {
            name,
            max_connections: limits.connections,
            max_head_bytes: 32 << 10,
            max_unfinished_bytes: limits.bytes,
            max_field_bytes: limits.bytes / FIELDS_PART,
            head_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(5),
            write_timeout: Duration::from_secs(10),
        }
    }

    fn timeouts(&self) -> Timeouts {
        Timeouts {
            head: self.head_timeout,
            idle: self.head_timeout,
            unread: self.write_timeout,
        }
    }
}

/// Listeners of this process, for its metrics.
static LISTENERS: Mutex<Vec<(&'static str, Listener)>> = Mutex::new(Vec::new());

fn listeners() -> MutexGuard<'static, Vec<(&'static str, Listener)>> {
    LISTENERS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Creates the table of a listener with `limits`.
pub(crate) fn register(limits: &ListenerLimits) -> Listener {
    let listener = Listener::new(limits.max_connections, limits.max_unfinished_bytes);
    let mut all = listeners();
    // A role that restarts within the process replaces its listener.
    all.retain(|(name, _)| *name != limits.name);
    all.push((limits.name, listener.clone()));
    listener
}

/// Appends the metrics of all listeners in Prometheus' text format.
pub(crate) fn write_metrics(text: &mut String) {
    let listeners = listeners();
    // Writing into a string cannot fail.
    let mut gauge = |metric: &str, value: &dyn Fn(&Listener) -> usize| {
        let _ = writeln!(text, "# TYPE {metric} gauge");
        for (name, listener) in listeners.iter() {
            let _ = writeln!(text, "{metric}{{listener=\"{name}\"}} {}", value(listener));
        }
    };
    gauge("jujube_listener_connections", &Listener::open);
    gauge("jujube_listener_max_connections", &Listener::max_open);
    gauge(
        "jujube_listener_unfinished_head_bytes",
        &Listener::head_bytes,
    );
    let _ = writeln!(text, "# TYPE jujube_listener_closed_total counter");
    for (name, listener) in listeners.iter() {
        for reason in Reason::ALL {
            let (label, count) = (reason.label(), listener.closed(reason));
            let _ = writeln!(
                text,
                "jujube_listener_closed_total{{listener=\"{name}\",reason=\"{label}\"}} {count}"
            );
        }
    }
}

/// Logs closed connections, at most one line per second and reason, until dropped.
pub async fn log_closed(name: &'static str, listener: Listener) {
    let mut ticks = interval(LOG_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut logged = Reason::ALL.map(|_| 0);
    loop {
        ticks.tick().await;
        for (reason, logged) in Reason::ALL.into_iter().zip(&mut logged) {
            let closed = listener.closed(reason);
            // Connections that were idle for too long end this way without load too.
            if closed > *logged && reason != Reason::IdleTooLong {
                let connections = closed - *logged;
                let why = reason.label();
                warn!("connections closed or refused at a limit", kv: { listener = name, why, connections });
            }
            *logged = closed;
        }
    }
}

/// Acceptor that admits connections to the table of a listener.
#[derive(Debug)]
pub(crate) struct LimitedAcceptor {
    inner: TcpAcceptor,
    listener: Listener,
    timeouts: Timeouts,
}

impl LimitedAcceptor {
    pub(crate) fn new(inner: TcpAcceptor, listener: Listener, limits: &ListenerLimits) -> Self {
        Self {
            inner,
            listener,
            timeouts: limits.timeouts(),
        }
    }
}

impl Acceptor for LimitedAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = LimitedStream<StraightStream<TcpStream>>;

    fn holdings(&self) -> &[Holding] {
        self.inner.holdings()
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        loop {
            let accepted = self.inner.accept(fuse_policy.clone()).await?;
            let Some(peer) = accepted.remote_addr.clone().into_std() else {
                continue;
            };
            // A refused connection is closed at once, and its request has not run.
            if let Some(lease) = self.listener.admit(peer, self.timeouts) {
                let limit = |stream| LimitedStream::new(stream, lease);
                return Ok(accepted.map_into(|_| TcpCoupler::new(), limit));
            }
        }
    }
}

/// Middleware that marks the connection of a request as being served until its answer ends.
pub(crate) struct MarkServing {
    pub listener: Listener,
    /// Memory of requests with many header fields.
    pub fields: ByteBudget,
}

/// Memory that the fields of a request take.
fn field_bytes(headers: &HeaderMap) -> usize {
    let fields = headers.iter();
    fields
        .map(|(name, value)| name.as_str().len() + value.len() + FIELD_OVERHEAD_BYTES)
        .sum()
}

#[async_trait]
impl Handler for MarkServing {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let peer = req.remote_addr().clone().into_std();
        let guard = peer.and_then(|peer| self.listener.serving(peer));
        let mut fields = self.fields.reservation();
        let headers = req.headers();
        if headers.len() > COUNTED_FIELDS && !fields.try_grow(field_bytes(headers)) {
            // As the HTTP library answers heads beyond its own limits. 503 would state that no earlier
            // request with the same idempotency key has run. The body is not read.
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert("connection", close);
            res.status_code(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
            ctrl.skip_rest();
            return;
        }
        ctrl.call_next(req, depot, res).await;
        let is_streamed = matches!(
            res.body,
            ResBody::Hyper(_) | ResBody::Boxed(_) | ResBody::Stream(_) | ResBody::Channel(_)
        );
        if let Some(guard) = guard.filter(|_| is_streamed) {
            let body = std::mem::take(&mut res.body);
            let guard = Mutex::new(guard);
            res.body = ResBody::Boxed(Box::pin(GuardedBody {
                body,
                _guard: guard,
            }));
        }
    }
}

/// Body that holds a guard until it ends.
struct GuardedBody {
    body: ResBody,
    // Bodies must be `Sync`.
    _guard: Mutex<RequestGuard>,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BoxedError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxedError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        polled.map_err(BoxedError::from)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
