//! Client of the at-most-once ledger, which the keepers hold.

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

/// Bounds of the interval between lookups of a key that another attempt holds.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a settlement without a quorum is handed to a single keeper. Shorter than the
/// time for which a response waits for its settlement.
const HOLD_AFTER: Duration = Duration::from_millis(100);
const HOLD_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between attempts to settle in the background.
const SETTLE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Limits of a [`Ledger`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct LedgerConfig {
    /// How long after its commit an intent may be sent.
    pub(crate) intent_ttl: Duration,
    /// Longest time to retry a settlement in the background.
    pub(crate) settle_timeout: Duration,
    /// Largest output that is stored, in bytes; of a larger one only the size is kept.
    pub(crate) max_output_bytes: usize,
}

/// Talks to the keepers for one gate process. Clones share the links.
#[derive(Clone, Debug)]
pub(crate) struct Ledger {
    quorum: Quorum,
    gate: String,
    incarnation: Uuid,
    cfg: LedgerConfig,
    inflight: Inflight,
}

/// A request for the right to send a call.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    /// Key of the call.
    pub(crate) key: Uuid,
    /// Digest of workspace, pipeline and input.
    pub(crate) digest: Vec<u8>,
    pub(crate) service: String,
    /// Endpoint that will be called.
    pub(crate) endpoint: String,
}

/// Permission to send one call.
#[derive(Debug)]
pub(crate) struct Grant {
    key: Uuid,
    attempt: Uuid,
    /// Expiry, by this process's clock, counted from before the claim was sent.
    pub(crate) until: Instant,
}

/// Reply of the ledger to a claim.
#[derive(Debug)]
pub(crate) enum ClaimReply {
    /// The call may be sent.
    Granted(Grant),
    /// The call may not be sent; the reply says why.
    Refused(IntentReply),
}

/// Why there is no reply to a claim.
enum ClaimError {
    /// No quorum answered; the claim may still be granted.
    NoReply(String),
    /// The keepers refused the claim as malformed, or their reply was.
    Invalid(String),
}

impl ClaimReply {
    /// Returns true if no call with the claim's digest has run under its key.
    pub(crate) fn is_free(&self) -> bool {
        match self {
            Self::Granted(_) => true,
            Self::Refused(reply) => matches!(
                reply,
                IntentReply::Conflict | IntentReply::InFuture | IntentReply::Full
            ),
        }
    }
}

impl Ledger {
    /// Creates a client of `keepers` for the process `incarnation` on VM `gate`.
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

    /// The keepers.
    pub(crate) fn keepers(&self) -> &Keepers {
        self.quorum.keepers()
    }

    /// Claims the right to send. While the quorum is lost for a short time, waits for it until
    /// `deadline`.
    pub(crate) async fn claim(
        &self,
        claim: &Claim,
        deadline: Instant,
    ) -> Result<ClaimReply, String> {
        loop {
            match self.try_claim(claim, deadline).await {
                Err(ClaimError::NoReply(_)) if self.quorum.wait_until_back(deadline).await => {}
                Err(ClaimError::NoReply(reason) | ClaimError::Invalid(reason)) => {
                    return Err(reason);
                }
                Ok(reply) => return Ok(reply),
            }
        }
    }

    /// Claims the right to send, for as long as the grant would be of use. A claim whose reply was
    /// lost is sent again with the same attempt id. If no reply arrives, a grant that may exist is
    /// released in the background, since nothing was sent.
    async fn try_claim(&self, claim: &Claim, deadline: Instant) -> Result<ClaimReply, ClaimError> {
        let requested_at = Instant::now();
        let intent = self.intent(claim);
        let limit = self
            .cfg
            .intent_ttl
            .min(deadline.saturating_duration_since(requested_at));
        let mut guard = RetractOnDrop {
            ledger: self,
            intent: Some(intent.clone()),
        };
        let reply = self
            .quorum
            .request(&KeeperRequest::Intent(intent.clone()), limit)
            .await;
        match reply {
            Ok(KeeperReply::Intent(IntentReply::Granted)) => {
                guard.intent = None;
                Ok(ClaimReply::Granted(Grant {
                    key: claim.key,
                    attempt: intent.attempt,
                    until: requested_at + self.cfg.intent_ttl,
                }))
            }
            Ok(KeeperReply::Intent(reply)) => {
                guard.intent = None;
                Ok(ClaimReply::Refused(reply))
            }
            Ok(KeeperReply::Invalid(reason)) => {
                guard.intent = None;
                Err(ClaimError::Invalid(reason))
            }
            Ok(other) => Err(ClaimError::Invalid(format!("unexpected answer {other:?}"))),
            Err(e) => Err(ClaimError::NoReply(e.to_string())),
        }
    }

    /// Returns the ledger's entry for `key`.
    pub(crate) async fn lookup(&self, key: Uuid, limit: Duration) -> Result<LedgerEntry, String> {
        match self
            .quorum
            .request(&KeeperRequest::Lookup(key), limit)
            .await
        {
            Ok(KeeperReply::Lookup(entry)) => Ok(entry),
            Ok(KeeperReply::Invalid(reason)) => Err(reason),
            Ok(other) => Err(format!("unexpected answer {other:?}")),
            Err(e) => Err(e.to_string()),
        }
    }

