//! HTTP listeners on top of salvo, with graceful shutdown and the metrics page of every role.

use std::{fmt::Write as _, net::SocketAddr, time::Duration};

use ingress::ByteBudget;
use prometheus::{Registry, TextEncoder};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, Service, async_trait,
    conn::{Acceptor, Listener, TcpListener, tcp::TcpAcceptor},
    fuse::FuseConfig,
    server::ServerHandle,
};
use socket2::SockRef;

use crate::listeners::{self, LimitedAcceptor, MarkServing};
pub use crate::listeners::{ListenerLimits, log_closed};

/// Shortest header field with its line end, from which the number of fields of a head is bounded.
const MIN_FIELD_BYTES: usize = 4;
/// Maximum number of fields of a head, whatever its size. Fields are parsed before their memory is
/// counted: 600 heads of 3,000 fields took a gate to 125 MB.
const MAX_FIELDS: usize = 1_000;

/// A bound HTTP listener that does not accept connections yet.
#[derive(Debug)]
pub struct BoundListener {
    acceptor: TcpAcceptor,
    /// Bound address, with the port that the kernel assigned.
    pub local_addr: SocketAddr,
}

/// Binds an HTTP listener on `address`; for port 0 the kernel picks a free port.
pub async fn bind(address: SocketAddr) -> eyre::Result<BoundListener> {
    let acceptor = TcpListener::new(address).try_bind().await.map_err(|e| {
        eyre::eyre!("bind HTTP listener on {address}: {e}; free the port or set [listen] http")
    })?;
    // Accepted sockets inherit TCP_NODELAY. With Nagle's algorithm a streamed chunk would wait for
    // the acknowledgement of the one before it.
    SockRef::from(acceptor.inner()).set_tcp_nodelay(true)?;
    let local_addr = acceptor
        .holdings()
        .first()
        .and_then(|holding| holding.local_addr.clone().into_std())
        .ok_or_else(|| eyre::eyre!("bind HTTP listener on {address}: no local address"))?;
    Ok(BoundListener {
        acceptor,
        local_addr,
    })
}

/// Stops a server started by [`serve`].
#[derive(Clone, Debug)]
pub struct Handle(ServerHandle);

impl Handle {
    /// Stops accepting connections and ends once open ones are done, or after `timeout`.
    pub fn stop_graceful(&self, timeout: Duration) {
        self.0.stop_graceful(timeout);
    }
}

/// Serves `router` on `bound` in a new task and enforces `limits`.
pub fn serve(
    bound: BoundListener,
    router: Router,
    limits: &ListenerLimits,
) -> (Handle, tokio::task::JoinHandle<()>) {
    let (handle, serving) = serve_limited(bound, router, limits);
    (handle, tokio::spawn(serving))
}

/// Binds `address` and serves the result of `text` at `/metrics`. The returned future serves until
/// it is dropped.
pub async fn serve_metrics<T: Fn() -> String + Send + Sync + 'static>(
    address: SocketAddr,
    limits: &ListenerLimits,
    text: T,
) -> eyre::Result<impl Future<Output = ()> + Send + use<T>> {
    let bound = bind(address).await?;
    let router = Router::with_path("metrics").get(TextHandler(Box::new(text)));
    Ok(serve_limited(bound, router, limits).1)
}

fn serve_limited(
    bound: BoundListener,
    router: Router,
    limits: &ListenerLimits,
) -> (Handle, impl Future<Output = ()> + Send + use<>) {
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(limits.head_timeout)
        .with_request_body_timeout(limits.body_timeout)
        .with_write_stall_timeout(limits.write_timeout);
    let listener = listeners::register(limits);
    let acceptor = LimitedAcceptor::new(bound.acceptor, listener.clone(), limits);
    let mut server = Server::new(acceptor).fuse_config(fuse);
    let max_fields = limits.max_head_bytes / MIN_FIELD_BYTES;
    server
        .http1_mut()
        .max_buf_size(limits.max_head_bytes)
        .max_headers(max_fields.min(MAX_FIELDS));
    let handle = Handle(server.handle());
    let service = Service::new(router).hoop(MarkServing {
        listener: listener.clone(),
        fields: ByteBudget::new(limits.max_field_bytes),
    });
    let name = limits.name;
    let serving = async move {
        tokio::select! {
            () = server.serve(service) => {}
            () = listener.clone().expire() => {}
            () = listeners::log_closed(name, listener) => {}
        }
    };
    (handle, serving)
}

/// Handler that renders the text again for each request.
struct TextHandler(Box<dyn Fn() -> String + Send + Sync>);

#[async_trait]
impl Handler for TextHandler {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        res.render((self.0)());
    }
}

/// Returns the registry's metrics in Prometheus' text format, followed by the counts of log lines
/// that the process wrote, rate-limited (`left_out`) or dropped, and by its HTTP listeners.
pub fn metrics_text(registry: &Registry) -> String {
    let mut text = TextEncoder::new()
        .encode_to_string(&registry.gather())
        .unwrap_or_default();
    let counts = logs::counts();
    let lines_by_outcome = [
        ("written", counts.written),
        ("left_out", counts.left_out),
        ("dropped", counts.dropped),
    ];
    text.push_str("# TYPE jujube_log_lines_total counter\n");
    for (outcome, count) in lines_by_outcome {
        // Writing into a string cannot fail.
        let _ = writeln!(text, "jujube_log_lines_total{{fate=\"{outcome}\"}} {count}");
    }
    listeners::write_metrics(&mut text);
    text
}
