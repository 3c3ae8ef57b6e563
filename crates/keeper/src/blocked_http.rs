//! HTTP handlers for operators that list and unblock parts of prompts.

use host::{problem::Problem, time::format_utc};
use link::keeper::{KeeperReply, KeeperRequest};
use operators::{
    BlockedEntry, BlockedList, UnblockRequest, Unblocked, UnblockedEntry, format_part, parse_part,
};
use salvo::{Depot, Request, Response, handler};

use crate::{
    api_state::{ApiState, api_state, authorize, bad_request, json, unavailable},
    blocked_parts::{BLOCK_DURATION, BlockedParts},
    error_response::ErrorResponse,
    request_body,
    service::{Origin, millis},
};

/// `GET /v1/blocked-parts`: lists the blocked parts and those unblocked most recently.
#[handler]
pub(crate) async fn list(depot: &mut Depot, res: &mut Response) {
    let service = &api_state(depot).service;
    match service.is_current().await {
        true => json(
            res,
            &service.state().read(|state| to_list(&state.blocked_parts)),
        ),
        false => unavailable(service, "list the blocked parts").render(res),
    }
}

/// `POST /v1/blocked-parts/{part}/unblock`: unblocks a part.
#[handler]
pub(crate) async fn unblock(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    match unblock_part(&api_state(depot), req).await {
        Ok(unblocked) => json(res, &unblocked),
        Err(e) => e.render(res),
    }
}

async fn unblock_part(api: &ApiState, req: &mut Request) -> Result<Unblocked, ErrorResponse> {
    let operator = authorize(api, req)?;
    let part = req.param::<String>("part").unwrap_or_default();
    let part = parse_part(&part).map_err(|e| bad_request(&e))?;
    let mut held = request_body::read(req, &api.bodies.operators).await?;
    let bytes = held.take_bytes();
    let body: UnblockRequest =
        serde_json::from_slice(&bytes).map_err(|e| bad_request(&e.to_string()))?;
    let req = KeeperRequest::UnblockPart {
        part,
        author: operator.unwrap_or(body.author),
        reason: body.reason,
    };
    match api.service.handle(req, Origin::Client).await {
        KeeperReply::PartUnblocked { existed } => Ok(Unblocked { existed }),
        KeeperReply::Invalid(why) => {
            Err(Problem::new(409, "unblock-refused", "Unblock refused", why).into())
        }
        _ => Err(unavailable(&api.service, "unblock the part").into()),
    }
}

fn to_list(parts: &BlockedParts) -> BlockedList {
    let blocked = parts.blocks().iter().map(|(part, block)| BlockedEntry {
        part: format_part(*part),
        service: block.service.clone(),
        crashes: block.crashes,
        endpoints: block.endpoints.clone(),
        requests: block.requests.clone(),
        source: block.source.clone(),
        blocked_at: format_utc(block.decided_ms),
        expires_at: format_utc(block.renewed_ms + millis(BLOCK_DURATION)),
    });
    let unblocked = parts.unblocks().iter().map(|(part, last)| UnblockedEntry {
        part: format_part(*part),
        author: last.author.clone(),
        reason: last.reason.clone(),
        unblocked_at: format_utc(last.at_ms),
    });
    BlockedList {
        version: parts.version(),
        blocked: blocked.collect(),
        unblocked: unblocked.collect(),
    }
}
