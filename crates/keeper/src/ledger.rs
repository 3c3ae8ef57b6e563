//! The at-most-once ledger: which attempt was granted a call, and the call's outcome.
//!
//! Keys are UUIDv7 and sorted by timestamp, so the ones past retention are a prefix. A key below
//! the horizon is always refused; pruning a key therefore never allows its call to run twice.

use link::keeper::{IntentReply, LedgerEntry, Output, Settle, Settlement};
use uuid::Uuid;

use crate::{
    chunked_map::ChunkedMap,
    codec::{Cursor, put_bytes, put_u64},
    entry::{DIGEST_BYTES, GrantIntent, Stamp},
};

/// Maximum number of keys pruned while applying one entry, to bound the time per entry.
const MAX_PRUNED_PER_ENTRY: usize = 1_000;

/// Size of a record in a snapshot without its settlement, in bytes.
const RECORD_BYTES: usize = 16 + DIGEST_BYTES + 16 + 8 + 4;

/// The ledger's record of one key.
#[derive(Clone, Debug, PartialEq)]
struct Record {
    digest: [u8; DIGEST_BYTES],
    attempt: [u8; 16],
    /// End of the time in which the call may be sent, in milliseconds since the Unix epoch.
    expires_ms: u64,
    /// The settlement as encoded by [`pack`]; empty while there is none.
    packed: Box<[u8]>,
}

/// The at-most-once ledger; clones share unchanged chunks of records.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    records: ChunkedMap<Record>,
    horizon_ms: u64,
    output_bytes: u64,
}

/// Why a settlement was refused.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum SettleError {
    /// The key is not in the ledger.
    #[error("settle: the key is not in the ledger or is older than the retention window")]
    NoKey,
    /// Another attempt was granted.
    #[error("settle: this attempt does not have the key")]
    OtherAttempt,
    /// The key was settled with a different outcome.
    #[error("settle: the key was settled in another way before")]
    AlreadySettled,
}

impl Ledger {
    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if the ledger has no keys.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Total size of the encoded settlements, in bytes.
    pub fn output_bytes(&self) -> u64 {
        self.output_bytes
    }

    /// Moves the horizon forward and prunes some of the keys below it.
    pub fn advance(&mut self, clock_ms: u64, retention_ms: u64) {
        let horizon = clock_ms.saturating_sub(retention_ms);
        self.horizon_ms = self.horizon_ms.max(horizon);
        for _ in 0..MAX_PRUNED_PER_ENTRY {
            let first = self.records.first_key();
            if first.is_none_or(|key| key_time_ms(key) >= self.horizon_ms) {
                return;
            }
            if let Some((_, record)) = self.records.pop_first() {
                self.output_bytes -= record.packed.len() as u64;
            }
        }
    }

    /// Grants `intent`, or returns why not. `clock_ms` is the state's time.
    pub fn grant(&mut self, clock_ms: u64, stamp: &Stamp, intent: &GrantIntent) -> IntentReply {
        let key = intent.key.as_u128();
        let time = key_time_ms(key);
        if time < self.horizon_ms {
            return IntentReply::TooOld;
        }
        if time > clock_ms.saturating_add(stamp.skew_ms) {
            return IntentReply::InFuture;
        }
        let is_full = self.records.len() as u64 >= stamp.max_keys;
        let new = Record {
            digest: intent.digest,
            attempt: intent.attempt.into_bytes(),
            expires_ms: clock_ms.saturating_add(intent.expires_ms),
            packed: Box::default(),
        };
        match self.records.get_mut(key) {
            None if is_full => IntentReply::Full,
            None => {
                self.records.insert(key, new);
                IntentReply::Granted
            }
            Some(old) => {
                reply_to_known_key(old, new, clock_ms, stamp.grace_ms, &mut self.output_bytes)
            }
        }
    }

