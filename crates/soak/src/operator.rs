//! An operator that changes the declaration at intervals, and the changes that were acknowledged.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use operators::{KeeperApi, Submission};
use tokio::time::{Instant, sleep};
use uuid::Uuid;

use crate::{results::Results, topology::ZONES};

/// Access key of the workspace that is declared throughout the soak.
pub(crate) const KEY: &str = "soak-key";
/// Access key of the workspace that is removed halfway through.
pub(crate) const TEMPORARY_KEY: &str = "leaver-key";
/// Delay after a change before the next one, and between attempts at a request.
const CHANGE_INTERVAL: Duration = Duration::from_millis(350);
/// First value of `objective_ms` of route `look`, the setting that each change increments.
const FIRST_VALUE: u64 = 1_000;

/// Time at which the removal of [`TEMPORARY_KEY`] was first acknowledged, if it was.
#[derive(Clone, Debug, Default)]
pub(crate) struct RevocationTime(Arc<Mutex<Option<Instant>>>);

impl RevocationTime {
    pub(crate) fn get(&self) -> Option<Instant> {
        *self.0.lock().expect("no holder of this lock panics")
    }

    fn record(&self) {
        let mut time = self.0.lock().expect("no holder of this lock panics");
        *time = time.or(Some(Instant::now()));
    }
}

/// The changes that the keepers acknowledged.
#[derive(Clone, Debug, Default)]
pub(crate) struct AcknowledgedChanges {
    /// Revision and value of each, oldest first.
    changes: Vec<(u64, u64)>,
}

/// Returns a declaration with `value` as the objective of route `look`, in milliseconds. It
/// includes the workspace of [`TEMPORARY_KEY`] if `has_temporary`.
pub(crate) fn declaration(value: u64, has_temporary: bool) -> String {
    let zone = |zone: &&str| format!("[availability-zone {zone}]\nregion = soak");
    let zones: Vec<String> = ZONES.iter().map(zone).collect();
    let zones = zones.join("\n");
    let temporary = match has_temporary {
        true => format!(
            "[workspace leaver]\nkeys = {}\n",
            forward::key_digest(TEMPORARY_KEY)
        ),
        false => String::new(),
    };
    let key = forward::key_digest(KEY);
    format!(
        "{zones}\n[service desk]\nkind = plain\nrepeatable = no\n\
         [service chat]\nkind = hosted-engine\nrepeatable = yes\nmemory_tokens = 100000\n\
         [service ice]\nkind = batch-pool\nrepeatable = yes\nslots = 1\nbatch_items = 8\n\
         batch_call_ms = 10\nbatch_item_us = 500\nroom_bytes = 1000000\n\
         [route desk]\nhost = 127.0.0.1\npath_prefix = /desk/\nrepeat = never\nservices = desk 1\n\
         [route look]\nhost = 127.0.0.1\npath_prefix = /look/\nrepeat = anew\nattempts = 3\n\
         objective_ms = {value}\nservices = desk 1\n\
         [route chat]\nhost = 127.0.0.1\npath_prefix = /chat/\nanswer = stream\n\
         repeat = from-last-event\nattempts = 4\nservices = chat 1\n\
         [route plan]\nhost = 127.0.0.1\npath_prefix = /plan/\nanswer = stream\nrepeat = never\n\
         services = chat 1\nstages = ice 1000, ice 1000 after 0\n\
         [workspace stays]\npriority = 5\nkeys = {key}\n{temporary}"
    )
}

/// Submits changes until `end`; those from `revoke_after` on remove the workspace of
/// [`TEMPORARY_KEY`].
pub(crate) async fn submit_until(
    keepers: Vec<String>,
    revoke_after: Instant,
    end: Instant,
    revocation_time: RevocationTime,
) -> AcknowledgedChanges {
    let keeper_api = KeeperApi::new(keepers, None);
    let mut acknowledged = AcknowledgedChanges::default();
    let mut value = FIRST_VALUE;
    while Instant::now() < end {
        value += 1;
        let has_temporary = Instant::now() < revoke_after;
        if let Some(revision) = submit(&keeper_api, value, has_temporary).await {
            acknowledged.changes.push((revision, value));
            if !has_temporary {
                revocation_time.record();
            }
        }
        sleep(CHANGE_INTERVAL).await;
    }
    acknowledged
}

/// Submits a change based on the latest revision. Returns the new revision, or `None` if the change
/// was not acknowledged.
async fn submit(keeper_api: &KeeperApi, value: u64, has_temporary: bool) -> Option<u64> {
    let submission = Submission {
        change: Uuid::now_v7(),
        base_revision: keeper_api.declaration().await.ok()?.revision,
        author: "soak".to_owned(),
        reason: format!("value {value}"),
        document: Some(declaration(value, has_temporary)),
        sections: None,
    };
    Some(keeper_api.submit(&submission).await.ok()?.revision)
}

/// Submits the first declaration, with retries until `timeout`.
pub(crate) async fn submit_first(keepers: Vec<String>, timeout: Duration) -> eyre::Result<()> {
    let keeper_api = KeeperApi::new(keepers, None);
    let start = Instant::now();
    while submit(&keeper_api, FIRST_VALUE, true).await.is_none() {
        if start.elapsed() > timeout {
            eyre::bail!("the first declaration was not acknowledged within {timeout:?}");
        }
        sleep(CHANGE_INTERVAL).await;
    }
    Ok(())
}

impl AcknowledgedChanges {
    /// Checks after the last fault that no acknowledged change was lost: the declaration in force
    /// has at least the last value and each change has its audit record.
    pub(crate) async fn check(&self, keepers: Vec<String>, results: &Results, timeout: Duration) {
        const RULE: &str = "an acknowledged change is kept";
        let keeper_api = KeeperApi::new(keepers, None);
        let start = Instant::now();
        let (current, audit) = loop {
            match (keeper_api.declaration().await, keeper_api.audit(0).await) {
                (Ok(current), Ok(audit)) => break (current, audit),
                _ if start.elapsed() > timeout => {
                    results.record("keepers answer after the last fault", "no answer");
                    return;
                }
                _ => sleep(CHANGE_INTERVAL).await,
            }
        };
        let document = current.document.write();
        let value = document
            .lines()
            .find_map(|line| line.strip_prefix("objective_ms = "));
        let value: u64 = value.and_then(|v| v.trim().parse().ok()).unwrap_or(0);
        if let Some((revision, last)) = self.changes.last().filter(|(_, last)| value < *last) {
            let details = format!("value {last} of revision {revision}; in force is {value}");
            results.record(RULE, details);
        }
        for (revision, value) in &self.changes {
            let reason = format!("value {value}");
            let is_change =
                |r: &declaration::AuditRecord| r.revision == *revision && r.reason == reason;
            if !audit.iter().any(is_change) {
                results.record(
                    RULE,
                    format!("revision {revision} ({reason}) has no audit record"),
                );
            }
        }
    }

    /// Returns the number of acknowledged changes.
    pub(crate) fn count(&self) -> usize {
        self.changes.len()
    }
}
