//! HTTP interface for endpoints that take requests of routes.

use std::sync::Arc;

use host::problem::Problem;
use membership::{AnnounceError, Announcement};
use salvo::{
    Depot, Request, Response, handler,
    http::header::{AUTHORIZATION, HeaderValue},
};

use crate::{
    pages::{Pages, json, pages},
    payload,
};

/// `POST /v1/announce`.
#[handler]
pub(crate) async fn post(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let pages = pages(depot);
    match announce(&pages, req).await {
        Ok(announced) => json(res, &announced),
        Err(problem) => problem.render(res),
    }
}

/// `GET /v1/endpoints`.
#[handler]
pub(crate) async fn list(depot: &mut Depot, res: &mut Response) {
    match pages(depot).service.table() {
        Some(table) => json(res, &table.list()),
        None => no_table().render(res),
    }
}

async fn announce(pages: &Arc<Pages>, req: &mut Request) -> Result<membership::Announced, Problem> {
    let table = pages.service.table().ok_or_else(no_table)?;
    if let Some(token) = &pages.announce_token {
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
    let bytes = payload::read(req).await?;
    let announcement: Announcement = serde_json::from_slice(&bytes).map_err(|e| {
        let what = format!("the body is no announcement: {e}");
        Problem::new(400, "bad-body", "Bad body", what)
    })?;
    table.announce(announcement).map_err(|e| refusal(&e))
}

fn no_table() -> Problem {
    let none = "this keeper keeps no endpoints' table";
    Problem::new(404, "no-table", "No table", none)
}

fn refusal(e: &AnnounceError) -> Problem {
    let (status, kind, title) = match e {
        AnnounceError::Invalid { .. } => (400, "bad-announcement", "Bad announcement"),
        AnnounceError::Full { .. } => (503, "table-full", "Table full"),
        AnnounceError::Superseded { .. } => (409, "superseded", "Superseded"),
    };
    Problem::new(status, kind, title, e.to_string())
}
