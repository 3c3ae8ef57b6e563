//! Callers' requests over HTTP, and what each caller got.

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
    deployment::{Deployment, KEY, Manner, NOTICES, Question},
    fleet::Fleet,
};

const CALL_LIMIT: Duration = Duration::from_secs(15);

/// What one caller got.
#[record]
pub struct Got {
    /// The deployment asked.
    pub deployment: String,
    /// The pipeline asked.
    pub pipeline: String,
    /// How it was asked.
    pub manner: String,
    /// The HTTP status.
    pub status: u16,
    /// The outcome as told.
    pub outcome: String,
    /// The output as told, or the problem's detail.
    pub output: Value,
    /// Events of a streamed answer.
    pub events: usize,
    /// Milliseconds until the whole answer was there.
    pub elapsed_ms: u64,
    /// How often a booking was really run, once it was sent twice.
    pub executions: Option<usize>,
}

/// Asks every question of `deployment`, one after the other.
pub async fn ask_all(deployment: &Deployment, fleet: &Fleet) -> eyre::Result<Vec<Got>> {
    let mut out = Vec::new();
    for question in &deployment.questions {
        let key = (question.manner == Manner::Booking).then(Uuid::now_v7);
        out.push(ask(deployment, question, fleet.gate, key).await?);
        if let Some(key) = key {
            let mut repeat = ask(deployment, question, fleet.gate, Some(key)).await?;
            "booking, sent again".clone_into(&mut repeat.manner);
            repeat.executions = Some(fleet.executions(key));
            out.push(repeat);
        }
    }
    out.push(Got {
        deployment: deployment.name.to_owned(),
        ..pass(fleet).await?
    });
    Ok(out)
}

/// Sends a request of a route, which is passed on whole.
pub async fn pass(fleet: &Fleet) -> eyre::Result<Got> {
    let url = format!("http://{}{NOTICES}", fleet.routes);
    let builder = Request::get(&url).header("authorization", format!("Bearer {KEY}"));
    let began = Instant::now();
    let req = build_request(builder, "".into(), &url)?;
    let answer = Client::new(CALL_LIMIT).send(req).await?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let outcome = match answer.status.as_u16() {
        200 => "completed",
        503 => "not_run",
        _ => "failed",
    };
    Ok(Got {
        deployment: String::new(),
        pipeline: NOTICES.to_owned(),
        manner: "passed on whole".to_owned(),
        status: answer.status.as_u16(),
        outcome: outcome.to_owned(),
        output: serde_json::from_str(&body).unwrap_or(Value::String(body)),
        events: 0,
        elapsed_ms: u64::try_from(began.elapsed().as_millis())?,
        executions: None,
    })
}

async fn ask(
    deployment: &Deployment,
    question: &Question,
    gate: SocketAddr,
    key: Option<Uuid>,
) -> eyre::Result<Got> {
    let url = format!("http://{gate}/v1/pipelines/{}", question.pipeline);
    let mut builder = Request::post(&url)
        .header("content-type", "application/json")
        .header("jujube-workspace", question.workspace);
    if question.manner == Manner::Streamed {
        builder = builder.header("accept", "text/event-stream");
    }
    if let Some(key) = key {
        builder = builder.header("idempotency-key", key.to_string());
    }
    let body = format!(r#"{{"input":{}}}"#, question.input);
    let began = Instant::now();
    let req = build_request(builder, body.into(), &url)?;
    let answer = Client::new(CALL_LIMIT).send(req).await?;
    let (told, events) = match question.manner {
        Manner::Streamed if answer.status.is_success() => last_event(&answer.body)?,
        _ => (
            serde_json::from_slice(&answer.body).wrap_err("read the answer")?,
            0,
        ),
    };
    let output = told.get("output").or_else(|| told.get("detail"));
    Ok(Got {
        deployment: deployment.name.to_owned(),
        pipeline: question.pipeline.to_owned(),
        manner: format!("{:?}", question.manner).to_lowercase(),
        status: answer.status.as_u16(),
        outcome: told["outcome"].as_str().unwrap_or("none").to_owned(),
        output: output.cloned().unwrap_or_default(),
        events,
        elapsed_ms: u64::try_from(began.elapsed().as_millis())?,
        executions: None,
    })
}

/// The data of a stream's last event, and the number of events.
fn last_event(body: &[u8]) -> eyre::Result<(Value, usize)> {
    let text = std::str::from_utf8(body).wrap_err("read the stream")?;
    let data: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data:"))
        .collect();
    let last = data.last().map_or("null", |data| data.trim());
    Ok((
        serde_json::from_str(last).wrap_err("read the last event")?,
        data.len(),
    ))
}
