//! The gate's side of the at-most-once ledger that the keepers hold.

use std::time::Duration;

use futures_util::{StreamExt, stream::FuturesUnordered};
use link::{
    Channel,
    keeper::{
        Intent, IntentReply, KeeperReply, KeeperRequest, LedgerEntry, Output, Settle, Settlement,
    },
    keepers::Keepers,
};
use rand::RngExt;
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};
use spdlog::warn;
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, sleep_until},
};
use uuid::Uuid;

use crate::{inflight::Inflight, quorum::Quorum};

/// First and longest pause between questions about a key that another attempt has.
const FIRST_POLL: Duration = Duration::from_millis(10);
const LONGEST_POLL: Duration = Duration::from_millis(250);
/// Time after which what no quorum has is handed to one keeper; within the time for which an answer
/// waits for its settlement.
const HOLD_AFTER: Duration = Duration::from_millis(100);
const HOLD_LIMIT: Duration = Duration::from_millis(400);
/// Pause between attempts to reach the keepers in the background.
const BACKGROUND_PAUSE: Duration = Duration::from_millis(200);

/// Bounds of a [`Ledger`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct LedgerConfig {
    /// How long after its commit an intent may be sent.
    pub(crate) intent: Duration,
    /// Longest time to go on settling in the background.
    pub(crate) settle: Duration,
    /// Most bytes of an output that are kept whole.
    pub(crate) max_output: usize,
}

/// Asks the keepers on behalf of one gate process; clones share the links.
#[derive(Clone, Debug)]
pub(crate) struct Ledger {
    quorum: Quorum,
    gate: String,
    incarnation: Uuid,
    cfg: LedgerConfig,
    inflight: Inflight,
}

/// What a call asks the ledger for.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    /// The key of the call.
    pub(crate) key: Uuid,
    /// Digest of workspace, pipeline and body.
    pub(crate) digest: Vec<u8>,
    /// The service called.
    pub(crate) service: String,
    /// The endpoint that is to get the call.
    pub(crate) endpoint: String,
}

/// The right to send one call.
#[derive(Debug)]
pub(crate) struct Grant {
    key: Uuid,
    attempt: Uuid,
    /// When the right ends, by this process's clock and counted from before it asked.
    pub(crate) until: Instant,
}

/// The ledger's answer to a claim.
#[derive(Debug)]
pub(crate) enum Claimed {
    /// The call may be sent.
    Granted(Grant),
    /// Another answer.
    Refused(IntentReply),
}

impl Ledger {
    /// A client of `keepers` for the process `incarnation` on VM `gate`.
    pub(crate) fn new(
        keepers: Keepers,
        gate: &str,
        incarnation: Uuid,
        cfg: LedgerConfig,
        inflight: Inflight,
    ) -> Self {
        Self {
            quorum: Quorum::new(keepers),
            gate: gate.to_owned(),
            incarnation,
            cfg,
            inflight,
        }
    }

    /// Asks for the right to send. An answer that was lost is asked for again with the same
    /// attempt; where none comes before `deadline`, what may have been granted is given back in
    /// the background, since nothing was sent.
    pub(crate) async fn claim(&self, claim: &Claim, deadline: Instant) -> Result<Claimed, String> {
        let asked = Instant::now();
        let intent = self.intent(claim);
        let limit = self
            .cfg
            .intent
            .min(deadline.saturating_duration_since(asked));
        let mut guard = Retract {
            ledger: self,
            intent: Some(intent.clone()),
        };
        let reply = self
            .quorum
            .ask(&KeeperRequest::Intent(intent.clone()), limit)
            .await;
        match reply {
            Ok(KeeperReply::Intent(IntentReply::Granted)) => {
                guard.intent = None;
                Ok(Claimed::Granted(Grant {
                    key: claim.key,
                    attempt: intent.attempt,
                    until: asked + self.cfg.intent,
                }))
            }
            Ok(KeeperReply::Intent(reply)) => {
                guard.intent = None;
                Ok(Claimed::Refused(reply))
            }
            Ok(KeeperReply::Invalid(what)) => {
                guard.intent = None;
                Err(what)
            }
            Ok(other) => Err(format!("unexpected answer {other:?}")),
            Err(e) => Err(e.to_string()),
        }
    }

    /// The ledger's word on `key`.
    pub(crate) async fn lookup(&self, key: Uuid, limit: Duration) -> Result<LedgerEntry, String> {
        match self.quorum.ask(&KeeperRequest::Lookup(key), limit).await {
            Ok(KeeperReply::Lookup(entry)) => Ok(entry),
            Ok(KeeperReply::Invalid(what)) => Err(what),
            Ok(other) => Err(format!("unexpected answer {other:?}")),
            Err(e) => Err(e.to_string()),
        }
    }

    /// Waits until the attempt that has `key` is settled or given back, at most until `deadline`.
    pub(crate) async fn wait(&self, key: Uuid, deadline: Instant) -> LedgerEntry {
        let mut pause = FIRST_POLL;
        loop {
            let wake = Instant::now() + rand::rng().random_range(pause / 2..=pause);
            if wake >= deadline {
                sleep_until(deadline).await;
                return LedgerEntry::InProgress;
            }
            sleep_until(wake).await;
            pause = (pause * 2).min(LONGEST_POLL);
            let left = deadline.saturating_duration_since(Instant::now());
            match self.lookup(key, left).await {
                Ok(LedgerEntry::InProgress) | Err(_) => {}
                Ok(entry) => return entry,
            }
        }
    }

