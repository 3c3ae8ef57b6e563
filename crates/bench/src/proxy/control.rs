//! HTTP control API of the proxies.

use std::{collections::BTreeMap, convert::Infallible, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use eyre::WrapErr;
use http_body_util::{BodyExt, Collected, Full};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{net::TcpListener, task::JoinSet};

use super::{Proxy, Rules};

/// Proxies by name.
pub(crate) type Proxies = Arc<BTreeMap<String, Proxy>>;

/// Serves the control API on `listen` until the returned set is dropped.
pub(crate) async fn start(
    listen: SocketAddr,
    proxies: Proxies,
) -> eyre::Result<(SocketAddr, JoinSet<()>)> {
    let listener = TcpListener::bind(listen).await;
    let listener = listener.wrap_err_with(|| format!("bind the control API on {listen}"))?;
    let address = listener.local_addr()?;
    let mut tasks = JoinSet::new();
    tasks.spawn(accept(listener, proxies));
    Ok((address, tasks))
}

async fn accept(listener: TcpListener, proxies: Proxies) {
    let mut connections = JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        let proxies = Arc::clone(&proxies);
        let service = service_fn(move |req| handle(Arc::clone(&proxies), req));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
        connections.spawn(async {
            // Errors are ignored: a client may disconnect at any time.
            let _ = connection.await;
        });
    }
}

async fn handle(
    proxies: Proxies,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = req.into_parts();
    let body = body.collect().await.map(Collected::to_bytes);
    let path: Vec<&str> = head.uri.path().split('/').collect();
    let reply = match (&head.method, path.as_slice()) {
        (&Method::GET, ["", "v1", "proxies"]) => (StatusCode::OK, list(&proxies)),
        (method, ["", "v1", "proxies", name, action]) => match proxies.get(*name) {
            Some(proxy) => apply_action(proxy, method, action, &body.unwrap_or_default()),
            None => error_reply(StatusCode::NOT_FOUND, "no proxy of this name"),
        },
        _ => error_reply(StatusCode::NOT_FOUND, "see GET /v1/proxies"),
    };
    let mut res = Response::new(Full::new(reply.1.to_string().into()));
    *res.status_mut() = reply.0;
    Ok(res)
}

fn apply_action(proxy: &Proxy, method: &Method, action: &str, body: &[u8]) -> (StatusCode, Value) {
    match (method, action) {
        (&Method::PUT, "rules") => match serde_json::from_slice::<Rules>(body) {
            Ok(rules) => proxy.set_rules(rules),
            Err(e) => return error_reply(StatusCode::BAD_REQUEST, &e.to_string()),
        },
        (&Method::PUT, "upstream") => match serde_json::from_slice::<SocketAddr>(body) {
            Ok(upstream) => proxy.set_upstream(upstream),
            Err(e) => return error_reply(StatusCode::BAD_REQUEST, &e.to_string()),
        },
        (&Method::POST, "silence") => proxy.silence_connections(),
        (&Method::POST, "reset") => proxy.reset_connections(),
        _ => {
            return error_reply(
                StatusCode::NOT_FOUND,
                "use rules, upstream, silence or reset",
            );
        }
    }
    (StatusCode::OK, describe(proxy))
}

fn list(proxies: &Proxies) -> Value {
    let described = proxies.iter().map(|(name, p)| (name.clone(), describe(p)));
    Value::Object(described.collect())
}

fn describe(proxy: &Proxy) -> Value {
    json!({
        "listen": proxy.address().to_string(),
        "connections": proxy.connection_count(),
        "rules": proxy.rules(),
    })
}

fn error_reply(status: StatusCode, detail: &str) -> (StatusCode, Value) {
    (
        status,
        json!({ "title": status.canonical_reason(), "detail": detail }),
    )
}
