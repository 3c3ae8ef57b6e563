//! Checks, labels and log commands of the requests of keepers' clients.

use std::{borrow::Cow, time::Duration};

use link::keeper::{
    BlockedPart, Departure, KeeperRequest, MAX_BLOCK_EVIDENCE, MAX_DEPARTURES_PER_MESSAGE, Output,
    Settle, Settlement, ZoneOrder,
};

use crate::{
    entry::{Command, DIGEST_BYTES, GrantIntent},
    service::millis,
    shared_state::SharedState,
};

/// Maximum length of a service's stored error detail.
const MAX_DETAIL_BYTES: usize = 1_024;
/// Maximum length of a name in a block, an unblock, a departure or an order about a zone.
const MAX_NAME_BYTES: usize = 256;
/// Maximum length of the reason of an unblock or of an order about a zone.
const MAX_REASON_BYTES: usize = 1_024;
/// Maximum time for which an intent may be granted.
const MAX_EXPIRES: Duration = Duration::from_mins(10);

/// Rejects invalid requests and truncates what is too large to store.
pub(crate) fn prepare(req: KeeperRequest, max_output_bytes: u64) -> Result<KeeperRequest, String> {
    match &req {
        KeeperRequest::Intent(intent) if intent.key.get_version_num() != 7 => {
            return Err("intent: the key is not a UUIDv7".to_owned());
        }
        KeeperRequest::Intent(intent) if intent.digest.len() < DIGEST_BYTES => {
            return Err(format!(
                "intent: the digest has fewer than {DIGEST_BYTES} bytes"
            ));
        }
        KeeperRequest::Intent(intent) if intent.expires > MAX_EXPIRES => {
            return Err(format!("intent: expires is longer than {MAX_EXPIRES:?}"));
        }
        KeeperRequest::Settle(settle) if settle.key.get_version_num() != 7 => {
            return Err("settle: the key is not a UUIDv7".to_owned());
        }
        KeeperRequest::BlockPart(block) => check_block(block)?,
        KeeperRequest::UnblockPart { author, reason, .. } => check_unblock(author, reason)?,
        KeeperRequest::Depart(departures) => check_departures(departures)?,
        KeeperRequest::Evacuate(order) => check_zone_order(order)?,
        _ => {}
    }
    Ok(match req {
        KeeperRequest::Settle(settle) => KeeperRequest::Settle(truncate(settle, max_output_bytes)),
        req => req,
    })
}

/// Returns the error of a block whose names are missing or too long, or are too many.
fn check_block(block: &BlockedPart) -> Result<(), String> {
    let names = [&block.service, &block.source];
    let evidence = [&block.endpoints, &block.requests];
    let is_name = |name: &String| (1..=MAX_NAME_BYTES).contains(&name.len());
    let is_bounded =
        |list: &Vec<String>| list.len() <= MAX_BLOCK_EVIDENCE && list.iter().all(is_name);
    match names.into_iter().all(is_name) && evidence.into_iter().all(is_bounded) {
        true => Ok(()),
        false => Err(format!(
            "block: a name has 1 to {MAX_NAME_BYTES} bytes, and at most {MAX_BLOCK_EVIDENCE} \
             endpoints and requests are named"
        )),
    }
}

/// Returns the error of an unblock whose author or reason is missing or too long.
fn check_unblock(author: &str, reason: &str) -> Result<(), String> {
    let is_author = (1..=MAX_NAME_BYTES).contains(&author.len());
    match is_author && (1..=MAX_REASON_BYTES).contains(&reason.len()) {
        true => Ok(()),
        false => Err(format!(
            "unblock: author must have 1 to {MAX_NAME_BYTES} bytes and reason 1 to \
             {MAX_REASON_BYTES}"
        )),
    }
}

/// Returns the error of departures that are too many or whose names are missing or too long.
fn check_departures(departures: &[Departure]) -> Result<(), String> {
    let is_name = |d: &Departure| (1..=MAX_NAME_BYTES).contains(&d.endpoint.len());
    match departures.len() <= MAX_DEPARTURES_PER_MESSAGE && departures.iter().all(is_name) {
        true => Ok(()),
        false => Err(format!(
            "depart: an endpoint's name has 1 to {MAX_NAME_BYTES} bytes, and at most \
             {MAX_DEPARTURES_PER_MESSAGE} are named"
        )),
    }
}

