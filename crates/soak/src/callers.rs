//! Callers that keep asking, and what their answers must be.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bench::stand_in::EVENTS;
use host::client::{Answer, Client, ClientError, build_request};
use hyper::Request;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::{
    fleet::CONFIRMED_MS,
    operator::{KEY, LEAVER_KEY, Revoked},
    run::Quiet,
    verdict::Verdict,
};

/// Callers at one time.
pub(crate) const CALLERS: usize = 10;
/// How long a caller waits, in milliseconds; told in each request.
const DEADLINE_MS: u64 = 2_500;
/// Time beyond the deadline within which an answer still arrives.
const GRACE: Duration = Duration::from_millis(1_500);
/// Bound on the client's own wait.
const CLIENT_LIMIT: Duration = Duration::from_secs(10);
/// Time beyond the confirmation's in which a revoked key may still be taken.
const REVOKE_SLACK: Duration = Duration::from_millis(700);

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// One that may not be repeated.
    Desk,
    /// One that may.
    Look,
    /// A stream that goes on elsewhere.
    Chat,
    /// A stream behind two stages.
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

/// What became of a request that may not be repeated.
#[derive(Clone, Debug)]
pub(crate) struct Booked {
    pub(crate) id: String,
    pub(crate) status: Option<u16>,
}

/// What the callers share.
#[derive(Clone, Debug)]
pub(crate) struct Callers {
    pub(crate) seed: u64,
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) verdict: Arc<Verdict>,
    /// Whether lateness counts.
    pub(crate) is_timed: bool,
    pub(crate) quiet: Quiet,
    pub(crate) revoked: Revoked,
    pub(crate) booked: Arc<Mutex<Vec<Booked>>>,
}

/// One request on its way.
struct Sent<'a> {
    kind: Kind,
    id: &'a str,
    gate: usize,
    at: Instant,
    key: &'static str,
}

impl Callers {
    /// Asks until `end`.
    pub(crate) async fn ask_until(self, caller: usize, end: Instant) {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ (caller as u64 + 1).rotate_left(32));
        let client = Client::new(CLIENT_LIMIT);
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            let id = format!("{}-{caller}-{number}", self.seed);
            let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
            let is_leaver = kind == Kind::Look && rng.random_bool(0.3);
            let sent = Sent {
                kind,
                id: &id,
                gate: rng.random_range(0..self.entries.len()),
                at: Instant::now(),
                key: if is_leaver { LEAVER_KEY } else { KEY },
            };
            let result = send(&client, self.entries[sent.gate], &sent).await;
            self.check(&sent, &result);
            sleep(Duration::from_millis(rng.random_range(5..60))).await;
        }
    }

    /// Whether `gate` serves a request of `kind`.
    pub(crate) async fn is_served(&self, gate: usize, kind: Kind, id: &str) -> bool {
        let sent = Sent {
            kind,
            id,
            gate,
            at: Instant::now(),
            key: KEY,
        };
        let result = send(&Client::new(CLIENT_LIMIT), self.entries[gate], &sent).await;
        self.check(&sent, &result);
        result.is_ok_and(|answer| answer.status.as_u16() == 200)
    }

    fn check(&self, sent: &Sent<'_>, result: &Result<Answer, ClientError>) {
        let status = result.as_ref().ok().map(|answer| answer.status.as_u16());
        self.verdict.count(status);
        if sent.kind == Kind::Desk {
            let mut booked = self.booked.lock().expect("no holder of this lock panics");
            booked.push(Booked {
                id: sent.id.to_owned(),
                status,
            });
        }
        let took = sent.at.elapsed();
        let is_quiet = self.quiet.is_quiet(sent.gate, sent.at, Instant::now()) && self.is_timed;
        let told = |what: String| {
            format!(
                "{:?} {} at gate {} after {took:?}: {what}",
                sent.kind, sent.id, sent.gate
            )
        };
        let late = took > Duration::from_millis(DEADLINE_MS) + GRACE;
        if late && is_quiet {
            self.verdict
                .broken("an answer comes in time", told(format!("{status:?}")));
        }
        match result {
            Err(e) if is_quiet && !sent.kind.is_stream() => {
                self.verdict
                    .broken("every request is answered", told(e.to_string()));
            }
            Err(_) => {}
            Ok(answer) => self.check_answer(sent, answer, &told),
        }
    }

    fn check_answer(&self, sent: &Sent<'_>, answer: &Answer, told: &dyn Fn(String) -> String) {
        let body = String::from_utf8_lossy(&answer.body);
        let status = answer.status.as_u16();
        match status {
            200 if sent.key == LEAVER_KEY && self.is_gone(sent.at) => {
                let rule = "a revoked key is not taken any more";
                self.verdict.broken(rule, told(body.into_owned()));
            }
            200 => {
                if let Err(why) = is_own(sent, answer, &body) {
                    let rule = "an answer is whole and the caller's own";
                    self.verdict.broken(rule, told(format!("{why}: {body}")));
                }
            }
            401 if sent.key == KEY => {
                self.verdict
                    .broken("a known key is not denied", told(body.into_owned()));
            }
            404 => self
                .verdict
                .broken("a declared route is not denied", told(body.into_owned())),
            503 if !answer.headers.contains_key("retry-after") => {
                let rule = "a refusal says when to come back";
                self.verdict.broken(rule, told(body.into_owned()));
            }
            _ => {}
        }
    }

    /// Whether the leaver's key must not be taken from a request sent at `at`.
    fn is_gone(&self, at: Instant) -> bool {
        let slack = Duration::from_millis(CONFIRMED_MS) + REVOKE_SLACK;
        self.revoked
            .at()
            .is_some_and(|revoked| at > revoked + slack)
    }
}

async fn send(client: &Client, gate: SocketAddr, sent: &Sent<'_>) -> Result<Answer, ClientError> {
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

/// Whether a good answer is whole and of this request.
fn is_own(sent: &Sent<'_>, answer: &Answer, body: &str) -> Result<(), String> {
    let echoed = answer.headers.get("jujube-request");
    if echoed.is_none_or(|id| id.as_bytes() != sent.id.as_bytes()) {
        return Err(format!("names {echoed:?}"));
    }
    if sent.kind.is_stream() {
        let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
        let ids: Vec<u64> = ids.filter_map(|id| id.parse().ok()).collect();
        let is_whole = ids.iter().copied().eq(1..=EVENTS);
        let input = format!("/{}-1-0", sent.id);
        let is_fed = sent.kind != Kind::Plan || body.contains(&input);
        return match (is_whole, is_fed) {
            (true, true) => Ok(()),
            (false, _) => Err(format!("events {ids:?}")),
            (_, false) => Err("not from its own inputs".to_owned()),
        };
    }
    let echo: Value = serde_json::from_str(body).map_err(|e| e.to_string())?;
    let is_own = echo["body"] == sent.id && echo["path"] == sent.kind.path();
    is_own
        .then_some(())
        .ok_or_else(|| "another request's".to_owned())
}