    /// States what became of a granted call, in the background until a quorum has it. The receiver
    /// ends as soon as the fate of this process does not matter any more: a quorum has it, or one
    /// keeper holds it on its disk.
    pub(crate) fn settle(&self, grant: &Grant, settlement: Settlement) -> oneshot::Receiver<()> {
        let settle = Settle {
            key: grant.key,
            attempt: grant.attempt,
            settlement,
        };
        let (ledger, running) = (self.clone(), self.inflight.enter());
        let (tx, rx) = oneshot::channel();
        tokio::spawn(async move {
            let _running = running;
            let held = ledger.hold_if_late(&settle);
            let known = ledger.settle_until_known(settle.clone());
            tokio::pin!(known);
            tokio::select! {
                () = &mut known => return,
                // Dropping the sender ends the caller's wait.
                () = held => drop(tx),
            }
            known.await;
        });
        rx
    }

    /// The settlement for a call that ran with `output`.
    pub(crate) fn completed(&self, output: &RawValue) -> Settlement {
        let bytes = output.get().as_bytes();
        Settlement::Completed(match bytes.len() <= self.cfg.max_output {
            true => Output::Whole(bytes.to_vec()),
            false => Output::TooLarge(bytes.len() as u64),
        })
    }

    fn intent(&self, claim: &Claim) -> Intent {
        Intent {
            key: claim.key,
            digest: claim.digest.clone(),
            gate: self.gate.clone(),
            incarnation: self.incarnation,
            attempt: Uuid::new_v4(),
            service: claim.service.clone(),
            endpoint: claim.endpoint.clone(),
            expires: self.cfg.intent,
        }
    }

    /// Hands `settle` to any one keeper that can be reached, if it says that a call ran and no quorum
    /// has it after [`HOLD_AFTER`]; ends when one holds it.
    async fn hold_if_late(&self, settle: &Settle) {
        let is_known_by_nobody_else = matches!(
            settle.settlement,
            Settlement::Completed(_) | Settlement::Refused { .. }
        );
        if !is_known_by_nobody_else {
            return std::future::pending().await;
        }
        sleep(HOLD_AFTER).await;
        let req = KeeperRequest::Hold(settle.clone());
        loop {
            let peers = self.quorum.keepers().peers().iter();
            let mut asked: FuturesUnordered<_> = peers
                .map(|peer| peer.call::<_, KeeperReply>(Channel::Keeper, &req, HOLD_LIMIT))
                .collect();
            while let Some(reply) = asked.next().await {
                if matches!(reply, Ok(KeeperReply::Held)) {
                    return;
                }
            }
            sleep(BACKGROUND_PAUSE).await;
        }
    }

    async fn settle_until_known(&self, settle: Settle) {
        let until = Instant::now() + self.cfg.settle;
        let req = KeeperRequest::Settle(settle);
        while Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            match self.quorum.keepers().request(&req, left).await {
                Ok(KeeperReply::Settled) => return,
                Ok(KeeperReply::Invalid(what)) => {
                    warn!("settle: refused by the keepers: {}", what);
                    return;
                }
                _ => sleep(BACKGROUND_PAUSE).await,
            }
        }
        warn!(
            "settle: no quorum of keepers within {:?}; the key stays in progress",
            self.cfg.settle
        );
    }
}

/// Gives an intent back in the background unless its answer was seen.
struct Retract<'a> {
    ledger: &'a Ledger,
    intent: Option<Intent>,
}

impl Drop for Retract<'_> {
    fn drop(&mut self) {
        let Some(intent) = self.intent.take() else {
            return;
        };
        let (ledger, running) = (self.ledger.clone(), self.ledger.inflight.enter());
        // The release also holds against an intent that arrives after it.
        let settle = Settle {
            key: intent.key,
            attempt: intent.attempt,
            settlement: Settlement::Released,
        };
        tokio::spawn(async move {
            let _running = running;
            ledger.settle_until_known(settle).await;
        });
    }
}

/// SHA-256 of workspace, pipeline and input, each with its length.
pub(crate) fn digest(workspace: &str, pipeline: &str, input: &str) -> Vec<u8> {
    let mut sha = Sha256::new();
    for part in [workspace, pipeline, input] {
        sha.update((part.len() as u64).to_be_bytes());
        sha.update(part);
    }
    sha.finalize().to_vec()
}

/// The ledger's key of the stage that is number `nth` among those of a request that may not be
/// repeated: the caller's key for the first one; for later ones a UUIDv7 of the same time whose
/// other bits are a digest of key and number.
pub(crate) fn stage_key(key: Uuid, nth: usize) -> Uuid {
    if nth == 0 {
        return key;
    }
    let mut sha = Sha256::new();
    sha.update(key.as_bytes());
    sha.update((nth as u64).to_be_bytes());
    let hash = sha.finalize();
    let mut bytes = *key.as_bytes();
    bytes[6] = 0x70 | (hash[0] & 0x0f);
    bytes[7] = hash[1];
    bytes[8] = 0x80 | (hash[2] & 0x3f);
    bytes[9..].copy_from_slice(&hash[3..10]);
    Uuid::from_bytes(bytes)
}
