//! HTTP listeners over salvo, with graceful stop and the pages that every role has.

use std::{fmt::Write as _, net::SocketAddr, time::Duration};

use prometheus::{Registry, TextEncoder};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait,
    conn::{Acceptor, Listener, TcpListener, tcp::TcpAcceptor},
    fuse::FuseConfig,
    server::ServerHandle,
};
use socket2::SockRef;

/// A bound HTTP listener that does not serve yet.
#[derive(Debug)]
pub struct BoundListener {
    acceptor: TcpAcceptor,
    /// The address it got from the kernel.
    pub local_addr: SocketAddr,
}

/// Binds `address`; port 0 is given by the kernel.
pub async fn bind(address: SocketAddr) -> eyre::Result<BoundListener> {
    let acceptor = TcpListener::new(address).try_bind().await.map_err(|e| {
        eyre::eyre!("bind HTTP listener on {address}: {e}; free the port or set [listen] http")
    })?;
    // Accepted sockets inherit it: a streamed chunk must not wait for the acknowledgement of the last.
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

/// Stops a server that [`serve`] started.
#[derive(Clone, Debug)]
pub struct Handle(ServerHandle);

impl Handle {
    /// Takes no new connection and ends once those in flight are done, or after `limit`.
    pub fn stop_graceful(&self, limit: Duration) {
        self.0.stop_graceful(limit);
    }
}

/// What one listener takes from callers before it closes their connections.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Most open connections; more wait in the kernel's backlog.
    pub max_connections: usize,
    /// Most bytes of one request's head.
    pub max_head_bytes: usize,
    /// Longest time for the head of a request, idle keep-alive included.
    pub head_timeout: Duration,
    /// Longest pause between two parts of a request's body.
    pub body_timeout: Duration,
    /// Longest time that a caller may leave a write pending.
    pub write_timeout: Duration,
}

/// Serves `router` on `bound` within `limits` in a task of its own.
pub fn serve_with_limits(
    bound: BoundListener,
    router: Router,
    limits: &ListenerLimits,
) -> (Handle, tokio::task::JoinHandle<()>) {
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(limits.head_timeout)
        .with_request_body_timeout(limits.body_timeout)
        .with_write_stall_timeout(limits.write_timeout);
    let mut server = Server::new(bound.acceptor)
        .max_connections(limits.max_connections)
        .fuse_config(fuse);
    server.http1_mut().max_buf_size(limits.max_head_bytes);
    let handle = Handle(server.handle());
    let task = tokio::spawn(async move { server.serve(router).await });
    (handle, task)
}

/// Serves `router` on `bound` in a task of its own.
pub fn serve(bound: BoundListener, router: Router) -> (Handle, tokio::task::JoinHandle<()>) {
    let server = Server::new(bound.acceptor);
    let handle = Handle(server.handle());
    let task = tokio::spawn(async move { server.serve(router).await });
    (handle, task)
}

/// Serves what `text` gives at `/metrics` on `address`; the future runs until it is dropped.
pub async fn serve_metrics(
    address: SocketAddr,
    text: impl Fn() -> String + Send + Sync + 'static,
) -> eyre::Result<impl Future<Output = ()> + Send> {
    let bound = bind(address).await?;
    let router = Router::with_path("metrics").get(Text(Box::new(text)));
    let server = Server::new(bound.acceptor);
    Ok(async move { server.serve(router).await })
}

/// A page whose text is made anew for each request.
struct Text(Box<dyn Fn() -> String + Send + Sync>);

#[async_trait]
impl Handler for Text {
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

/// The registry's metrics in Prometheus' text format, and what became of the process's log lines.
pub fn metrics_text(registry: &Registry) -> String {
    let mut text = TextEncoder::new()
        .encode_to_string(&registry.gather())
        .unwrap_or_default();
    let counts = logs::counts();
    let fates = [
        ("written", counts.written),
        ("left_out", counts.left_out),
        ("dropped", counts.dropped),
    ];
    text.push_str("# TYPE jujube_log_lines_total counter\n");
    for (fate, count) in fates {
        // Writing into a string cannot fail.
        let _ = writeln!(text, "jujube_log_lines_total{{fate=\"{fate}\"}} {count}");
    }
    text
}
