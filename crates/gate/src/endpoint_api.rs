//! HTTP API for endpoints.

use std::sync::Arc;

use host::{problem::Problem, settings::check_announce_token};
use membership::{AnnounceError, Announcement};
use routing::CacheEvents;
use salvo::{
    handler,
    prelude::{Request, Response},
};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::{body, caller_api::json_body, gate::Gate};

/// Largest announcement or batch of cache events, in bytes.
pub(crate) const MAX_BODY: usize = 256 << 10;

/// Handler of `POST /v1/announce`.
#[derive(Debug)]
pub(crate) struct Announce(pub(crate) Arc<Gate>);

#[handler]
impl Announce {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let announcement: Announcement = match read(&self.0, req).await {
            Ok(announcement) => announcement,
            Err(problem) => return problem.render(res),
        };
        match self.0.routing.table().announce(announcement) {
            Ok(announced) => json_body(res, serde_json::to_vec(&announced).unwrap_or_default()),
            Err(e) => refusal(&e).render(res),
        }
    }
}

fn refusal(e: &AnnounceError) -> Problem {
    let (status, kind, title) = e.heading();
    Problem::new(status, kind, title, e.to_string())
}

/// Handler of `POST /v1/cache-events`.
#[derive(Debug)]
pub(crate) struct CacheUpdates(pub(crate) Arc<Gate>);

#[handler]
impl CacheUpdates {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let events: CacheEvents = match read(&self.0, req).await {
            Ok(events) => events,
            Err(problem) => return problem.render(res),
        };
        self.0.routing.router().cache_events(events);
        json_body(res, b"{}".to_vec());
    }
}

/// Handler of `GET /v1/endpoints`.
#[derive(Debug)]
pub(crate) struct EndpointList(pub(crate) Arc<Gate>);

#[handler]
impl EndpointList {
    fn handle(&self, res: &mut Response) {
        let endpoints = self.0.routing.table().list();
        json_body(res, serde_json::to_vec(&endpoints).unwrap_or_default());
    }
}

/// Checks the token and reads a JSON body of limited size. Unknown members are ignored.
async fn read<T: DeserializeOwned>(gate: &Gate, req: &mut Request) -> Result<T, Problem> {
    let token = gate.cfg.security.announce_token.as_ref();
    check_announce_token(token, req.headers()).map_err(|e| *e)?;
    let reading = body::read(MAX_BODY, &gate.announcement_memory, req);
    let Ok(read) = timeout(gate.cfg.timing.body, reading).await else {
        let detail = "the body did not arrive in time";
        return Err(Problem::new(408, "body-too-slow", "Body too slow", detail));
    };
    // Announcements and events have no outcome, unlike the requests of callers.
    let (bytes, _memory) = read.map_err(|problem| Problem {
        outcome: None,
        ..*problem
    })?;
    serde_json::from_slice(&bytes).map_err(|e| {
        let detail = format!("the body is invalid: {e}");
        Problem::new(400, "bad-body", "Bad body", detail)
    })
}