    /// Records the outcome of a granted call. Settling again with the same outcome changes nothing.
    pub fn settle(
        &mut self,
        clock_ms: u64,
        stamp: &Stamp,
        settle: &Settle,
    ) -> Result<(), SettleError> {
        let key = settle.key.as_u128();
        let record = match self.records.get_mut(key) {
            None if settle.settlement == Settlement::Released => {
                return self.release_before_intent(clock_ms, stamp, settle);
            }
            None => return Err(SettleError::NoKey),
            Some(_) if key_time_ms(key) < self.horizon_ms => return Err(SettleError::NoKey),
            Some(record) => record,
        };
        if record.attempt != settle.attempt.into_bytes() {
            return Err(SettleError::OtherAttempt);
        }
        let free_bytes = stamp
            .max_total_output_bytes
            .saturating_sub(self.output_bytes);
        let packed = pack(&settle.settlement, free_bytes);
        match (unpack(&record.packed), &settle.settlement) {
            (None, _)
            | (Some(Settlement::Unknown), Settlement::Completed(_) | Settlement::Refused { .. }) => {
            }
            // The same outcome; the output stored first is kept.
            (Some(Settlement::Completed(_)), Settlement::Completed(_)) => return Ok(()),
            (Some(old), new) if old == *new => return Ok(()),
            // A gate reports `unknown` if it timed out after the reply to its settlement was lost.
            (Some(Settlement::Completed(_) | Settlement::Refused { .. }), Settlement::Unknown) => {
                return Ok(());
            }
            (Some(_), _) => return Err(SettleError::AlreadySettled),
        }
        self.output_bytes -= record.packed.len() as u64;
        self.output_bytes += packed.len() as u64;
        record.packed = packed;
        Ok(())
    }

    /// Records a release that overtook its intent, so that the intent is not granted on arrival.
    fn release_before_intent(
        &mut self,
        clock_ms: u64,
        stamp: &Stamp,
        settle: &Settle,
    ) -> Result<(), SettleError> {
        let key = settle.key.as_u128();
        let window = self.horizon_ms..=clock_ms.saturating_add(stamp.skew_ms);
        let is_full = self.records.len() as u64 >= stamp.max_keys;
        if is_full || !window.contains(&key_time_ms(key)) {
            return Err(SettleError::NoKey);
        }
        let packed = pack(&Settlement::Released, 0);
        self.output_bytes += packed.len() as u64;
        let record = Record {
            digest: [0; DIGEST_BYTES],
            attempt: settle.attempt.into_bytes(),
            expires_ms: clock_ms,
            packed,
        };
        self.records.insert(key, record);
        Ok(())
    }

    /// Returns the state of `key` at `now_ms`.
    pub fn lookup(&self, now_ms: u64, grace_ms: u64, key: Uuid) -> LedgerEntry {
        let key = key.as_u128();
        match self.records.get(key) {
            _ if key_time_ms(key) < self.horizon_ms => LedgerEntry::TooOld,
            None => LedgerEntry::Absent,
            Some(record) => match unpack(&record.packed) {
                Some(Settlement::Released) => LedgerEntry::Absent,
                Some(settlement) => LedgerEntry::Settled(settlement),
                None if now_ms > record.expires_ms.saturating_add(grace_ms) => {
                    LedgerEntry::Settled(Settlement::Unknown)
                }
                None => LedgerEntry::InProgress,
            },
        }
    }

    /// Appends the encoded ledger to `buf`.
    pub fn write(&self, buf: &mut Vec<u8>) {
        buf.reserve(self.records.len() * RECORD_BYTES + self.output_bytes as usize);
        put_u64(buf, self.horizon_ms);
        put_u64(buf, self.records.len() as u64);
        for (key, record) in self.records.iter() {
            buf.extend_from_slice(&key.to_be_bytes());
            buf.extend_from_slice(&record.digest);
            buf.extend_from_slice(&record.attempt);
            put_u64(buf, record.expires_ms);
            put_bytes(buf, &record.packed);
        }
    }

