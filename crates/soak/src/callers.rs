//! Callers that send requests until the soak ends, and the checks of the answers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bench::stand_in::STREAM_EVENTS;
use host::client::{Answer, Client, ClientError, build_request};
use hyper::Request;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::{
    fleet::CONFIRMED_MS,
    gate_faults::GateFaults,
    operator::{KEY, RevocationTime, TEMPORARY_KEY},
    results::Results,
};

/// Number of concurrent callers.
pub(crate) const CALLER_COUNT: usize = 10;
/// Deadline sent with each request, in milliseconds.
const DEADLINE_MS: u64 = 2_500;
/// Time after the deadline within which an answer still counts as in time.
const RESPONSE_GRACE: Duration = Duration::from_millis(1_500);
/// The HTTP client's own timeout.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after [`CONFIRMED_MS`] during which a gate may still accept a revoked key.
const REVOCATION_SLACK: Duration = Duration::from_millis(700);

/// A kind of request; each has its route in [`crate::operator::declaration`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Must not be repeated.
    Desk,
    /// May be repeated.
    Look,
    /// A stream that another endpoint resumes after a failure.
    Chat,
    /// A stream whose inputs are produced by two stages.
    Plan,
}

impl Kind {
    pub(crate) const ALL: [Self; 4] = [Self::Desk, Self::Look, Self::Chat, Self::Plan];

    fn path(self) -> &'static str {
        match self {
            Self::Desk => "/desk/berth",
            Self::Look => "/look/berth",
            Self::Chat => "/chat/radio",
            Self::Plan => "/plan/convoy",
        }
    }

    fn is_stream(self) -> bool {
        matches!(self, Self::Chat | Self::Plan)
    }
}

/// The result of a request that must not be repeated; `status` is `None` if no answer came.
#[derive(Clone, Debug)]
pub(crate) struct Booking {
    pub(crate) id: String,
    pub(crate) status: Option<u16>,
}

/// State shared by all callers.
#[derive(Clone, Debug)]
pub(crate) struct Callers {
    pub(crate) seed: u64,
    pub(crate) gate_addresses: Vec<SocketAddr>,
    pub(crate) results: Arc<Results>,
    /// If true, late and missing answers of undisturbed gates are violations.
    pub(crate) check_latency: bool,
    pub(crate) gate_faults: GateFaults,
    pub(crate) revocation_time: RevocationTime,
    pub(crate) bookings: Arc<Mutex<Vec<Booking>>>,
}

/// A request and when it was sent.
struct SentRequest<'a> {
    kind: Kind,
    id: &'a str,
    gate: usize,
    at: Instant,
    key: &'static str,
}

