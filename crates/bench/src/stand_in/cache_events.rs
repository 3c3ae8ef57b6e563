//! Publishes prefix cache events to the gates, with a delay and with deliberate losses.

use std::{mem, sync::Arc};

use derives::record;
use tokio::time::sleep;
use uuid::Uuid;

use super::{prefix_cache::CacheChange, shared::Shared};

/// The body of `POST /v1/cache-events`.
#[record]
struct CacheEvents {
    endpoint: String,
    incarnation: Uuid,
    /// Grows by one with each batch, lost ones included, so that a receiver can detect losses.
    seq: u64,
    stored: Vec<u64>,
    removed: Vec<u64>,
}

/// Publishes the collected changes as one batch every `event_delay`.
pub(crate) async fn run(shared: Arc<Shared>) {
    let Some(engine) = &shared.engine else {
        return;
    };
    let mut seq = 0;
    loop {
        sleep(shared.cfg.engine.event_delay).await;
        let changes = {
            let mut changes = engine.changes.lock().expect("no panic under this lock");
            mem::take(&mut *changes)
        };
        if changes.is_empty() {
            continue;
        }
        seq += 1;
        let loss_interval = shared.cfg.engine.event_loss_interval;
        if loss_interval == 0 || seq % loss_interval != 0 {
            publish(&shared, seq, changes).await;
        }
    }
}

async fn publish(shared: &Shared, seq: u64, changes: Vec<CacheChange>) {
    let mut events = CacheEvents {
        endpoint: shared.cfg.name.clone(),
        incarnation: shared.incarnation,
        seq,
        stored: Vec::new(),
        removed: Vec::new(),
    };
    for change in changes {
        events.stored.extend(change.stored);
        events.removed.extend(change.removed);
    }
    for gate in shared.gates() {
        let url = format!("{gate}/v1/cache-events");
        let sent = shared.client.post_json(&url, &[], &events).await;
        if sent.is_ok_and(|response| response.status.is_success()) {
            return;
        }
    }
}
