//! HTTP interface for endpoints that take requests of routes.

use std::sync::Arc;

use host::{problem::Problem, settings::check_announcer};
use membership::{AnnounceError, Announcement};
use salvo::{Depot, Request, Response, handler};

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

async fn announce(
    pages: &Arc<Pages>,
    req: &mut Request,
) -> Result<membership::AnnounceResponse, Problem> {
    let table = pages.service.table().ok_or_else(no_table)?;
    check_announcer(pages.announce_token.as_ref(), req.headers()).map_err(|e| *e)?;
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
    let (status, kind, title) = e.heading();
    Problem::new(status, kind, title, e.to_string())
}
