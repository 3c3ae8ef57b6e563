//! Cache events to the gates, late and with gaps.

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
    /// Grows by one with each batch; a jump shows a gap.
    seq: u64,
    stored: Vec<u64>,
    removed: Vec<u64>,
}

/// Publishes what changed, one batch a lag, until aborted.
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
        let gap = shared.cfg.engine.event_loss_interval;
        if gap == 0 || seq % gap != 0 {
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
        if sent.is_ok_and(|answer| answer.status.is_success()) {
            return;
        }
    }
}
