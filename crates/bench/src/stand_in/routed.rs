//! Requests of routes, passed on whole, and batched items, as a stand-in takes them.

use std::{future::pending, io, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Response, StatusCode, body::Frame, http::request::Parts};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{sync::mpsc, time::sleep};

use super::{
    fault::Fault,
    journal::{CallName, Event},
    reply::{CALL, Cut, Reply, header, json_reply, problem, set, streamed},
    shared::Shared,
    stage::is_late,
};

/// Header with the endpoint that is meant.
const ENDPOINT: &str = "jujube-endpoint";
/// Events of a stream.
pub const STREAM_EVENTS: u64 = 5;
/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(10);
/// Event after which a stream that is told to close early breaks off.
const LAST_BEFORE_CUT: u64 = 2;

/// Whether a request is one of a route.
pub(crate) fn is_meant(headers: &HeaderMap) -> bool {
    headers.contains_key(ENDPOINT)
}

/// Why a call is refused before it runs.
fn refusal(shared: &Shared, headers: &HeaderMap) -> Option<(StatusCode, &'static str)> {
    let meant = header(headers, ENDPOINT);
    match shared.faults.next() {
        _ if meant.is_some_and(|meant| meant != shared.cfg.name) => {
            Some((StatusCode::MISDIRECTED_REQUEST, "another endpoint is meant"))
        }
        Fault::Refuse | Fault::RetryAfter(_) => {
            Some((StatusCode::SERVICE_UNAVAILABLE, "told to refuse"))
        }
        _ if is_late(headers) => Some((StatusCode::SERVICE_UNAVAILABLE, "no time left")),
        _ => None,
    }
}

/// Runs a request of a route.
pub(crate) async fn request(shared: &Arc<Shared>, head: &Parts, body: &Bytes) -> Reply {
    let name = CallName {
        call: header(&head.headers, CALL).unwrap_or_default().to_owned(),
        ..CallName::default()
    };
    if let Some((status, reason)) = refusal(shared, &head.headers) {
        let reason = reason.to_owned();
        let reply = problem(status, &name.call, &reason, true);
        shared.journal.add(&name, Event::Refused { reason });
        return Ok(reply);
    }
    let _in_flight = shared.enter();
    shared.journal.add(&name, Event::Started);
    sleep(shared.service_time()).await;
    let fault = shared.faults.get();
    let is_stream = header(&head.headers, "accept") == Some("text/event-stream");
    match fault {
        Fault::Stall => pending().await,
        Fault::CloseEarly if !is_stream => Err(Cut),
        Fault::WrongCallId => Ok(json_reply(StatusCode::OK, "another", &json!({}))),
        _ if is_stream => Ok(stream(&name, head, fault)),
        _ => Ok(json_reply(
            StatusCode::OK,
            &name.call,
            &echo(shared, head, body),
        )),
    }
}

/// What came, as the endpoint saw it.
fn echo(shared: &Shared, head: &Parts, body: &Bytes) -> Value {
    let text = |name| header(&head.headers, name);
    json!({
        "endpoint": shared.cfg.name,
        "method": head.method.as_str(),
        "path": head.uri.path_and_query().map(ToString::to_string),
        "workspace": text("jujube-workspace"),
        "inputs": text("jujube-inputs"),
        "body": String::from_utf8_lossy(body),
    })
}

fn stream(name: &CallName, head: &Parts, fault: Fault) -> Response<super::reply::Body> {
    let last = header(&head.headers, "last-event-id").and_then(|id| id.parse().ok());
    let inputs = header(&head.headers, "jujube-inputs").unwrap_or_default();
    let (tx, body) = streamed();
    tokio::spawn(events(tx, last.unwrap_or(0), inputs.to_owned(), fault));
    let mut res = json_reply(StatusCode::OK, &name.call, &json!(null));
    set(res.headers_mut(), "content-type", "text/event-stream");
    *res.body_mut() = body;
    res
}

async fn events(
    tx: mpsc::Sender<io::Result<Frame<Bytes>>>,
    last: u64,
    inputs: String,
    fault: Fault,
) {
    for number in last + 1..=STREAM_EVENTS {
        let part = match fault {
            Fault::CloseEarly if number > LAST_BEFORE_CUT => Err(io::Error::other("cut")),
            _ => {
                let event = format!("id: {number}\ndata: {number} {inputs}\n\n");
                Ok(Frame::data(Bytes::from(event)))
            }
        };
        let is_cut = part.is_err();
        if tx.send(part).await.is_err() || is_cut {
            return;
        }
        sleep(EVENT_PAUSE).await;
    }
}

#[derive(Deserialize)]
struct Items {
    items: Vec<Item>,
}

#[derive(Deserialize)]
struct Item {
    request: String,
    stage: usize,
    #[serde(rename = "item")]
    number: u32,
}

/// `POST /v1/items`: makes a handle for each item.
pub(crate) async fn items(shared: &Arc<Shared>, headers: &HeaderMap, body: &Bytes) -> Reply {
    if let Some((status, reason)) = refusal(shared, headers) {
        return Ok(problem(status, "", reason, true));
    }
    let Ok(asked) = serde_json::from_slice::<Items>(body) else {
        let why = "the body is no batched call";
        return Ok(problem(StatusCode::BAD_REQUEST, "", why, true));
    };
    let _in_flight = shared.enter();
    let items: Vec<String> = asked.items.iter().map(Item::name).collect();
    let batched = Event::Batched {
        items: items.clone(),
    };
    shared.journal.add(&CallName::default(), batched);
    sleep(shared.service_time()).await;
    let handle = |item: &String| json!({"handle": format!("{}/{item}", shared.cfg.name)});
    let made: Vec<Value> = items.iter().map(handle).collect();
    Ok(json_reply(StatusCode::OK, "", &json!({ "items": made })))
}

impl Item {
    fn name(&self) -> String {
        format!("{}-{}-{}", self.request, self.stage, self.number)
    }
}

#[derive(Deserialize)]
struct Handles {
    handles: Vec<String>,
}

/// `POST /v1/items/free`: results are given up.
pub(crate) fn free(shared: &Shared, body: &Bytes) -> Response<super::reply::Body> {
    let Ok(Handles { handles }) = serde_json::from_slice(body) else {
        let why = "the body names no handles";
        return problem(StatusCode::BAD_REQUEST, "", why, true);
    };
    shared
        .journal
        .add(&CallName::default(), Event::Freed { handles });
    json_reply(StatusCode::OK, "", &json!({}))
}
