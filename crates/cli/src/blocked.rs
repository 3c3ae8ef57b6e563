//! `blocked` and `unblock`: the parts of prompts that gates refuse.

use host::exit::ExitCode;
use operators::{
    BlockedEntry, BlockedList, KeeperApi, UnblockRequest, UnblockedEntry, format_part,
};
use serde_json::json;

use crate::{
    args::{Config, Unblock},
    error::VerbError,
    output::{print, table},
};

/// Lists the blocked parts and those unblocked most recently.
pub async fn list(cfg: &Config, api: &KeeperApi) -> Result<ExitCode, VerbError> {
    let list = api.blocked_parts().await?;
    print(cfg.json, &list, || to_text(&list));
    Ok(ExitCode::Success)
}

/// Unblocks a part.
pub async fn unblock(
    cfg: &Config,
    api: &KeeperApi,
    unblock: &Unblock,
) -> Result<ExitCode, VerbError> {
    let req = UnblockRequest {
        author: unblock.author.clone(),
        reason: unblock.reason.clone(),
    };
    let unblocked = api.unblock_part(unblock.part, &req).await?;
    let part = format_part(unblock.part);
    let value = json!({ "part": part, "existed": unblocked.existed });
    print(cfg.json, &value, || match unblocked.existed {
        true => format!("{part} is unblocked"),
        false => format!("{part} was not blocked; earlier decisions to block it no longer count"),
    });
    Ok(ExitCode::Success)
}

fn to_text(list: &BlockedList) -> String {
    let mut out = match list.blocked.is_empty() {
        true => "no part is blocked".to_owned(),
        false => {
            let rows: Vec<[String; 8]> = list.blocked.iter().map(blocked_row).collect();
            let headings = [
                "part",
                "service",
                "crashes",
                "blocked (UTC)",
                "until (UTC)",
                "gate",
                "endpoints",
                "requests",
            ];
            table(headings, &rows)
        }
    };
    if !list.unblocked.is_empty() {
        let rows: Vec<[String; 4]> = list.unblocked.iter().map(unblocked_row).collect();
        let headings = ["part", "unblocked (UTC)", "author", "reason"];
        out.push_str("\n\n");
        out.push_str(&table(headings, &rows));
    }
    out
}

fn blocked_row(entry: &BlockedEntry) -> [String; 8] {
    [
        entry.part.clone(),
        entry.service.clone(),
        entry.crashes.to_string(),
        entry.blocked_at.clone(),
        entry.expires_at.clone(),
        entry.source.clone(),
        entry.endpoints.join(","),
        entry.requests.join(","),
    ]
}

fn unblocked_row(entry: &UnblockedEntry) -> [String; 4] {
    [
        entry.part.clone(),
        entry.unblocked_at.clone(),
        entry.author.clone(),
        entry.reason.clone(),
    ]
}
