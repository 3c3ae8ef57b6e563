//! Checks, labels and log commands of the requests of keepers' clients.

use std::time::Duration;

use link::keeper::{KeeperRequest, Output, Settle, Settlement};

use crate::{
    entry::{Command, DIGEST_BYTES, GrantIntent},
    service::millis,
    shared_state::SharedState,
};

/// Maximum length of a service's stored error detail.
const MAX_DETAIL_BYTES: usize = 1_024;
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
        _ => {}
    }
    Ok(match req {
        KeeperRequest::Settle(settle) => KeeperRequest::Settle(truncate(settle, max_output_bytes)),
        req => req,
    })
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
    }
}
