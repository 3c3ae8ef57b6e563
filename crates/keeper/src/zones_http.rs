//! HTTP handlers for operators that evacuate availability zones and return to them.

use host::{problem::Problem, time::format_utc};
use link::keeper::{KeeperReply, KeeperRequest, OrderedZone, ZoneOrder};
use membership::Table;
use operators::{ZoneEntry, ZoneList, ZoneOrdered, ZoneRequest};
use salvo::{Depot, Request, Response, handler};

use crate::{
    api_state::{ApiState, api_state, authorize, bad_request, json, unavailable},
    error_response::ErrorResponse,
    request_body,
    service::{Origin, Service},
};

/// `GET /v1/zones`: lists the zones that are or were evacuated.
#[handler]
pub(crate) async fn list(depot: &mut Depot, res: &mut Response) {
    let service = &api_state(depot).service;
    match service
        .handle(KeeperRequest::Evacuations, Origin::Client)
        .await
    {
        KeeperReply::Evacuations { version, zones } => {
            let zones = zones.into_iter().map(to_entry).collect();
            json(res, &ZoneList { version, zones });
        }
        _ => unavailable(service, "list the zones").render(res),
    }
}

/// `POST /v1/zones/{zone}/evacuate`: evacuates a zone.
#[handler]
pub(crate) async fn evacuate(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    match order(&api_state(depot), req, true).await {
        Ok(ordered) => json(res, &ordered),
        Err(e) => e.render(res),
    }
}

/// `POST /v1/zones/{zone}/return`: withdraws the evacuation of a zone.
#[handler]
pub(crate) async fn end_evacuation(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    match order(&api_state(depot), req, false).await {
        Ok(ordered) => json(res, &ordered),
        Err(e) => e.render(res),
    }
}

async fn order(
    api: &ApiState,
    req: &mut Request,
    is_evacuated: bool,
) -> Result<ZoneOrdered, ErrorResponse> {
    let operator = authorize(api, req)?;
    let zone = req.param::<String>("zone").unwrap_or_default();
    let mut held = request_body::read(req, &api.bodies.operators).await?;
    let bytes = held.take_bytes();
    let body: ZoneRequest =
        serde_json::from_slice(&bytes).map_err(|e| bad_request(&e.to_string()))?;
    check_known(&api.service, &zone).await?;
    let order = KeeperRequest::Evacuate(ZoneOrder {
        zone,
        is_evacuated,
        author: operator.unwrap_or(body.author),
        reason: body.reason,
    });
    match api.service.handle(order, Origin::Client).await {
        KeeperReply::Evacuated { version, changed } => Ok(ZoneOrdered { version, changed }),
        KeeperReply::Invalid(why) => {
            Err(Problem::new(409, "order-refused", "Order refused", why).into())
        }
        _ => Err(unavailable(&api.service, "order the zone").into()),
    }
}

/// Fails if the declaration names zones, and neither it, an endpoint, a keeper nor an earlier order
/// names `zone`.
async fn check_known(service: &Service, zone: &str) -> Result<(), ErrorResponse> {
    if !service.is_current().await {
        return Err(unavailable(service, "read the zones").into());
    }
    let (declared, has_order) = service.state().read(|state| {
        let sections = state.declaration.document().sections.keys();
        let zones = sections.filter(|id| id.kind == "availability-zone");
        let zones: Vec<String> = zones.map(|id| id.name.clone()).collect();
        (zones, state.evacuations.has_order(zone))
    });
    let endpoints = service.table().map(Table::list);
    let mut endpoints = endpoints.iter().flatten();
    let keepers = service.keepers();
    let is_known = declared.is_empty()
        || has_order
        || declared.iter().any(|name| name == zone)
        || endpoints.any(|endpoint| endpoint.az == zone)
        || keepers
            .iter()
            .any(|keeper| keeper.az.as_deref() == Some(zone));
    match is_known {
        true => Ok(()),
        false => {
            let detail = format!(
                "no zone `{zone}`; the declaration names {}",
                declared.join(", ")
            );
            Err(Problem::new(404, "unknown-zone", "Unknown zone", detail).into())
        }
    }
}

fn to_entry(zone: OrderedZone) -> ZoneEntry {
    ZoneEntry {
        zone: zone.order.zone,
        is_evacuated: zone.order.is_evacuated,
        author: zone.order.author,
        reason: zone.order.reason,
        ordered_at: format_utc(zone.at_ms),
    }
}
