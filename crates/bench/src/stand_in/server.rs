//! A stand-in's listener: one task a connection.

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
    reply::{CALL, Reply, header, json_reply, problem, set},
    shared::Shared,
    stage, whole,
};

/// Takes connections until aborted, which cuts them all.
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
    // Without it, small chunks of a stream wait for acknowledgements.
    let _ = socket.set_nodelay(true);
    let service = service_fn(|req| answer(Arc::clone(&shared), req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(socket), service);
    // A caller that hangs up in the middle is ordinary here.
    let _ = connection.await;
}

async fn answer(shared: Arc<Shared>, req: Request<Incoming>) -> Reply {
    let fault = shared.faults.get();
    let mut reply = answer_call(shared, req).await?;
    match fault {
        Fault::LeavingHeader => set(reply.headers_mut(), "jujube-leaving", "1"),
        Fault::RetryAfter(seconds) => set(reply.headers_mut(), "retry-after", &seconds.to_string()),
        _ => {}
    }
    Ok(reply)
}

async fn answer_call(shared: Arc<Shared>, req: Request<Incoming>) -> Reply {
    let (head, body) = req.into_parts();
    let call = header(&head.headers, CALL).unwrap_or_default().to_owned();
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
        "/v1/items" if is_post => whole::items(&shared, &head.headers, &body).await,
        "/v1/items/free" if is_post => Ok(whole::free(&shared, &body)),
        _ if whole::is_meant(&head.headers) => whole::request(&shared, &head, &body).await,
        _ if head.method == Method::DELETE => Ok(completions::delete(&shared, path, &call)),
        _ => {
            let detail = format!("no {} {path} here", head.method);
            Ok(problem(StatusCode::NOT_FOUND, &call, &detail, true))
        }
    }
}
