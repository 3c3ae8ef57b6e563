//! `zone`: evacuates availability zones, returns to them and lists them.

use host::exit::ExitCode;
use operators::{KeeperApi, ZoneEntry, ZoneList, ZoneRequest};
use serde_json::json;

use crate::{
    args::{Config, Evacuation},
    error::VerbError,
    output::{print, table},
};

/// Lists the zones that are or were evacuated.
pub async fn list(cfg: &Config, api: &KeeperApi) -> Result<ExitCode, VerbError> {
    let list = api.zones().await?;
    print(cfg.json, &list, || to_text(&list));
    Ok(ExitCode::Success)
}

/// Evacuates a zone, or returns to it.
pub async fn order(
    cfg: &Config,
    api: &KeeperApi,
    order: &Evacuation,
) -> Result<ExitCode, VerbError> {
    let req = ZoneRequest {
        author: order.author.clone(),
        reason: order.reason.clone(),
    };
    let zone = &order.zone;
    let ordered = api.order_zone(zone, order.is_evacuated, &req).await?;
    let value = json!({ "zone": zone, "version": ordered.version, "changed": ordered.changed });
    let state = match order.is_evacuated {
        true => "evacuated",
        false => "not evacuated",
    };
    print(cfg.json, &value, || match ordered.changed {
        true => format!("{zone} is {state}; every gate obeys within 5 s"),
        false => format!("{zone} was {state} already"),
    });
    Ok(ExitCode::Success)
}

fn to_text(list: &ZoneList) -> String {
    if list.zones.is_empty() {
        return "no zone is or was evacuated".to_owned();
    }
    let rows: Vec<[String; 5]> = list.zones.iter().map(row).collect();
    table(["zone", "state", "since (UTC)", "author", "reason"], &rows)
}

fn row(entry: &ZoneEntry) -> [String; 5] {
    let state = match entry.is_evacuated {
        true => "evacuated",
        false => "returned",
    };
    [
        entry.zone.clone(),
        state.to_owned(),
        entry.ordered_at.clone(),
        entry.author.clone(),
        entry.reason.clone(),
    ]
}
