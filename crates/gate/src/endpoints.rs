//! HTTP interface for endpoints.

use std::sync::Arc;

use host::problem::Problem;
use membership::{AnnounceError, Announcement};
use routing::CacheEvents;
use salvo::{
    handler,
    http::header::{AUTHORIZATION, HeaderValue},
    prelude::{Request, Response},
};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::{callers::json_body, gate::Gate};

/// Largest announcement or batch of cache events, in bytes.
const MAX_BODY: usize = 256 << 10;

/// `POST /v1/announce`.
#[derive(Debug)]
pub(crate) struct Announce(pub(crate) Arc<Gate>);

#[handler]
impl Announce {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let announcement: Announcement = match read(&self.0, req).await {
            Ok(announcement) => announcement,
            Err(problem) => return problem.render(res),
        };
        match self.0.route.table().announce(announcement) {
            Ok(announced) => json_body(res, serde_json::to_vec(&announced).unwrap_or_default()),
            Err(e) => refusal(&e).render(res),
        }
    }
}

fn refusal(e: &AnnounceError) -> Problem {
    let (status, kind, title) = match e {
        AnnounceError::Invalid { .. } => (400, "bad-announcement", "Bad announcement"),
        AnnounceError::Full { .. } => (503, "table-full", "Table full"),
        AnnounceError::Superseded { .. } => (409, "superseded", "Superseded"),
    };
    Problem::new(status, kind, title, e.to_string())
}

/// `POST /v1/cache-events`.
#[derive(Debug)]
pub(crate) struct Cache(pub(crate) Arc<Gate>);

#[handler]
impl Cache {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let events: CacheEvents = match read(&self.0, req).await {
            Ok(events) => events,
            Err(problem) => return problem.render(res),
        };
        self.0.route.router().cache_events(events);
        json_body(res, b"{}".to_vec());
    }
}

/// `GET /v1/endpoints`.
#[derive(Debug)]
pub(crate) struct List(pub(crate) Arc<Gate>);

#[handler]
impl List {
    fn handle(&self, res: &mut Response) {
        let endpoints = self.0.route.table().list();
        json_body(res, serde_json::to_vec(&endpoints).unwrap_or_default());
    }
}

/// Checks the token and reads a bounded JSON body; unknown members are ignored.
async fn read<T: DeserializeOwned>(gate: &Gate, req: &mut Request) -> Result<T, Problem> {
    if let Some(token) = &gate.cfg.security.announce_token {
        let presented = req.headers().get(AUTHORIZATION).map(HeaderValue::as_bytes);
        let presented = presented.and_then(|v| v.strip_prefix(b"Bearer "));
        if !presented.is_some_and(|p| token.matches(p)) {
            let what = "send the announce token as `Authorization: Bearer …`";
            return Err(Problem::new(
                401,
                "no-token",
                "Token missing or wrong",
                what,
            ));
        }
    }
    let reading = timeout(gate.cfg.timing.body, req.payload_with_max_size(MAX_BODY));
    let bytes = match reading.await {
        Err(_) => {
            let what = "the body did not arrive in time";
            return Err(Problem::new(408, "body-too-slow", "Body too slow", what));
        }
        Ok(Err(salvo::http::ParseError::PayloadTooLarge)) => {
            let what = format!("the body is larger than {MAX_BODY} bytes");
            return Err(Problem::new(413, "body-too-large", "Body too large", what));
        }
        Ok(Err(e)) => return Err(Problem::new(400, "bad-body", "Bad body", e.to_string())),
        Ok(Ok(bytes)) => bytes,
    };
    serde_json::from_slice(bytes).map_err(|e| {
        let what = format!("the body is not what is expected here: {e}");
        Problem::new(400, "bad-body", "Bad body", what)
    })
}
