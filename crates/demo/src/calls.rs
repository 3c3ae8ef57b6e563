//! Sends callers' requests over HTTP and records the responses.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use derives::record;
use eyre::WrapErr;
use host::client::{Client, build_request};
use hyper::Request;
use serde_json::Value;
use uuid::Uuid;

use crate::{
    deployment::{CallMode, Deployment, NOTICES_PATH, ROUTE_KEY, SampleRequest},
    fleet::Fleet,
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// The response that one caller got, as printed with `--json`.
#[record]
pub struct CallerResponse {
    /// Name of the deployment.
    pub deployment: String,
    /// Pipeline called, or the path of a route.
    pub pipeline: String,
    /// How the request was made; the name of a `CallMode` or a short text.
    pub manner: String,
    /// HTTP status.
    pub status: u16,
    /// Outcome in the response body; derived from the status for a route.
    pub outcome: String,
    /// Output in the response body, or the detail of a problem document.
    pub output: Value,
    /// Number of events in a streamed response.
    pub events: usize,
    /// Milliseconds until the response was complete.
    pub elapsed_ms: u64,
    /// Number of times that endpoints ran a booking which was sent twice.
    pub executions: Option<usize>,
}

/// Sends every sample request of `deployment`, one after the other.
pub async fn send_all(deployment: &Deployment, fleet: &Fleet) -> eyre::Result<Vec<CallerResponse>> {
    let mut out = Vec::new();
    for sample in &deployment.requests {
        let key = (sample.mode == CallMode::Booking).then(Uuid::now_v7);
        out.push(send(deployment, sample, fleet.gate, key).await?);
        if let Some(key) = key {
            let mut repeat = send(deployment, sample, fleet.gate, Some(key)).await?;
            "booking, sent again".clone_into(&mut repeat.manner);
            repeat.executions = Some(fleet.executions(key));
            out.push(repeat);
        }
    }
    out.push(CallerResponse {
        deployment: deployment.name.to_owned(),
        ..send_to_route(fleet).await?
    });
    Ok(out)
}

/// Sends a request to a route, which the forwarder passes on as a whole.
pub async fn send_to_route(fleet: &Fleet) -> eyre::Result<CallerResponse> {
    let url = format!("http://{}{NOTICES_PATH}", fleet.forwarder);
    let builder = Request::get(&url).header("authorization", format!("Bearer {ROUTE_KEY}"));
    let start = Instant::now();
    let req = build_request(builder, "".into(), &url)?;
    let response = Client::new(REQUEST_TIMEOUT).send(req).await?;
    let body = String::from_utf8_lossy(&response.body).into_owned();
    let outcome = match response.status.as_u16() {
        200 => "completed",
        503 => "not_run",
        _ => "failed",
    };
    Ok(CallerResponse {
        deployment: String::new(),
        pipeline: NOTICES_PATH.to_owned(),
        manner: "passed on whole".to_owned(),
        status: response.status.as_u16(),
        outcome: outcome.to_owned(),
        output: serde_json::from_str(&body).unwrap_or(Value::String(body)),
        events: 0,
        elapsed_ms: u64::try_from(start.elapsed().as_millis())?,
        executions: None,
    })
}

async fn send(
    deployment: &Deployment,
    sample: &SampleRequest,
    gate: SocketAddr,
    key: Option<Uuid>,
) -> eyre::Result<CallerResponse> {
    let url = format!("http://{gate}/v1/pipelines/{}", sample.pipeline);
    let mut builder = Request::post(&url)
        .header("content-type", "application/json")
        .header("jujube-workspace", sample.workspace);
    if sample.mode == CallMode::Streamed {
        builder = builder.header("accept", "text/event-stream");
    }
    if let Some(key) = key {
        builder = builder.header("idempotency-key", key.to_string());
    }
    let body = format!(r#"{{"input":{}}}"#, sample.input);
    let start = Instant::now();
    let req = build_request(builder, body.into(), &url)?;
    let response = Client::new(REQUEST_TIMEOUT).send(req).await?;
    let (body, events) = match sample.mode {
        CallMode::Streamed if response.status.is_success() => last_event(&response.body)?,
        _ => (
            serde_json::from_slice(&response.body).wrap_err("parse the response")?,
            0,
        ),
    };
    let output = body.get("output").or_else(|| body.get("detail"));
    Ok(CallerResponse {
        deployment: deployment.name.to_owned(),
        pipeline: sample.pipeline.to_owned(),
        manner: format!("{:?}", sample.mode).to_lowercase(),
        status: response.status.as_u16(),
        outcome: body["outcome"].as_str().unwrap_or("none").to_owned(),
        output: output.cloned().unwrap_or_default(),
        events,
        elapsed_ms: u64::try_from(start.elapsed().as_millis())?,
        executions: None,
    })
}

/// Returns the data of a stream's last event and the number of events.
fn last_event(body: &[u8]) -> eyre::Result<(Value, usize)> {
    let text = std::str::from_utf8(body).wrap_err("read the stream")?;
    let data: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data:"))
        .collect();
    let last = data.last().map_or("null", |data| data.trim());
    Ok((
        serde_json::from_str(last).wrap_err("parse the last event")?,
        data.len(),
    ))
}
