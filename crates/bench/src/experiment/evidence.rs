//! Gathers the evidence of a run for the checker.

use std::net::SocketAddr;

use hyper::Method;
use tokio::task::JoinSet;

use super::{
    file::Scenario,
    fleet::{Fleet, Gate},
    watch::Revisions,
};
use crate::{
    check::{Evidence, LedgerEntry, Outcome},
    client::Client,
    load::{FinishedRequest, parse_outcome},
};

/// Maximum number of keys looked up in the ledger after a run.
const MAX_LEDGER_QUERIES: usize = 300;
/// Maximum number of concurrent ledger lookups.
const MAX_CONCURRENT_QUERIES: usize = 16;

/// Gathers journals, requests, revisions and ledger entries.
pub(crate) async fn gather(
    fleet: &Fleet,
    scenario: &Scenario,
    finished: &[FinishedRequest],
    revisions: &Revisions,
) -> Evidence {
    let seen = revisions.lock().expect("no panic under this lock").clone();
    Evidence {
        declaration: fleet.declaration.clone(),
        journals: fleet.workers.journals(),
        requests: finished.iter().map(|f| f.request.clone()).collect(),
        revisions: seen,
        ledger: query_ledger(fleet, finished).await,
        allows_disconnects: scenario.actions.iter().any(|(_, a)| a.may_break_callers()),
    }
}

async fn query_ledger(fleet: &Fleet, finished: &[FinishedRequest]) -> Vec<LedgerEntry> {
    let addresses: Vec<SocketAddr> = fleet.gates.iter().filter_map(Gate::address).collect();
    if fleet.project.is_none() || addresses.is_empty() {
        return Vec::new();
    }
    let has_completed = |f: &&FinishedRequest| {
        let mut attempts = f.request.attempts.iter();
        attempts.any(|attempt| attempt.reply.outcome == Outcome::Completed)
    };
    let keys = finished
        .iter()
        .filter(has_completed)
        .filter_map(|f| f.request.key.clone());
    let mut queries = JoinSet::new();
    let mut words = Vec::new();
    for (n, key) in keys.take(MAX_LEDGER_QUERIES).enumerate() {
        if queries.len() >= MAX_CONCURRENT_QUERIES {
            words.extend(queries.join_next().await.and_then(Result::ok).flatten());
        }
        let address = addresses[n % addresses.len()];
        queries.spawn(query_key(fleet.client.clone(), address, key));
    }
    let rest = queries.join_all().await;
    words.extend(rest.into_iter().flatten());
    words
}

/// Looks up `key` in the ledger; returns `None` if the gate could not tell.
async fn query_key(client: Client, address: SocketAddr, key: String) -> Option<LedgerEntry> {
    let url = format!("http://{address}/v1/requests/{key}");
    let answer = client.send(Method::GET, &url, &[], Vec::new()).await.ok()?;
    let value = answer.json();
    let word = match answer.status.as_u16() {
        404 => None,
        503 | 504 => return None,
        _ => Some(parse_outcome(value["outcome"].as_str())),
    };
    Some(LedgerEntry { key, outcome: word })
}
