//! HTTP server of a stand-in, with one task per connection.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Method, Request, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

use super::{
    completions,
    fault::Fault,
    kv, orders,
    reply::{CALL_HEADER, Reply, header, json_reply, problem, set_header},
    routed,
    shared::Shared,
    stage,
};

/// Paths that tests call and gates don't.
const UNCOUNTED_PATHS: [&str; 2] = ["/healthz", "/v1/journal"];

/// Accepts connections; aborting this task closes them all.
pub(crate) async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((socket, _)) = accepted {
                connections.spawn(serve(Arc::clone(&shared), socket));
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(shared: Arc<Shared>, socket: TcpStream) {
    // Nagle's algorithm would delay small chunks of a stream.
    let _ = socket.set_nodelay(true);
    let service = service_fn(|req| handle(Arc::clone(&shared), req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(socket), service);
    // Errors are ignored: callers may disconnect at any time.
    let _ = connection.await;
}

async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Reply {
    let fault = shared.faults.get();
    if !UNCOUNTED_PATHS.contains(&req.uri().path()) {
        shared.record_arrival();
    }
    let mut res = route(Arc::clone(&shared), req).await?;
    if let Some(limit) = shared.limit() {
        set_header(res.headers_mut(), "jujube-limit", &limit);
    }
    match fault {
        Fault::LeavingHeader => set_header(res.headers_mut(), "jujube-leaving", "1"),
        Fault::RetryAfter(secs) => set_header(res.headers_mut(), "retry-after", &secs.to_string()),
        _ => {}
    }
    Ok(res)
}

async fn route(shared: Arc<Shared>, req: Request<Incoming>) -> Reply {
    let (head, body) = req.into_parts();
    let call = header(&head.headers, CALL_HEADER)
        .unwrap_or_default()
        .to_owned();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => Bytes::new(),
    };
    let path = head.uri.path();
    let is_post = head.method == Method::POST;
    match path {
        "/healthz" => Ok(json_reply(StatusCode::OK, &call, &json!({}))),
        "/v1/journal" => {
            let entries = json!(shared.journal.entries());
            Ok(json_reply(StatusCode::OK, &call, &entries))
        }
        "/v1/completions" if is_post => completions::post(&shared, &head.headers, &body),
        "/v1/orders" if is_post => Ok(orders::post(&shared, &body)),
        "/v1/kv/export" if is_post => kv::export(&shared, &body).await,
        "/v1/kv/import" if is_post => kv::import(&shared, &body).await,
        _ if is_post && path.strip_prefix("/v1/stages/") == Some(&shared.cfg.service) => {
            stage::post(&shared, &head.headers, &body).await
        }
        "/v1/items" if is_post => routed::items(&shared, &head.headers, &body).await,
        "/v1/items/free" if is_post => Ok(routed::free(&shared, &body)),
        _ if routed::is_routed(&head.headers) => routed::request(&shared, &head, &body).await,
        _ if head.method == Method::DELETE => Ok(completions::delete(&shared, path, &call)),
        _ => {
            let detail = format!("no {} {path} here", head.method);
            Ok(problem(StatusCode::NOT_FOUND, &call, &detail, true))
        }
    }
}