/// Returns the error of an order whose zone, author or reason is missing or too long.
fn check_zone_order(order: &ZoneOrder) -> Result<(), String> {
    let names = [&order.zone, &order.author];
    let is_name = |name: &String| (1..=MAX_NAME_BYTES).contains(&name.len());
    let is_reason = (1..=MAX_REASON_BYTES).contains(&order.reason.len());
    match names.into_iter().all(is_name) && is_reason {
        true => Ok(()),
        false => Err(format!(
            "evacuate: zone and author must have 1 to {MAX_NAME_BYTES} bytes and reason 1 to \
             {MAX_REASON_BYTES}"
        )),
    }
}

/// Returns `req` with the age of the decision that it reports increased by `elapsed`, the time since
/// it was received.
pub(crate) fn aged(req: &KeeperRequest, elapsed: Duration) -> Cow<'_, KeeperRequest> {
    match req {
        KeeperRequest::BlockPart(block) => {
            let age = block.age.saturating_add(elapsed);
            Cow::Owned(KeeperRequest::BlockPart(BlockedPart {
                age,
                ..block.clone()
            }))
        }
        req => Cow::Borrowed(req),
    }
}

/// Returns the log command of a request; `None` if it isn't one for the log.
pub(crate) fn command(req: &KeeperRequest, state: &SharedState) -> Option<Command> {
    Some(match req {
        KeeperRequest::Intent(intent) => Command::Intent(GrantIntent {
            key: intent.key,
            digest: intent.digest.first_chunk().copied()?,
            attempt: intent.attempt,
            expires_ms: millis(intent.expires),
        }),
        KeeperRequest::Settle(settle) => Command::Settle(settle.clone()),
        KeeperRequest::Lease(request) => Command::Lease {
            request: request.clone(),
            view: state.lease_view(&request.name),
        },
        KeeperRequest::EndLease { name, fencing } => Command::EndLease {
            name: name.clone(),
            fencing: *fencing,
        },
        KeeperRequest::Change(change) => Command::Change(change.clone()),
        KeeperRequest::Replace(replacement) => Command::Replace(replacement.clone()),
        KeeperRequest::BlockPart(block) => Command::BlockPart(block.clone()),
        KeeperRequest::UnblockPart {
            part,
            author,
            reason,
        } => Command::UnblockPart {
            part: *part,
            author: author.clone(),
            reason: reason.clone(),
        },
        KeeperRequest::Depart(departures) => Command::Depart(departures.clone()),
        KeeperRequest::Evacuate(order) => Command::Evacuate(order.clone()),
        _ => return None,
    })
}

/// Drops an output over `max_output_bytes` and truncates a long error detail.
pub(crate) fn truncate(settle: Settle, max_output_bytes: u64) -> Settle {
    let settlement = match settle.settlement {
        Settlement::Completed(Output::Whole(bytes)) if bytes.len() as u64 > max_output_bytes => {
            Settlement::Completed(Output::TooLarge(bytes.len() as u64))
        }
        Settlement::Refused { status, mut detail } => {
            let end = detail.floor_char_boundary(MAX_DETAIL_BYTES);
            detail.truncate(end);
            Settlement::Refused { status, detail }
        }
        other => other,
    };
    Settle {
        settlement,
        ..settle
    }
}

/// Returns the label of the request in metrics.
pub(crate) fn kind(req: &KeeperRequest) -> &'static str {
    match req {
        KeeperRequest::Intent(_) => "intent",
        KeeperRequest::Settle(_) => "settle",
        KeeperRequest::Hold(_) => "hold",
        KeeperRequest::Lookup(_) => "lookup",
        KeeperRequest::Lease(_) => "lease",
        KeeperRequest::EndLease { .. } => "end_lease",
        KeeperRequest::Change(_) => "change",
        KeeperRequest::Audit { .. } => "audit",
        KeeperRequest::Member { .. } => "member",
        KeeperRequest::Clock => "clock",
        KeeperRequest::Replace(_) => "replace",
        KeeperRequest::Original => "original",
        KeeperRequest::Confirm => "confirm",
        KeeperRequest::BlockPart(_) => "block_part",
        KeeperRequest::UnblockPart { .. } => "unblock_part",
        KeeperRequest::BlockedParts => "blocked_parts",
        KeeperRequest::Depart(_) => "depart",
        KeeperRequest::Departures { .. } => "departures",
        KeeperRequest::Evacuate(_) => "evacuate",
        KeeperRequest::Evacuations => "evacuations",
    }
}