    /// Decodes a ledger written by [`Ledger::write`]; fails if the bytes are truncated.
    pub fn read(cursor: &mut Cursor<'_>) -> Result<Self, String> {
        let mut ledger = Self {
            horizon_ms: cursor.u64()?,
            ..Self::default()
        };
        let len = cursor.u64()?;
        for _ in 0..len {
            let key = u128::from_be_bytes(cursor.array()?);
            let record = Record {
                digest: cursor.array()?,
                attempt: cursor.array()?,
                expires_ms: cursor.u64()?,
                packed: cursor.bytes()?.into(),
            };
            ledger.output_bytes += record.packed.len() as u64;
            ledger.records.insert(key, record);
        }
        Ok(ledger)
    }
}

/// Replies to an intent whose key already has a record.
fn reply_to_known_key(
    old: &mut Record,
    new: Record,
    clock_ms: u64,
    grace_ms: u64,
    output_bytes: &mut u64,
) -> IntentReply {
    let is_same_attempt = old.attempt == new.attempt;
    match unpack(&old.packed) {
        Some(Settlement::Released) if !is_same_attempt => {
            *output_bytes -= old.packed.len() as u64;
            *old = new;
            IntentReply::Granted
        }
        Some(Settlement::Released) => IntentReply::Settled(Settlement::Released),
        _ if old.digest != new.digest => IntentReply::Conflict,
        Some(settlement) => IntentReply::Settled(settlement),
        None if is_same_attempt && clock_ms <= old.expires_ms => IntentReply::Granted,
        // The attempt has expired and may no longer send; the key is never granted to another.
        None if is_same_attempt => IntentReply::Settled(Settlement::Unknown),
        None if clock_ms > old.expires_ms.saturating_add(grace_ms) => {
            IntentReply::Settled(Settlement::Unknown)
        }
        None => IntentReply::InProgress,
    }
}

/// The timestamp of a UUIDv7, in milliseconds since the Unix epoch.
pub fn key_time_ms(key: u128) -> u64 {
    (key >> 80) as u64
}

const COMPLETED: u8 = 1;
const TOO_LARGE: u8 = 2;
const REFUSED: u8 = 3;
const UNKNOWN: u8 = 4;
const RELEASED: u8 = 5;

/// Encodes a settlement compactly; an output over `free_bytes` is replaced by its size.
fn pack(settlement: &Settlement, free_bytes: u64) -> Box<[u8]> {
    let mut buf = Vec::new();
    match settlement {
        Settlement::Completed(Output::Whole(bytes)) if bytes.len() as u64 <= free_bytes => {
            buf.reserve_exact(bytes.len() + 1);
            buf.push(COMPLETED);
            buf.extend_from_slice(bytes);
        }
        Settlement::Completed(Output::Whole(bytes)) => {
            buf.push(TOO_LARGE);
            put_u64(&mut buf, bytes.len() as u64);
        }
        Settlement::Completed(Output::TooLarge(size)) => {
            buf.push(TOO_LARGE);
            put_u64(&mut buf, *size);
        }
        Settlement::Refused { status, detail } => {
            buf.push(REFUSED);
            buf.extend_from_slice(&status.to_be_bytes());
            buf.extend_from_slice(detail.as_bytes());
        }
        Settlement::Unknown => buf.push(UNKNOWN),
        Settlement::Released => buf.push(RELEASED),
    }
    buf.into_boxed_slice()
}

/// Decodes a settlement encoded by [`pack`]; `None` if there is none.
fn unpack(bytes: &[u8]) -> Option<Settlement> {
    let (tag, rest) = bytes.split_first()?;
    Some(match (*tag, rest) {
        (COMPLETED, output) => Settlement::Completed(Output::Whole(output.to_vec())),
        (TOO_LARGE, size) => {
            let size = size.try_into().map_or(0, u64::from_be_bytes);
            Settlement::Completed(Output::TooLarge(size))
        }
        (REFUSED, [high, low, detail @ ..]) => Settlement::Refused {
            status: u16::from_be_bytes([*high, *low]),
            detail: String::from_utf8_lossy(detail).into_owned(),
        },
        (RELEASED, _) => Settlement::Released,
        _ => Settlement::Unknown,
    })
}
