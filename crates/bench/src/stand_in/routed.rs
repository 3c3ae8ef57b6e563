//! Requests forwarded unchanged by a route, and calls with batched items.

use std::{future::pending, io, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Response, StatusCode, body::Frame, http::request::Parts};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{sync::mpsc, time::sleep};

use super::{
    fault::Fault,
    journal::{CallIdentity, Event},
    reply::{
        CALL_HEADER, ConnectionCut, Reply, channel_body, header, json_reply, problem, set_header,
    },
    shared::Shared,
    stage::is_expired,
};

/// Header with the name of the addressed endpoint.
const ENDPOINT: &str = "jujube-endpoint";
/// Number of events in a complete stream; their ids count from 1.
pub const STREAM_EVENTS: u64 = 5;
/// Pause after each event.
const EVENT_PAUSE: Duration = Duration::from_millis(10);
/// Last event that is sent before `Fault::CloseEarly` and `Fault::Interrupt` close the connection or
/// `Fault::Pause` pauses.
const LAST_EVENT_BEFORE_FAULT: u64 = 2;

/// Returns true if the request was forwarded by a route.
pub(crate) fn is_routed(headers: &HeaderMap) -> bool {
    headers.contains_key(ENDPOINT)
}

/// Returns the status and reason if the call is to be refused before it runs.
fn refusal(shared: &Shared, headers: &HeaderMap) -> Option<(StatusCode, &'static str)> {
    let addressed = header(headers, ENDPOINT);
    match shared.faults.next_for_call() {
        _ if addressed.is_some_and(|addressed| addressed != shared.cfg.name) => {
            Some((StatusCode::MISDIRECTED_REQUEST, "another endpoint is meant"))
        }
        Fault::Refuse | Fault::RetryAfter(_) => {
            Some((StatusCode::SERVICE_UNAVAILABLE, "told to refuse"))
        }
        _ if is_expired(headers) => Some((StatusCode::SERVICE_UNAVAILABLE, "no time left")),
        _ => None,
    }
}

/// Handles a request forwarded by a route.
pub(crate) async fn request(shared: &Arc<Shared>, head: &Parts, body: &Bytes) -> Reply {
    let identity = CallIdentity {
        call: header(&head.headers, CALL_HEADER)
            .unwrap_or_default()
            .to_owned(),
        ..CallIdentity::default()
    };
    if let Some((status, reason)) = refusal(shared, &head.headers) {
        let reason = reason.to_owned();
        let reply = problem(status, &identity.call, &reason, true);
        shared.journal.add(&identity, Event::Refused { reason });
        return Ok(reply);
    }
    let _in_flight = shared.track_call();
    shared.journal.add(&identity, Event::Started);
    sleep(shared.service_time()).await;
    let fault = shared.faults.get();
    let is_stream = header(&head.headers, "accept") == Some("text/event-stream");
    match fault {
        Fault::Stall => pending().await,
        Fault::CloseEarly if !is_stream => Err(ConnectionCut),
        Fault::WrongCallId => Ok(json_reply(StatusCode::OK, "another", &json!({}))),
        Fault::Pause(ms) if !is_stream => {
            sleep(Duration::from_millis(ms)).await;
            Ok(json_reply(
                StatusCode::OK,
                &identity.call,
                &echo(shared, head, body),
            ))
        }
        _ if is_stream => Ok(stream_response(&identity, head, fault)),
        _ => Ok(json_reply(
            StatusCode::OK,
            &identity.call,
            &echo(shared, head, body),
        )),
    }
}

/// Describes the request as received, for the body of the reply.
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

fn stream_response(
    identity: &CallIdentity,
    head: &Parts,
    fault: Fault,
) -> Response<super::reply::Body> {
    let last_event_id = header(&head.headers, "last-event-id").and_then(|id| id.parse().ok());
    let inputs = header(&head.headers, "jujube-inputs").unwrap_or_default();
    let (tx, body) = channel_body();
    tokio::spawn(send_events(
        tx,
        last_event_id.unwrap_or(0),
        inputs.to_owned(),
        fault,
    ));
    let mut res = json_reply(StatusCode::OK, &identity.call, &json!(null));
    set_header(res.headers_mut(), "content-type", "text/event-stream");
    *res.body_mut() = body;
    res
}

async fn send_events(
    tx: mpsc::Sender<io::Result<Frame<Bytes>>>,
    last_event_id: u64,
    inputs: String,
    fault: Fault,
) {
    for number in last_event_id + 1..=STREAM_EVENTS {
        match fault {
            Fault::Pause(ms) if last_event_id == 0 && number == LAST_EVENT_BEFORE_FAULT + 1 => {
                sleep(Duration::from_millis(ms)).await;
            }
            _ => {}
        }
        let frame = match fault {
            Fault::CloseEarly if number > LAST_EVENT_BEFORE_FAULT => Err(io::Error::other("cut")),
            Fault::Interrupt if last_event_id == 0 && number > LAST_EVENT_BEFORE_FAULT => {
                Err(io::Error::other("cut"))
            }
            _ => {
                let event = format!("id: {number}\ndata: {number} {inputs}\n\n");
                Ok(Frame::data(Bytes::from(event)))
            }
        };
        let is_closed = frame.is_err();
        if tx.send(frame).await.is_err() || is_closed {
            return;
        }
        sleep(EVENT_PAUSE).await;
    }
}

#[derive(Deserialize)]
struct BatchCall {
    items: Vec<Item>,
}

#[derive(Deserialize)]
struct Item {
    request: String,
    stage: usize,
    #[serde(rename = "item")]
    number: u32,
}

/// `POST /v1/items`: runs the items and returns a handle for each.
pub(crate) async fn items(shared: &Arc<Shared>, headers: &HeaderMap, body: &Bytes) -> Reply {
    if let Some((status, reason)) = refusal(shared, headers) {
        return Ok(problem(status, "", reason, true));
    }
    let Ok(call) = serde_json::from_slice::<BatchCall>(body) else {
        let detail = "the body is no batched call";
        return Ok(problem(StatusCode::BAD_REQUEST, "", detail, true));
    };
    let _in_flight = shared.track_call();
    let items: Vec<String> = call.items.iter().map(Item::label).collect();
    let batched = Event::Batched {
        items: items.clone(),
    };
    shared.journal.add(&CallIdentity::default(), batched);
    sleep(shared.service_time()).await;
    let handle = |item: &String| json!({"handle": format!("{}/{item}", shared.cfg.name)});
    let results: Vec<Value> = items.iter().map(handle).collect();
    Ok(json_reply(StatusCode::OK, "", &json!({ "items": results })))
}

impl Item {
    fn label(&self) -> String {
        format!("{}-{}-{}", self.request, self.stage, self.number)
    }
}

#[derive(Deserialize)]
struct FreeCall {
    handles: Vec<String>,
}

/// `POST /v1/items/free`: records the released handles.
pub(crate) fn free(shared: &Shared, body: &Bytes) -> Response<super::reply::Body> {
    let Ok(FreeCall { handles }) = serde_json::from_slice(body) else {
        let detail = "the body names no handles";
        return problem(StatusCode::BAD_REQUEST, "", detail, true);
    };
    shared
        .journal
        .add(&CallIdentity::default(), Event::Freed { handles });
    json_reply(StatusCode::OK, "", &json!({}))
}
