//! Announcements to the gates.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use membership::{AnnounceResponse, Announcement, Readiness};
use tokio::time::{sleep, timeout};

use super::shared::Shared;

/// Longest wait for a gate's answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);
/// Wait after no gate took an announcement.
const RETRY: Duration = Duration::from_millis(100);

/// Announces until aborted.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let wait = match once(&shared).await {
            Some(answer) => {
                let asked = Duration::from_millis(answer.next_ms);
                shared.cfg.announce_interval.min(asked.max(RETRY))
            }
            None if shared.gates().is_empty() => shared.cfg.announce_interval,
            None => RETRY,
        };
        tokio::select! {
            () = sleep(wait) => {}
            () = shared.announce_now.notified() => {}
        }
    }
}

/// Announces to the first gate that takes it.
pub(crate) async fn once(shared: &Shared) -> Option<AnnounceResponse> {
    for gate in shared.gates() {
        let sent = timeout(ANSWER_LIMIT, send(shared, &gate)).await;
        if let Ok(Some(answer)) = sent {
            return Some(answer);
        }
    }
    None
}

async fn send(shared: &Shared, gate: &str) -> Option<AnnounceResponse> {
    let url = format!("{gate}/v1/announce");
    let bearer = shared
        .cfg
        .token
        .as_ref()
        .map(|token| format!("Bearer {token}"));
    let headers: Vec<(&str, &str)> = match &bearer {
        Some(bearer) => vec![("authorization", bearer)],
        None => Vec::new(),
    };
    let body = announcement(shared);
    let answer = shared.client.post_json(&url, &headers, &body).await.ok()?;
    serde_json::from_slice(&answer.body).ok()
}

fn announcement(shared: &Shared) -> Announcement {
    let state = match shared.is_leaving() {
        true => Readiness::Leaving,
        false => Readiness::Ready,
    };
    Announcement {
        endpoint: shared.cfg.name.clone(),
        service: shared.cfg.service.clone(),
        az: shared.cfg.az.clone(),
        address: shared.url.clone(),
        incarnation: shared.incarnation,
        seq: shared.seq.fetch_add(1, Ordering::SeqCst) + 1,
        state,
        models: shared.orders.models(),
        role: shared.orders.role(),
        checks_fencing: shared.cfg.checks_fencing,
        slots: None,
        load: shared.load_with_lag(),
    }
}
