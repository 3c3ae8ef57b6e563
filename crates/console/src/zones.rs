//! Reads the orders about availability zones, and gives new ones.

use std::time::Duration;

use declaration::Document;
use link::keeper::{KeeperReply, KeeperRequest, ZoneOrder};
use salvo::{Depot, Request, Response, handler, http::StatusCode};

use crate::{
    app::{App, app},
    guard::{self, form_value},
    pages::{layout::message, zones::Zones},
    session::Session,
};

/// Timeout of the query for the orders.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);
/// Title of the pages that show the result of an order.
const TITLE: &str = "Availability zones";

/// Returns the declared zones and those with an order, or why they can't be read.
pub(crate) async fn query(app: &App, declared: &Document) -> Result<Zones, String> {
    let req = KeeperRequest::Evacuations;
    let ordered = match app.keepers.request(&req, QUERY_TIMEOUT).await {
        Ok(KeeperReply::Evacuations { zones, .. }) => zones,
        Ok(_) => return Err("a keeper sent a response of an unexpected kind".to_owned()),
        Err(e) => return Err(e.to_string()),
    };
    let declared = declared.sections.keys();
    let declared = declared.filter(|id| id.kind == "availability-zone");
    let mut zones: Zones = declared.map(|id| (id.name.clone(), None)).collect();
    zones.extend(ordered.into_iter().map(|z| (z.order.zone.clone(), Some(z))));
    Ok(zones)
}

/// `POST /evacuate`: evacuates a zone, after checking session, origin and form token.
#[handler]
pub(crate) async fn evacuate(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    order(req, depot, res, true).await;
}

/// `POST /return`: withdraws the evacuation of a zone, after the same checks.
#[handler]
pub(crate) async fn end_evacuation(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    order(req, depot, res, false).await;
}

async fn order(req: &mut Request, depot: &Depot, res: &mut Response, is_evacuated: bool) {
    let app = app(depot);
    let Some(session) = guard::session(&app, req, res) else {
        return;
    };
    let presented = form_value(req, "form_token").await;
    if !guard::is_own_form(req.headers(), &session, &presented) {
        return guard::refuse_form(res);
    }
    let order = match read_form(&app, req, &session, is_evacuated).await {
        Ok(order) => order,
        Err(what) => return message(res, StatusCode::BAD_REQUEST, TITLE, &what),
    };
    let req = KeeperRequest::Evacuate(order);
    let (status, text) = match app.keepers.request(&req, ORDER_TIMEOUT).await {
        Ok(KeeperReply::Evacuated { changed: true, .. }) => {
            let text =
                "The order is committed: gates in contact with the keepers obey it within 5 s.";
            (StatusCode::OK, text.to_owned())
        }
        Ok(KeeperReply::Evacuated { changed: false, .. }) => (
            StatusCode::OK,
            "The zone was in this state already.".to_owned(),
        ),
        Ok(KeeperReply::Invalid(what)) => (StatusCode::BAD_REQUEST, what),
        Ok(_) => {
            let text =
                "A keeper sent a response of an unexpected kind; check that the versions match.";
            (StatusCode::BAD_GATEWAY, text.to_owned())
        }
        Err(e) => (StatusCode::SERVICE_UNAVAILABLE, e.to_string()),
    };
    message(res, status, TITLE, &text);
}

/// Reads the order. Fails unless the zone is declared or has an order, and the form says who gives the
/// order, and why.
async fn read_form(
    app: &App,
    req: &mut Request,
    session: &Session,
    is_evacuated: bool,
) -> Result<ZoneOrder, String> {
    let zone = form_value(req, "zone").await;
    let author = match &session.operator {
        Some(operator) => operator.clone(),
        None => form_value(req, "author").await.trim().to_owned(),
    };
    let reason = form_value(req, "reason").await.trim().to_owned();
    if author.is_empty() || reason.is_empty() {
        return Err(format!("{zone}: say who gives the order, and why."));
    }
    let in_force = app.in_force().ok_or("no declaration is known yet")?;
    let zones = query(app, &in_force.document).await?;
    match zones.contains_key(&zone) {
        true => Ok(ZoneOrder {
            zone,
            is_evacuated,
            author,
            reason,
        }),
        false => Err(format!("{zone}: no such zone is declared.")),
    }
}
