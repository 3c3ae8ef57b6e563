//! Calls to whichever keeper answers.

use std::time::Duration;

use bytes::Bytes;
use declaration::{AuditRecord, Conflict, Document, Fault};
use derives::record;
use host::{
    client::{Answer, Client, ClientError, build_request},
    problem::Problem,
};
use hyper::{Request, StatusCode};
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::{Accepted, Declared, MemberRequest, Status, Submission};

/// Bound on one call to one keeper.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Why a call to the keepers failed.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ApiError {
    /// No keeper answered, or none has a quorum.
    #[error("{step}: {detail}")]
    Unavailable {
        /// What was asked.
        step: &'static str,
        /// What each keeper tried said.
        detail: String,
    },
    /// The change conflicts with changes made since its base.
    #[error("{} section(s) changed since the base revision", .0.len())]
    Conflict(Vec<Conflict>),
    /// The document has faults.
    #[error("{} fault(s) in the document", .0.len())]
    Invalid(Vec<Fault>),
    /// The keeper refused the call.
    #[error("{step} at {peer}: {status} {detail}")]
    Refused {
        /// What was asked.
        step: &'static str,
        /// The keeper.
        peer: String,
        /// HTTP status.
        status: u16,
        /// The keeper's words.
        detail: String,
    },
}

/// Our members of a problem document that the keepers add to refused changes.
#[record]
struct ChangeProblem {
    #[serde(flatten)]
    problem: Problem,
    #[serde(default)]
    conflicts: Vec<Conflict>,
    #[serde(default)]
    faults: Vec<Fault>,
}

/// A client of all keepers' HTTP pages.
#[derive(Clone, Debug)]
pub struct KeeperApi {
    keepers: Vec<String>,
    token: Option<String>,
    client: Client,
}

impl KeeperApi {
    /// A client of `keepers`, each `IP:PORT` of its HTTP listener, that presents `token`.
    pub fn new(keepers: Vec<String>, token: Option<String>) -> Self {
        Self {
            keepers,
            token,
            client: Client::new(CALL_LIMIT),
        }
    }

    /// The declaration in force.
    pub async fn declaration(&self) -> Result<Declared, ApiError> {
        const STEP: &str = "read the declaration";
        let (peer, answer) = self
            .call(STEP, "GET", "/v1/declaration", Bytes::new())
            .await?;
        let answer = expect_ok(STEP, &peer, answer)?;
        let revision = answer.headers.get("jujube-revision");
        let revision = revision.and_then(|v| v.to_str().ok()?.parse().ok());
        let revision =
            revision.ok_or_else(|| malformed(STEP, &peer, "no Jujube-Revision header"))?;
        let document = Document::read("declaration", &answer.body);
        let document = document.map_err(|faults| malformed(STEP, &peer, &faults.to_string()))?;
        Ok(Declared { revision, document })
    }

    /// Submits a change; safe to send again with the same change id.
    pub async fn submit(&self, submission: &Submission) -> Result<Accepted, ApiError> {
        const STEP: &str = "submit the change";
        let body = json(submission);
        let (peer, answer) = self.call(STEP, "POST", "/v1/changes", body).await?;
        match answer.status {
            StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY => {
                let problem: ChangeProblem = parse(STEP, &peer, &answer.body)?;
                match answer.status {
                    StatusCode::CONFLICT if !problem.conflicts.is_empty() => {
                        Err(ApiError::Conflict(problem.conflicts))
                    }
                    StatusCode::UNPROCESSABLE_ENTITY if !problem.faults.is_empty() => {
                        Err(ApiError::Invalid(problem.faults))
                    }
                    _ => Err(refused(STEP, &peer, &answer)),
                }
            }
            _ => parse(STEP, &peer, &expect_ok(STEP, &peer, answer)?.body),
        }
    }

