//! `status`: every keeper's role, term and log, and the number of blocked parts.

use host::exit::ExitCode;
use operators::{ApiError, KeeperApi, KeeperStatus};
use serde_json::{Value, json};

use crate::{
    args::Config,
    error::VerbError,
    output::{print, table},
};

/// Shows every keeper; returns [`ExitCode::Unavailable`] if none that responds is the leader.
pub async fn status(cfg: &Config, api: &KeeperApi) -> Result<ExitCode, VerbError> {
    let statuses = api.statuses().await;
    let has_leader = statuses
        .iter()
        .any(|(_, status)| status.as_ref().is_ok_and(|s| s.role == "leader"));
    let value: Vec<Value> = statuses
        .iter()
        .map(|(keeper, s)| to_json_value(keeper, s))
        .collect();
    print(cfg.json, &value, || {
        let rows: Vec<[String; 7]> = statuses.iter().map(|(keeper, s)| row(keeper, s)).collect();
        let headings = [
            "keeper", "role", "term", "leader", "commit", "voters", "learners",
        ];
        let keepers = table(headings, &rows);
        match blocked_line(&statuses) {
            Some(line) => format!("{keepers}\n\n{line}"),
            None => keepers,
        }
    });
    Ok(match has_leader {
        true => ExitCode::Success,
        false => ExitCode::Unavailable,
    })
}

/// Returns the number of blocked parts in the leader's state; `None` if no leader responded.
fn blocked_line(statuses: &[(String, Result<KeeperStatus, ApiError>)]) -> Option<String> {
    let mut known = statuses
        .iter()
        .filter_map(|(_, status)| status.as_ref().ok());
    let leader = known.find(|status| status.role == "leader")?;
    Some(match leader.blocked_parts {
        0 => "blocked parts of prompts: none".to_owned(),
        n => format!("blocked parts of prompts: {n}; `jujubeferry blocked` lists them"),
    })
}

fn to_json_value(keeper: &str, status: &Result<KeeperStatus, ApiError>) -> Value {
    match status {
        Ok(status) => json!({ "keeper": keeper, "status": status }),
        Err(e) => json!({ "keeper": keeper, "error": e.to_string() }),
    }
}

fn row(keeper: &str, status: &Result<KeeperStatus, ApiError>) -> [String; 7] {
    match status {
        Ok(s) => [
            keeper.to_owned(),
            s.role.clone(),
            s.term.to_string(),
            s.leader.clone().unwrap_or_else(|| "none".to_owned()),
            s.commit.to_string(),
            s.voters.join(","),
            s.learners.join(","),
        ],
        Err(e) => std::array::from_fn(|column| match column {
            0 => keeper.to_owned(),
            1 => e.to_string(),
            _ => String::new(),
        }),
    }
}
