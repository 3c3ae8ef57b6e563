//! HTTP client for the keepers that tries each in turn.

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

use crate::{
    Accepted, BlockedList, CurrentDeclaration, KeeperStatus, MemberRequest, Submission,
    UnblockRequest, Unblocked, ZoneList, ZoneOrdered, ZoneRequest, format_part,
};

/// Timeout of one request to one keeper.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a call to the keepers failed.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ApiError {
    /// No keeper could be reached, or none has a quorum.
    #[error("{step}: {detail}")]
    Unavailable {
        /// Operation that failed, for example `read the status`.
        step: &'static str,
        /// Error of each keeper tried.
        detail: String,
    },
    /// The change conflicts with changes made since its base revision.
    #[error("{} section(s) changed since the base revision", .0.len())]
    Conflict(Vec<Conflict>),
    /// The document is invalid.
    #[error("{} fault(s) in the document", .0.len())]
    Invalid(Vec<Fault>),
    /// The keeper refused the request, or its response cannot be parsed.
    #[error("{step} at {peer}: {status} {detail}")]
    Refused {
        /// Operation that failed, for example `read the status`.
        step: &'static str,
        /// HTTP address of the keeper.
        peer: String,
        /// HTTP status of the response.
        status: u16,
        /// Detail of the keeper's problem document, or the parse error.
        detail: String,
    },
}

/// The problem document of a refused change, with the members that keepers add to it.
#[record]
struct ChangeProblem {
    #[serde(flatten)]
    problem: Problem,
    #[serde(default)]
    conflicts: Vec<Conflict>,
    #[serde(default)]
    faults: Vec<Fault>,
}

/// A client of the keepers' HTTP API.
#[derive(Clone, Debug)]
pub struct KeeperApi {
    keepers: Vec<String>,
    token: Option<String>,
    client: Client,
}

impl KeeperApi {
    /// Creates a client of `keepers`, each the `IP:PORT` of an HTTP listener, that sends `token`.
    pub fn new(keepers: Vec<String>, token: Option<String>) -> Self {
        Self {
            keepers,
            token,
            client: Client::new(REQUEST_TIMEOUT),
        }
    }

    /// Returns the declaration in force.
    pub async fn declaration(&self) -> Result<CurrentDeclaration, ApiError> {
        const STEP: &str = "read the declaration";
        let (peer, response) = self
            .call(STEP, "GET", "/v1/declaration", Bytes::new())
            .await?;
        let response = expect_ok(STEP, &peer, response)?;
        let revision = response.headers.get("jujube-revision");
        let revision = revision.and_then(|v| v.to_str().ok()?.parse().ok());
        let revision =
            revision.ok_or_else(|| malformed(STEP, &peer, "no Jujube-Revision header"))?;
        let document = Document::read("declaration", &response.body);
        let document = document.map_err(|faults| malformed(STEP, &peer, &faults.to_string()))?;
        Ok(CurrentDeclaration { revision, document })
    }

    /// Submits a change; safe to send again with the same change id.
    pub async fn submit(&self, submission: &Submission) -> Result<Accepted, ApiError> {
        const STEP: &str = "submit the change";
        let body = to_json(submission);
        let (peer, response) = self.call(STEP, "POST", "/v1/changes", body).await?;
        match response.status {
            StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY => {
                let problem: ChangeProblem = parse_json(STEP, &peer, &response.body)?;
                match response.status {
                    StatusCode::CONFLICT if !problem.conflicts.is_empty() => {
                        Err(ApiError::Conflict(problem.conflicts))
                    }
                    StatusCode::UNPROCESSABLE_ENTITY if !problem.faults.is_empty() => {
                        Err(ApiError::Invalid(problem.faults))
                    }
                    _ => Err(refused(STEP, &peer, &response)),
                }
            }
            _ => parse_json(STEP, &peer, &expect_ok(STEP, &peer, response)?.body),
        }
    }

    /// Returns one page of the audit trail, starting at revision `from`.
    pub async fn audit(&self, from: u64) -> Result<Vec<AuditRecord>, ApiError> {
        const STEP: &str = "read the audit trail";
        let path = format!("/v1/audit?from={from}");
        let (peer, response) = self.call(STEP, "GET", &path, Bytes::new()).await?;
        let response = expect_ok(STEP, &peer, response)?;
        let lines = response
            .body
            .split(|b| *b == b'\n')
            .filter(|line| !line.is_empty());
        lines.map(|line| parse_json(STEP, &peer, line)).collect()
    }

