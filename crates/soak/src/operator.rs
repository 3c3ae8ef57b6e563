//! An operator who keeps changing the declaration, and what was acknowledged.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use operators::{KeeperApi, Submission};
use tokio::time::{Instant, sleep};
use uuid::Uuid;

use crate::{fleet::ZONES, results::Results};

/// The access key of a workspace that stays.
pub(crate) const KEY: &str = "soak-key";
/// That of one that is taken out half way.
pub(crate) const LEAVER_KEY: &str = "leaver-key";
/// Pause between two changes.
const PAUSE: Duration = Duration::from_millis(350);
/// The first value of the key that changes.
const FIRST: u64 = 1_000;

/// When the leaver's key was revoked, counted from the acknowledgement.
#[derive(Clone, Debug, Default)]
pub(crate) struct Revoked(Arc<Mutex<Option<Instant>>>);

impl Revoked {
    pub(crate) fn at(&self) -> Option<Instant> {
        *self.0.lock().expect("no holder of this lock panics")
    }

    fn note(&self) {
        let mut at = self.0.lock().expect("no holder of this lock panics");
        *at = at.or(Some(Instant::now()));
    }
}

/// Acknowledged changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Acknowledged {
    /// Revision and value of each.
    changes: Vec<(u64, u64)>,
}

/// The declaration with `value` as the objective of one route.
pub(crate) fn declaration(value: u64, has_leaver: bool) -> String {
    let zone = |zone: &&str| format!("[availability-zone {zone}]\nregion = soak");
    let zones: Vec<String> = ZONES.iter().map(zone).collect();
    let zones = zones.join("\n");
    let leaver = match has_leaver {
        true => format!(
            "[workspace leaver]\nkeys = {}\n",
            forward::key_digest(LEAVER_KEY)
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
         [workspace stays]\npriority = 5\nkeys = {key}\n{leaver}"
    )
}

/// Changes the declaration until `end`; the leaver goes after `half`.
pub(crate) async fn change_until(
    keepers: Vec<String>,
    half: Instant,
    end: Instant,
    revoked: Revoked,
) -> Acknowledged {
    let api = KeeperApi::new(keepers, None);
    let mut acknowledged = Acknowledged::default();
    let mut value = FIRST;
    while Instant::now() < end {
        value += 1;
        let has_leaver = Instant::now() < half;
        if let Some(revision) = submit(&api, value, has_leaver).await {
            acknowledged.changes.push((revision, value));
            if !has_leaver {
                revoked.note();
            }
        }
        sleep(PAUSE).await;
    }
    acknowledged
}

/// Submits on the newest revision; the revision where it was acknowledged.
async fn submit(api: &KeeperApi, value: u64, has_leaver: bool) -> Option<u64> {
    let submission = Submission {
        change: Uuid::now_v7(),
        base_revision: api.declaration().await.ok()?.revision,
        author: "soak".to_owned(),
        reason: format!("value {value}"),
        document: Some(declaration(value, has_leaver)),
        sections: None,
    };
    Some(api.submit(&submission).await.ok()?.revision)
}

/// Declares what the soak begins with.
pub(crate) async fn declare(keepers: Vec<String>, limit: Duration) -> eyre::Result<()> {
    let api = KeeperApi::new(keepers, None);
    let start = Instant::now();
    while submit(&api, FIRST, true).await.is_none() {
        if start.elapsed() > limit {
            eyre::bail!("declare: not acknowledged within {limit:?}");
        }
        sleep(PAUSE).await;
    }
    Ok(())
}

impl Acknowledged {
    /// Checks after the last fault that what was acknowledged is kept.
    pub(crate) async fn check(&self, keepers: Vec<String>, results: &Results, limit: Duration) {
        const RULE: &str = "an acknowledged change is kept";
        let api = KeeperApi::new(keepers, None);
        let start = Instant::now();
        let (declared, audit) = loop {
            match (api.declaration().await, api.audit(0).await) {
                (Ok(declared), Ok(audit)) => break (declared, audit),
                _ if start.elapsed() > limit => {
                    results.record("keepers answer after the last fault", "no answer");
                    return;
                }
                _ => sleep(PAUSE).await,
            }
        };
        let document = declared.document.write();
        let value = document
            .lines()
            .find_map(|line| line.strip_prefix("objective_ms = "));
        let value: u64 = value.and_then(|v| v.trim().parse().ok()).unwrap_or(0);
        if let Some((revision, last)) = self.changes.last().filter(|(_, last)| value < *last) {
            let seen = format!("value {last} of revision {revision}; in force is {value}");
            results.record(RULE, seen);
        }
        for (revision, value) in &self.changes {
            let reason = format!("value {value}");
            let is_it =
                |r: &declaration::AuditRecord| r.revision == *revision && r.reason == reason;
            if !audit.iter().any(is_it) {
                results.record(
                    RULE,
                    format!("revision {revision} ({reason}) has no audit record"),
                );
            }
        }
    }

    /// How many there are.
    pub(crate) fn count(&self) -> usize {
        self.changes.len()
    }
}
