//! The replicated state: declaration, ledger, leases, blocked parts, departures and
//! evacuations, changed only by committed entries.
//!
//! Everything here is deterministic: the same entries give the same state and the same replies on
//! every replica. Time and limits come only from the entries.

use std::sync::Arc;

use bytes::Bytes;
use declaration::Change;
use derives::record;
use link::keeper::{ChangeReply, KeeperReply, LeaseReply, Replacement};
use logs::Event;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    blocked_parts::BlockedParts,
    codec::{Cursor, put_encoded, put_u64},
    declaration_store::{DeclarationSnapshot, DeclarationStore},
    departures::{Departures, DeparturesSnapshot},
    entry::{Command, Entry, Stamp},
    evacuations::Evacuations,
    leases::Leases,
    ledger::Ledger,
};

/// First bytes of a snapshot; the last two hold the format version.
const SNAPSHOT_MAGIC: u64 = 0x6a75_6a75_6265_0001;

/// The state of one replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// The latest stamped time, in milliseconds since the Unix epoch; never decreases.
    clock_ms: u64,
    /// Hash chained over every entry and its encoded reply, error texts included.
    digest: u64,
    /// The declaration, its revisions and its audit trail.
    pub declaration: DeclarationStore,
    /// The at-most-once ledger.
    pub ledger: Ledger,
    /// The leases by name.
    pub leases: Leases,
    /// The last replacement of the whole declaration, if any.
    pub last_replacement: Option<Arc<StoredReplacement>>,
    /// The blocked parts of prompts.
    pub blocked_parts: BlockedParts,
    /// The endpoints that are leaving or gone.
    pub departures: Departures,
    /// The orders to evacuate availability zones.
    pub evacuations: Evacuations,
}

/// A replacement of the whole declaration.
#[record]
#[derive(Eq)]
pub struct StoredReplacement {
    /// The version assigned by the sender.
    pub version: u64,
    /// The document as received; readers share it.
    pub original: Bytes,
}

#[record]
struct SnapshotHead {
    #[serde(rename = "declared")]
    declaration: DeclarationSnapshot,
    leases: Leases,
    #[serde(rename = "replaced", default)]
    last_replacement: Option<Arc<StoredReplacement>>,
    #[serde(default)]
    blocked_parts: BlockedParts,
    #[serde(default)]
    departures: DeparturesSnapshot,
    #[serde(default)]
    evacuations: Evacuations,
}

/// The result of applying an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// The encoded reply.
    pub reply: Vec<u8>,
    /// The name of the lease that the entry requested.
    pub lease: Option<String>,
    /// Changes of the blocked parts and of evacuations, for the log of this process.
    pub events: Vec<Event>,
}

fn requested_lease(command: Command) -> Option<String> {
    match command {
        Command::Lease { request, .. } => Some(request.name),
        _ => None,
    }
}

impl State {
    /// Returns the declaration's revision.
    pub fn declaration_revision(&self) -> u64 {
        self.declaration.revision()
    }

    /// Returns the latest stamped time, in milliseconds since the Unix epoch.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Returns a hash over all entries and replies, by which replicas detect divergence.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Applies the encoded entry at `index`.
    pub fn apply(&mut self, index: u64, bytes: &[u8]) -> Applied {
        let mut events = Vec::new();
        let (reply, lease) = match link::decode::<Entry>(bytes) {
            Ok(entry) => (
                self.apply_entry(index, &entry, &mut events),
                requested_lease(entry.command),
            ),
            Err(e) => (KeeperReply::Invalid(format!("entry {index}: {e}")), None),
        };
        let reply = link::encode(&reply);
        self.digest = xxh3_64_with_seed(bytes, self.digest ^ index);
        self.digest = xxh3_64_with_seed(&reply, self.digest);
        Applied {
            reply,
            lease,
            events,
        }
    }