    /// The audit trail from revision `from`, as far as one page of it goes.
    pub async fn audit(&self, from: u64) -> Result<Vec<AuditRecord>, ApiError> {
        const STEP: &str = "read the audit trail";
        let path = format!("/v1/audit?from={from}");
        let (peer, answer) = self.call(STEP, "GET", &path, Bytes::new()).await?;
        let answer = expect_ok(STEP, &peer, answer)?;
        let lines = answer
            .body
            .split(|b| *b == b'\n')
            .filter(|line| !line.is_empty());
        lines.map(|line| parse(STEP, &peer, line)).collect()
    }

    /// Each keeper's status, or why it gave none.
    pub async fn statuses(&self) -> Vec<(String, Result<Status, ApiError>)> {
        const STEP: &str = "read the status";
        let mut out = Vec::new();
        for keeper in &self.keepers {
            let answer = self
                .call_one(keeper, "GET", "/v1/status", Bytes::new())
                .await;
            let status = match answer {
                Ok(answer) => expect_ok(STEP, keeper, answer)
                    .and_then(|answer| parse(STEP, keeper, &answer.body)),
                Err(e) => Err(ApiError::Unavailable {
                    step: STEP,
                    detail: e.to_string(),
                }),
            };
            out.push((keeper.clone(), status));
        }
        out
    }

    /// Changes the members of the keeper group.
    pub async fn change_members(&self, req: &MemberRequest) -> Result<(), ApiError> {
        const STEP: &str = "change the keepers";
        let (peer, answer) = self.call(STEP, "POST", "/v1/keepers", json(req)).await?;
        expect_ok(STEP, &peer, answer).map(|_| ())
    }

    async fn call(
        &self,
        step: &'static str,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<(String, Answer), ApiError> {
        let mut tried = Vec::new();
        for keeper in &self.keepers {
            match self.call_one(keeper, method, path, body.clone()).await {
                Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                    tried.push(format!("{keeper} has no quorum"));
                }
                Ok(answer) => return Ok((keeper.clone(), answer)),
                Err(e) => tried.push(e.to_string()),
            }
        }
        let detail = format!(
            "{}; check the keepers given with --keepers",
            tried.join("; ")
        );
        Err(ApiError::Unavailable { step, detail })
    }

    async fn call_one(
        &self,
        keeper: &str,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, ClientError> {
        let url = format!("http://{keeper}{path}");
        let mut builder = Request::builder().method(method).uri(&url);
        if !body.is_empty() {
            builder = builder.header("content-type", "application/json");
        }
        if let Some(token) = &self.token {
            builder = builder.header("authorization", format!("Bearer {token}"));
        }
        self.client.send(build_request(builder, body, &url)?).await
    }
}

fn json<T: serde::Serialize>(body: &T) -> Bytes {
    serde_json::to_vec(body)
        .expect("our bodies have no shape that JSON refuses")
        .into()
}

fn parse<T: DeserializeOwned>(step: &'static str, peer: &str, body: &[u8]) -> Result<T, ApiError> {
    serde_json::from_slice(body).map_err(|e| malformed(step, peer, &e.to_string()))
}

fn malformed(step: &'static str, peer: &str, detail: &str) -> ApiError {
    ApiError::Refused {
        step,
        peer: peer.to_owned(),
        status: 200,
        detail: format!("answer cannot be read: {detail}; check that versions match"),
    }
}

fn refused(step: &'static str, peer: &str, answer: &Answer) -> ApiError {
    let problem: Option<Problem> = serde_json::from_slice(&answer.body).ok();
    ApiError::Refused {
        step,
        peer: peer.to_owned(),
        status: answer.status.as_u16(),
        detail: problem.map_or_else(String::new, |p| p.detail),
    }
}

fn expect_ok(step: &'static str, peer: &str, answer: Answer) -> Result<Answer, ApiError> {
    match answer.status.is_success() {
        true => Ok(answer),
        false => Err(refused(step, peer, &answer)),
    }
}