    /// Returns the status of each keeper, or the error of the request for it.
    pub async fn statuses(&self) -> Vec<(String, Result<KeeperStatus, ApiError>)> {
        const STEP: &str = "read the status";
        let mut out = Vec::new();
        for keeper in &self.keepers {
            let response = self
                .call_one(keeper, "GET", "/v1/status", Bytes::new())
                .await;
            let status = match response {
                Ok(response) => expect_ok(STEP, keeper, response)
                    .and_then(|response| parse_json(STEP, keeper, &response.body)),
                Err(e) => Err(ApiError::Unavailable {
                    step: STEP,
                    detail: e.to_string(),
                }),
            };
            out.push((keeper.clone(), status));
        }
        out
    }

    /// Returns the blocked parts of prompts.
    pub async fn blocked_parts(&self) -> Result<BlockedList, ApiError> {
        const STEP: &str = "list the blocked parts";
        let (peer, response) = self
            .call(STEP, "GET", "/v1/blocked-parts", Bytes::new())
            .await?;
        parse_json(STEP, &peer, &expect_ok(STEP, &peer, response)?.body)
    }

    /// Unblocks a part of prompts.
    pub async fn unblock_part(
        &self,
        part: u64,
        req: &UnblockRequest,
    ) -> Result<Unblocked, ApiError> {
        const STEP: &str = "unblock the part";
        let path = format!("/v1/blocked-parts/{}/unblock", format_part(part));
        let (peer, response) = self.call(STEP, "POST", &path, to_json(req)).await?;
        parse_json(STEP, &peer, &expect_ok(STEP, &peer, response)?.body)
    }

    /// Returns the zones that are or were evacuated.
    pub async fn zones(&self) -> Result<ZoneList, ApiError> {
        const STEP: &str = "list the zones";
        let (peer, response) = self.call(STEP, "GET", "/v1/zones", Bytes::new()).await?;
        parse_json(STEP, &peer, &expect_ok(STEP, &peer, response)?.body)
    }

    /// Evacuates a zone, or returns to it.
    pub async fn order_zone(
        &self,
        zone: &str,
        is_evacuated: bool,
        req: &ZoneRequest,
    ) -> Result<ZoneOrdered, ApiError> {
        const STEP: &str = "order the zone";
        let verb = match is_evacuated {
            true => "evacuate",
            false => "return",
        };
        let path = format!("/v1/zones/{zone}/{verb}");
        let (peer, response) = self.call(STEP, "POST", &path, to_json(req)).await?;
        parse_json(STEP, &peer, &expect_ok(STEP, &peer, response)?.body)
    }

    /// Adds, promotes or removes a member of the keeper group.
    pub async fn change_members(&self, req: &MemberRequest) -> Result<(), ApiError> {
        const STEP: &str = "change the keepers";
        let (peer, response) = self.call(STEP, "POST", "/v1/keepers", to_json(req)).await?;
        expect_ok(STEP, &peer, response).map(|_| ())
    }

    /// Sends the request to each keeper in turn until one that has a quorum responds.
    async fn call(
        &self,
        step: &'static str,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<(String, Answer), ApiError> {
        let mut failures = Vec::new();
        for keeper in &self.keepers {
            match self.call_one(keeper, method, path, body.clone()).await {
                Ok(response) if response.status == StatusCode::SERVICE_UNAVAILABLE => {
                    failures.push(format!("{keeper} has no quorum"));
                }
                Ok(response) => return Ok((keeper.clone(), response)),
                Err(e) => failures.push(e.to_string()),
            }
        }
        let detail = format!(
            "{}; check the keepers given with --keepers",
            failures.join("; ")
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

fn to_json<T: serde::Serialize>(body: &T) -> Bytes {
    serde_json::to_vec(body)
        .expect("request bodies can always be written as JSON")
        .into()
}

fn parse_json<T: DeserializeOwned>(
    step: &'static str,
    peer: &str,
    body: &[u8],
) -> Result<T, ApiError> {
    serde_json::from_slice(body).map_err(|e| malformed(step, peer, &e.to_string()))
}

fn malformed(step: &'static str, peer: &str, detail: &str) -> ApiError {
    ApiError::Refused {
        step,
        peer: peer.to_owned(),
        status: 200,
        detail: format!("cannot parse the response: {detail}; check that the versions match"),
    }
}

fn refused(step: &'static str, peer: &str, response: &Answer) -> ApiError {
    let problem: Option<Problem> = serde_json::from_slice(&response.body).ok();
    ApiError::Refused {
        step,
        peer: peer.to_owned(),
        status: response.status.as_u16(),
        detail: problem.map_or_else(String::new, |p| p.detail),
    }
}

fn expect_ok(step: &'static str, peer: &str, response: Answer) -> Result<Answer, ApiError> {
    match response.status.is_success() {
        true => Ok(response),
        false => Err(refused(step, peer, &response)),
    }
}