    /// Waits until the attempt that holds `key` is settled or released, at most until `deadline`.
    pub(crate) async fn wait(&self, key: Uuid, deadline: Instant) -> LedgerEntry {
        let mut pause = MIN_POLL_INTERVAL;
        loop {
            let wake = Instant::now() + rand::rng().random_range(pause / 2..=pause);
            if wake >= deadline {
                sleep_until(deadline).await;
                return LedgerEntry::InProgress;
            }
            sleep_until(wake).await;
            pause = (pause * 2).min(MAX_POLL_INTERVAL);
            let remaining = deadline.saturating_duration_since(Instant::now());
            match self.lookup(key, remaining).await {
                Ok(LedgerEntry::InProgress) | Err(_) => {}
                Ok(entry) => return entry,
            }
        }
    }

    /// Settles a granted call in the background, retrying until a quorum has committed it. The
    /// receiver completes once the settlement survives a crash of this process: a quorum has it, or
    /// one keeper has it on disk.
    pub(crate) fn settle(&self, grant: &Grant, settlement: Settlement) -> oneshot::Receiver<()> {
        let settle = Settle {
            key: grant.key,
            attempt: grant.attempt,
            settlement,
        };
        let (ledger, in_flight) = (self.clone(), self.inflight.track());
        let (tx, rx) = oneshot::channel();
        tokio::spawn(async move {
            let _in_flight = in_flight;
            let held = ledger.hold_if_late(&settle);
            let committed = ledger.settle_until_committed(settle.clone());
            tokio::pin!(committed);
            tokio::select! {
                () = &mut committed => return,
                // Dropping the sender completes the receiver.
                () = held => drop(tx),
            }
            committed.await;
        });
        rx
    }

    /// Returns the settlement for a call that ran and returned `output`.
    pub(crate) fn completed(&self, output: &RawValue) -> Settlement {
        let bytes = output.get().as_bytes();
        Settlement::Completed(match bytes.len() <= self.cfg.max_output_bytes {
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
            expires: self.cfg.intent_ttl,
        }
    }

    /// Hands `settle` to any reachable keeper if no quorum has it after [`HOLD_AFTER`]. Returns
    /// once one holds it. Only for settlements that say that a call ran; for others it never
    /// returns.
    async fn hold_if_late(&self, settle: &Settle) {
        let is_only_copy = matches!(
            settle.settlement,
            Settlement::Completed(_) | Settlement::Refused { .. }
        );
        if !is_only_copy {
            return std::future::pending().await;
        }
        sleep(HOLD_AFTER).await;
        let req = KeeperRequest::Hold(settle.clone());
        loop {
            let peers = self.quorum.keepers().peers().iter();
            let mut replies: FuturesUnordered<_> = peers
                .map(|peer| peer.call::<_, KeeperReply>(Channel::Keeper, &req, HOLD_TIMEOUT))
                .collect();
            while let Some(reply) = replies.next().await {
                if matches!(reply, Ok(KeeperReply::Held)) {
                    return;
                }
            }
            sleep(SETTLE_RETRY_INTERVAL).await;
        }
    }

    async fn settle_until_committed(&self, settle: Settle) {
        let until = Instant::now() + self.cfg.settle_timeout;
        let req = KeeperRequest::Settle(settle);
        while Instant::now() < until {
            let remaining = until.saturating_duration_since(Instant::now());
            match self.quorum.keepers().request(&req, remaining).await {
                Ok(KeeperReply::Settled) => return,
                Ok(KeeperReply::Invalid(reason)) => {
                    warn!("settle: refused by the keepers: {}", reason);
                    return;
                }
                _ => sleep(SETTLE_RETRY_INTERVAL).await,
            }
        }
        warn!(
            "settle: no quorum of keepers within {:?}; the key stays in progress",
            self.cfg.settle_timeout
        );
    }
}

/// Releases an intent in the background when dropped, unless its reply was received.
struct RetractOnDrop<'a> {
    ledger: &'a Ledger,
    intent: Option<Intent>,
}

impl Drop for RetractOnDrop<'_> {
    fn drop(&mut self) {
        let Some(intent) = self.intent.take() else {
            return;
        };
        let (ledger, in_flight) = (self.ledger.clone(), self.ledger.inflight.track());
        // The release also applies to an intent that arrives after it.
        let settle = Settle {
            key: intent.key,
            attempt: intent.attempt,
            settlement: Settlement::Released,
        };
        tokio::spawn(async move {
            let _in_flight = in_flight;
            ledger.settle_until_committed(settle).await;
        });
    }
}

/// SHA-256 of workspace, pipeline and input, each prefixed with its length.
pub(crate) fn digest(workspace: &str, pipeline: &str, input: &str) -> Vec<u8> {
    let mut sha = Sha256::new();
    for part in [workspace, pipeline, input] {
        sha.update((part.len() as u64).to_be_bytes());
        sha.update(part);
    }
    sha.finalize().to_vec()
}

/// Returns the ledger key of the `nth` unrepeatable stage of a request. The first one (0) uses the
/// caller's key. Later ones get a UUIDv7 with the same timestamp whose other bits are a digest of
/// key and `nth`.
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