impl Callers {
    /// Sends random requests of one caller, one at a time, until `end`.
    pub(crate) async fn send_until(self, caller: usize, end: Instant) {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ (caller as u64 + 1).rotate_left(32));
        let client = Client::new(CLIENT_TIMEOUT);
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            let id = format!("{}-{caller}-{number}", self.seed);
            let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
            let uses_temporary_key = kind == Kind::Look && rng.random_bool(0.3);
            let sent = SentRequest {
                kind,
                id: &id,
                gate: rng.random_range(0..self.gate_addresses.len()),
                at: Instant::now(),
                key: if uses_temporary_key {
                    TEMPORARY_KEY
                } else {
                    KEY
                },
            };
            let result = send(&client, self.gate_addresses[sent.gate], &sent).await;
            self.check(&sent, &result);
            sleep(Duration::from_millis(rng.random_range(5..60))).await;
        }
    }

    /// Sends a request of `kind` to `gate`; returns true if it was answered with 200.
    pub(crate) async fn is_served(&self, gate: usize, kind: Kind, id: &str) -> bool {
        let sent = SentRequest {
            kind,
            id,
            gate,
            at: Instant::now(),
            key: KEY,
        };
        let result = send(
            &Client::new(CLIENT_TIMEOUT),
            self.gate_addresses[gate],
            &sent,
        )
        .await;
        self.check(&sent, &result);
        result.is_ok_and(|answer| answer.status.as_u16() == 200)
    }

    fn check(&self, sent: &SentRequest<'_>, result: &Result<Answer, ClientError>) {
        let status = result.as_ref().ok().map(|answer| answer.status.as_u16());
        self.results.count_response(status);
        if sent.kind == Kind::Desk {
            let mut bookings = self.bookings.lock().expect("no holder of this lock panics");
            bookings.push(Booking {
                id: sent.id.to_owned(),
                status,
            });
        }
        let elapsed = sent.at.elapsed();
        let is_strict = self
            .gate_faults
            .is_undisturbed(sent.gate, sent.at, Instant::now())
            && self.check_latency;
        let describe = |details: String| {
            format!(
                "{:?} {} at gate {} after {elapsed:?}: {details}",
                sent.kind, sent.id, sent.gate
            )
        };
        let late = elapsed > Duration::from_millis(DEADLINE_MS) + RESPONSE_GRACE;
        if late && is_strict {
            self.results
                .record("an answer comes in time", describe(format!("{status:?}")));
        }
        match result {
            Err(e) if is_strict && !sent.kind.is_stream() => {
                self.results
                    .record("every request is answered", describe(e.to_string()));
            }
            Err(_) => {}
            Ok(answer) => self.check_answer(sent, answer, &describe),
        }
    }

    fn check_answer(
        &self,
        sent: &SentRequest<'_>,
        answer: &Answer,
        describe: &dyn Fn(String) -> String,
    ) {
        let body = String::from_utf8_lossy(&answer.body);
        let status = answer.status.as_u16();
        match status {
            200 if sent.key == TEMPORARY_KEY && self.is_revoked(sent.at) => {
                let rule = "a revoked key is not taken any more";
                self.results.record(rule, describe(body.into_owned()));
            }
            200 => {
                if let Err(error) = verify_answer(sent, answer, &body) {
                    let rule = "an answer is whole and the caller's own";
                    self.results
                        .record(rule, describe(format!("{error}: {body}")));
                }
            }
            401 if sent.key == KEY => {
                self.results
                    .record("a known key is not denied", describe(body.into_owned()));
            }
            404 => self.results.record(
                "a declared route is not denied",
                describe(body.into_owned()),
            ),
            503 if !answer.headers.contains_key("retry-after") => {
                let rule = "a refusal says when to come back";
                self.results.record(rule, describe(body.into_owned()));
            }
            _ => {}
        }
    }

    /// Returns true if a request sent at `sent_at` must be denied for [`TEMPORARY_KEY`].
    fn is_revoked(&self, sent_at: Instant) -> bool {
        let slack = Duration::from_millis(CONFIRMED_MS) + REVOCATION_SLACK;
        self.revocation_time
            .get()
            .is_some_and(|revoked| sent_at > revoked + slack)
    }
}

async fn send(
    client: &Client,
    gate: SocketAddr,
    sent: &SentRequest<'_>,
) -> Result<Answer, ClientError> {
    let url = format!("http://{gate}{}", sent.kind.path());
    let mut builder = Request::post(&url)
        .header("jujube-request", sent.id)
        .header("jujube-deadline-ms", DEADLINE_MS)
        .header("authorization", format!("Bearer {}", sent.key));
    if sent.kind.is_stream() {
        builder = builder.header("accept", "text/event-stream");
    }
    if sent.kind == Kind::Plan {
        builder = builder
            .header("jujube-items", "2,1")
            .header("jujube-item-key", sent.id);
    }
    client
        .send(build_request(builder, sent.id.to_owned().into(), &url)?)
        .await
}

/// Checks that a 200 answer is complete and belongs to `sent`; returns what differs.
fn verify_answer(sent: &SentRequest<'_>, answer: &Answer, body: &str) -> Result<(), String> {
    let echoed = answer.headers.get("jujube-request");
    if echoed.is_none_or(|id| id.as_bytes() != sent.id.as_bytes()) {
        return Err(format!("names {echoed:?}"));
    }
    if sent.kind.is_stream() {
        let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
        let ids: Vec<u64> = ids.filter_map(|id| id.parse().ok()).collect();
        let is_complete = ids.iter().copied().eq(1..=STREAM_EVENTS);
        let input = format!("/{}-1-0", sent.id);
        let has_own_inputs = sent.kind != Kind::Plan || body.contains(&input);
        return match (is_complete, has_own_inputs) {
            (true, true) => Ok(()),
            (false, _) => Err(format!("events {ids:?}")),
            (_, false) => Err("not from its own inputs".to_owned()),
        };
    }
    let echo: Value = serde_json::from_str(body).map_err(|e| e.to_string())?;
    let is_match = echo["body"] == sent.id && echo["path"] == sent.kind.path();
    is_match
        .then_some(())
        .ok_or_else(|| "another request's".to_owned())
}
