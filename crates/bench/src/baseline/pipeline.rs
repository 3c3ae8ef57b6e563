//! Runs a pipeline with one attempt for each stage.

use std::time::Duration;

use declaration::{Service, ServiceKind};
use http_body_util::BodyExt;
use hyper::Method;
use serde_json::{Value, json};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout_at},
};
use uuid::Uuid;

use super::GateState;
use crate::{check::Outcome, load::SseParser, output::prompt_text};

/// A parsed pipeline request.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) pipeline: String,
    pub(super) input: Value,
    pub(super) key: Option<String>,
    pub(super) deadline: Option<Duration>,
}

/// Why a request has no output.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    pub(super) told: Outcome,
    pub(super) detail: String,
}

/// Sends pieces of streamed text, each with its byte offset.
pub(super) type TokenSender = mpsc::Sender<(usize, String)>;

/// Runs the pipeline and sends the last stage's text to `tokens` as it arrives.
pub(super) async fn run_pipeline(
    gate: &GateState,
    req: &Request,
    tokens: Option<&TokenSender>,
) -> Result<Value, Failure> {
    let Some(pipeline) = gate.declaration.pipelines.get(&req.pipeline) else {
        let detail = "no such pipeline".to_owned();
        let told = Outcome::NotRun;
        return Err(Failure { told, detail });
    };
    let until = Instant::now() + req.deadline.unwrap_or(pipeline.deadline);
    let mut previous = Value::Null;
    let mut has_sent = false;
    for (i, name) in pipeline.stages.iter().enumerate() {
        let Some(service) = gate.declaration.services.get(name) else {
            continue;
        };
        let is_last = i + 1 == pipeline.stages.len();
        let stage = Stage {
            gate,
            req,
            name,
            service,
            until,
            tokens: tokens.filter(|_| is_last),
        };
        previous = stage.run(&previous, &mut has_sent).await?;
    }
    Ok(previous)
}

struct Stage<'a> {
    gate: &'a GateState,
    req: &'a Request,
    name: &'a str,
    service: &'a Service,
    until: Instant,
    tokens: Option<&'a TokenSender>,
}

impl Stage<'_> {
    async fn run(&self, previous: &Value, has_sent: &mut bool) -> Result<Value, Failure> {
        let picked = self
            .gate
            .table
            .pick(self.name, &self.gate.az, self.gate.policy);
        let Some(picked) = picked else {
            let told = if *has_sent {
                Outcome::Failed
            } else {
                Outcome::NotRun
            };
            let detail = format!("no endpoint of {}", self.name);
            return Err(Failure { told, detail });
        };
        *has_sent = true;
        let call = async {
            match self.service.kind {
                ServiceKind::Engine => self.generate(&picked.address, previous).await,
                _ => self.call(&picked.address, previous).await,
            }
        };
        let told = if self.service.repeatable {
            Outcome::Failed
        } else {
            Outcome::Unknown
        };
        match timeout_at(self.until, call).await {
            Ok(Ok(output)) => Ok(output),
            Ok(Err(e)) => Err(Failure {
                told,
                detail: format!("{}: {e:#}", picked.name),
            }),
            Err(_) => Err(Failure {
                told,
                detail: format!("{}: out of time", picked.name),
            }),
        }
    }

    fn headers<'h>(&'h self, call: &'h str, remaining: &'h str) -> Vec<(&'h str, &'h str)> {
        let mut headers = vec![("jujube-call", call), ("jujube-deadline-ms", remaining)];
        if let Some(key) = self.req.key.as_ref().filter(|_| !self.service.repeatable) {
            headers.push(("idempotency-key", key));
        }
        headers
    }

    fn remaining(&self) -> String {
        let remaining = self.until.saturating_duration_since(Instant::now());
        remaining.as_millis().max(1).to_string()
    }

    async fn call(&self, address: &str, previous: &Value) -> eyre::Result<Value> {
        let url = format!("{address}/v1/stages/{}", self.name);
        let (call, remaining) = (Uuid::now_v7().to_string(), self.remaining());
        let body = json!({ "input": self.req.input, "previous": previous });
        let headers = self.headers(&call, &remaining);
        let answer = self.gate.client.post_json(&url, &headers, &body).await?;
        eyre::ensure!(answer.status.is_success(), "answered {}", answer.status);
        Ok(answer.json()["output"].clone())
    }

    async fn generate(&self, address: &str, previous: &Value) -> eyre::Result<Value> {
        let source = if previous.is_null() {
            &self.req.input
        } else {
            previous
        };
        let body = json!({
            "model": self.service.model,
            "prompt": prompt_text(source),
            "max_tokens": self.service.max_tokens,
            "stream": true,
        });
        let (call, remaining) = (Uuid::now_v7().to_string(), self.remaining());
        let headers = self.headers(&call, &remaining);
        let url = format!("{address}/v1/completions");
        let client = &self.gate.client;
        let body = serde_json::to_vec(&body)?;
        let res = client.open(Method::POST, &url, &headers, body).await?;
        eyre::ensure!(res.status().is_success(), "answered {}", res.status());
        let mut body = res.into_body();
        let mut parser = SseParser::default();
        let mut text = String::new();
        let mut is_finished = false;
        while let Some(frame) = body.frame().await {
            let frame = frame?;
            for event in parser.feed(frame.data_ref().map_or(&b""[..], |data| data)) {
                let choice = &event.data["choices"][0];
                let piece = choice["text"].as_str().unwrap_or_default();
                is_finished |= choice["finish_reason"].is_string();
                if let Some(tokens) = self.tokens {
                    // The connection's task handles a caller that disconnected.
                    let _ = tokens.send((text.len(), piece.to_owned())).await;
                }
                text.push_str(piece);
            }
        }
        eyre::ensure!(is_finished, "the stream ended early");
        Ok(Value::String(text))
    }
}