    fn apply_entry(&mut self, index: u64, entry: &Entry, events: &mut Vec<Event>) -> KeeperReply {
        let stamp = &entry.stamp;
        self.clock_ms = self.clock_ms.max(stamp.now_ms);
        self.ledger.advance(self.clock_ms, stamp.retention_ms);
        self.blocked_parts.advance(self.clock_ms, events);
        match &entry.command {
            Command::Intent(intent) => {
                KeeperReply::Intent(self.ledger.grant(self.clock_ms, stamp, intent))
            }
            Command::Settle(settle) => match self.ledger.settle(self.clock_ms, stamp, settle) {
                Ok(()) => KeeperReply::Settled,
                Err(e) => KeeperReply::Invalid(e.to_string()),
            },
            Command::Lease { request, view } => {
                let reply: Result<LeaseReply, String> = self.leases.request(index, request, view);
                reply.map_or_else(KeeperReply::Invalid, KeeperReply::Lease)
            }
            Command::EndLease { name, fencing } => {
                self.leases.end(name, *fencing);
                KeeperReply::LeaseEnded
            }
            Command::Change(change) => {
                let reply = self.change(change);
                self.limit_history(stamp);
                reply
            }
            Command::Replace(replacement) => {
                let reply = self.replace(replacement);
                self.limit_history(stamp);
                reply
            }
            Command::BlockPart(block) => KeeperReply::PartBlocked {
                is_blocked: self.blocked_parts.block(self.clock_ms, block, events),
            },
            Command::Advance => KeeperReply::Clock {
                now_ms: self.clock_ms,
            },
            Command::Depart(departures) => {
                for departure in departures {
                    self.departures.record(self.clock_ms, departure);
                }
                KeeperReply::Departed
            }
            Command::Evacuate(order) => {
                match self.evacuations.order(self.clock_ms, order, events) {
                    Ok(changed) => KeeperReply::Evacuated {
                        version: self.evacuations.version(),
                        changed,
                    },
                    Err(e) => KeeperReply::Invalid(e),
                }
            }
            Command::UnblockPart {
                part,
                author,
                reason,
            } => KeeperReply::PartUnblocked {
                existed: self
                    .blocked_parts
                    .unblock(self.clock_ms, *part, author, reason, events),
            },
        }
    }

    /// Replaces the declaration unless the same or a higher version was accepted before.
    fn replace(&mut self, replacement: &Replacement) -> KeeperReply {
        let version = replacement.version;
        let current = self.last_replacement.as_ref().map(|r| r.version);
        if let Some(current) = current.filter(|current| *current >= version) {
            return KeeperReply::Replaced {
                version: current,
                applied: false,
            };
        }
        match self.declaration.replace(self.clock_ms, replacement) {
            Ok(ChangeReply::Accepted { .. }) => {}
            Ok(refused) => return KeeperReply::Change(refused),
            Err(e) => return KeeperReply::Invalid(e.to_string()),
        }
        self.last_replacement = Some(Arc::new(StoredReplacement {
            version,
            original: replacement.original.clone().into(),
        }));
        KeeperReply::Replaced {
            version,
            applied: true,
        }
    }

    fn change(&mut self, change: &Change) -> KeeperReply {
        match self.declaration.apply(self.clock_ms, change) {
            Ok(reply) => KeeperReply::Change(reply),
            Err(e) => KeeperReply::Invalid(e.to_string()),
        }
    }

    fn limit_history(&mut self, stamp: &Stamp) {
        let max_bytes = usize::try_from(stamp.max_history_bytes).unwrap_or(usize::MAX);
        self.declaration.limit_history(max_bytes);
    }

    /// Encodes the whole state.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        put_u64(&mut buf, SNAPSHOT_MAGIC);
        put_u64(&mut buf, self.clock_ms);
        put_u64(&mut buf, self.digest);
        let head = SnapshotHead {
            declaration: self.declaration.to_snapshot(),
            leases: self.leases.clone(),
            last_replacement: self.last_replacement.clone(),
            blocked_parts: self.blocked_parts.clone(),
            departures: self.departures.to_snapshot(),
            evacuations: self.evacuations.clone(),
        };
        put_encoded(&mut buf, &head);
        self.ledger.write(&mut buf);
        buf
    }

    /// Decodes a state written by [`State::snapshot`]; fails on another format or truncated bytes.
    pub fn restore(bytes: &[u8]) -> Result<Self, String> {
        let mut cursor = Cursor(bytes);
        if cursor.u64()? != SNAPSHOT_MAGIC {
            return Err("snapshot has another format; run the version that wrote it".to_owned());
        }
        let clock_ms = cursor.u64()?;
        let digest = cursor.u64()?;
        let head = link::decode::<SnapshotHead>(cursor.bytes()?).map_err(|e| e.to_string())?;
        Ok(Self {
            clock_ms,
            digest,
            declaration: DeclarationStore::from_snapshot(head.declaration),
            leases: head.leases,
            last_replacement: head.last_replacement,
            blocked_parts: head.blocked_parts,
            departures: Departures::from_snapshot(head.departures),
            evacuations: head.evacuations,
            ledger: Ledger::read(&mut cursor)?,
        })
    }
}

#[cfg(test)]
mod tests;
