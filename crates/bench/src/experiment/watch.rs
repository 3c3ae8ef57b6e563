//! Polls the gates during a run: readiness for the balancer, revisions for the checker.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::time::sleep;

use super::fleet::{GateDirectory, GateEntry, get_json};
use crate::{
    check::ObservedRevision,
    client::Client,
    load::{CallerConfig, GateAddress},
    stand_in::now_ms,
};

/// Time between polls of all gates.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Revisions observed so far.
pub(crate) type Revisions = Arc<Mutex<Vec<ObservedRevision>>>;

/// Polls all gates until aborted.
pub(crate) async fn run(directory: GateDirectory, cfg: Arc<CallerConfig>, revisions: Revisions) {
    let client = Client::default();
    loop {
        poll_gates(&client, &directory, &cfg, &revisions).await;
        sleep(POLL_INTERVAL).await;
    }
}

/// Polls each gate once and updates the balancer.
pub(crate) async fn poll_gates(
    client: &Client,
    directory: &GateDirectory,
    cfg: &CallerConfig,
    revisions: &Revisions,
) {
    let mut ready: BTreeMap<String, Vec<GateAddress>> = BTreeMap::new();
    for gate in directory.entries() {
        let in_az = ready.entry(gate.az.clone()).or_default();
        if is_ready(client, &gate, revisions).await {
            in_az.push(gate.caller_address);
        }
    }
    for (az, gates) in ready {
        cfg.balancer.set(&az, gates);
    }
}

async fn is_ready(client: &Client, gate: &GateEntry, revisions: &Revisions) -> bool {
    let Some(address) = gate.address else {
        return false;
    };
    let answer = get_json(client, address, "/v1/revision").await;
    if let Some(revision) = answer.and_then(|v| v["revision"].as_u64()) {
        let seen = ObservedRevision {
            gate: gate.caller_address.name.clone(),
            at_ms: now_ms(),
            revision,
        };
        revisions
            .lock()
            .expect("no panic under this lock")
            .push(seen);
    }
    get_json(client, address, "/readyz").await.is_some()
}
