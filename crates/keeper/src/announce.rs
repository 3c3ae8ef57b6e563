//! HTTP handlers for the table of endpoints that serve routes.

use std::sync::Arc;

use host::{problem::Problem, settings::check_announce_token};
use membership::{AnnounceError, Announcement, Readiness};
use salvo::{Depot, Request, Response, handler};

use crate::{
    api_state::{ApiState, api_state, json, unavailable},
    request_body,
};

/// `POST /v1/announce`: adds or refreshes one endpoint.
#[handler]
pub(crate) async fn post(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let api = api_state(depot);
    match announce(&api, req).await {
        Ok(announced) => json(res, &announced),
        Err(problem) => problem.render(res),
    }
}

/// `GET /v1/endpoints`: lists the known endpoints.
#[handler]
pub(crate) async fn list(depot: &mut Depot, res: &mut Response) {
    match api_state(depot).service.table() {
        Some(table) => json(res, &table.list()),
        None => no_table().render(res),
    }
}

async fn announce(
    api: &Arc<ApiState>,
    req: &mut Request,
) -> Result<membership::AnnounceResponse, Problem> {
    let table = api.service.table().ok_or_else(no_table)?;
    check_announce_token(api.announce_token.as_ref(), req.headers()).map_err(|e| *e)?;
    let mut body = request_body::read(req, &api.bodies.announcements).await?;
    let bytes = body.take_bytes();
    let announcement: Announcement = serde_json::from_slice(&bytes).map_err(|e| {
        let what = format!("the body is not a valid announcement: {e}");
        Problem::new(400, "bad-body", "Bad body", what)
    })?;
    let (name, incarnation) = (announcement.endpoint.clone(), announcement.incarnation);
    let is_leaving = announcement.state == Readiness::Leaving;
    let announced = table
        .announce(announcement)
        .map_err(|e| announce_problem(&e))?;
    match is_leaving && !api.service.record_departure(&name, incarnation).await {
        true => Err(unavailable(&api.service, "store the departure")),
        false => Ok(announced),
    }
}

fn no_table() -> Problem {
    let none = "this keeper has no endpoint table";
    Problem::new(404, "no-table", "No table", none)
}

fn announce_problem(e: &AnnounceError) -> Problem {
    let (status, kind, title) = e.heading();
    Problem::new(status, kind, title, e.to_string())
}
