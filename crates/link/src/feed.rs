//! The declaration in force at one process, with the recent changes, as served to followers.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use declaration::{Declaration, Document, Faults};
use thiserror::Error;
use tokio::{sync::watch, time::timeout};

use crate::{
    decode, encode,
    follow::{FollowReply, FollowRequest, Revision},
};

/// Maximum number of changes that are kept and sent in one reply; a follower further behind gets a
/// snapshot.
const MAX_RECENT_CHANGES: usize = 512;
/// Size up to which changes are kept also if the whole document is smaller, in bytes.
const MIN_RECENT_BYTES: usize = 64 << 10;
/// Upper bound on the `wait` that followers request.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// A declaration that is in force.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveDeclaration {
    /// Its revision; 0 for the empty declaration of a new system.
    pub revision: u64,
    /// Its sections.
    pub document: Document,
    /// The parsed form of `document`.
    pub declaration: Declaration,
}

impl ActiveDeclaration {
    fn new(
        revision: u64,
        document: Document,
        parsed: Result<Declaration, Faults>,
    ) -> Result<Self, FeedError> {
        let invalid = |faults: Faults| FeedError::InvalidDocument {
            revision,
            faults: faults.to_string(),
        };
        Ok(Self {
            revision,
            document,
            declaration: parsed.map_err(invalid)?,
        })
    }
}

/// Error of putting changes from a source in force.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum FeedError {
    /// Changes are missing between the revision in force and the received one.
    #[error(
        "follow the declaration: received revision {received} after {revision}; changes are missing"
    )]
    Gap {
        /// The revision in force here.
        revision: u64,
        /// The first received revision that does not follow.
        received: u64,
    },
    /// The document is not valid for this version of the program.
    #[error("follow the declaration: revision {revision} cannot be read here: {faults}")]
    InvalidDocument {
        /// The received revision.
        revision: u64,
        /// The faults of the document.
        faults: String,
    },
}

/// Stores the declaration in force and serves it to followers; its revision never decreases.
#[derive(Debug)]
pub struct Feed {
    tx: watch::Sender<Option<Arc<ActiveDeclaration>>>,
    /// Serializes writers while they build the next state; readers still see the current one.
    writer: Mutex<()>,
    recent: Mutex<RecentChanges>,
}

/// Recent changes, and the last encoded reply, which followers at the same revision share.
#[derive(Debug, Default)]
struct RecentChanges {
    changes: VecDeque<Revision>,
    encoded_reply: Option<EncodedReply>,
}

impl RecentChanges {
    /// Drops the oldest changes that together are larger than `document`: a follower that lacks them
    /// is better served with a snapshot.
    fn trim(&mut self, document: &Document) {
        let max_bytes = document.approximate_bytes().max(MIN_RECENT_BYTES);
        let mut bytes = 0;
        let newest = self.changes.iter().rev().take(MAX_RECENT_CHANGES);
        let kept = newest.take_while(|change| {
            bytes += change.approximate_bytes();
            bytes <= max_bytes
        });
        let surplus = self.changes.len() - kept.count();
        self.changes.drain(..surplus);
    }
}

#[derive(Debug)]
struct EncodedReply {
    after: u64,
    through: u64,
    bytes: Vec<u8>,
}

impl Default for Feed {
    fn default() -> Self {
        Self::new()
    }
}

impl Feed {
    /// Creates a feed with nothing in force.
    pub fn new() -> Self {
        Self {
            tx: watch::Sender::new(None),
            writer: Mutex::default(),
            recent: Mutex::default(),
        }
    }

    /// Subscribes to the declaration in force.
    pub fn in_force(&self) -> watch::Receiver<Option<Arc<ActiveDeclaration>>> {
        self.tx.subscribe()
    }

    /// Returns the revision in force, if any.
    pub fn revision(&self) -> Option<u64> {
        self.tx.borrow().as_ref().map(|f| f.revision)
    }

    /// Puts changes in force, skipping those at or below the revision in force. Returns true if any
    /// was new.
    pub fn advance(&self, changes: Vec<Revision>) -> Result<bool, FeedError> {
        let _writer = self.lock_writer();
        let current = self.tx.borrow().clone();
        let (mut revision, mut document) = match &current {
            Some(f) => (f.revision, f.document.clone()),
            None => (0, Document::default()),
        };
        let before = current.as_ref().map(|f| &f.declaration);
        let new: Vec<Revision> = changes
            .into_iter()
            .filter(|change| change.revision > revision)
            .collect();
        if new.is_empty() && current.is_some() {
            return Ok(false);
        }
        for change in &new {
            if change.revision != revision + 1 {
                let received = change.revision;
                return Err(FeedError::Gap { revision, received });
            }
            document.apply(&change.sections);
            revision = change.revision;
        }
        let changed_sections = new.iter().flat_map(|r| r.sections.iter().map(|s| &s.id));
        let parsed = match before {
            Some(declaration) => declaration.amended(&document, changed_sections),
            None => Declaration::from_document(&document),
        };
        let in_force = ActiveDeclaration::new(revision, document, parsed)?;
        let mut recent = self.lock();
        recent.changes.extend(new);
        recent.trim(&in_force.document);
        recent.encoded_reply = None;
        self.tx.send_replace(Some(Arc::new(in_force)));
        Ok(true)
    }

    /// Puts a whole document in force unless its revision or a later one already is. Returns true if
    /// it was new.
    pub fn replace(&self, revision: u64, document: Document) -> Result<bool, FeedError> {
        let _writer = self.lock_writer();
        if self.revision().is_some_and(|own| own >= revision) {
            return Ok(false);
        }
        let parsed = Declaration::from_document(&document);
        let in_force = ActiveDeclaration::new(revision, document, parsed)?;
        let mut recent = self.lock();
        recent.changes.clear();
        recent.encoded_reply = None;
        self.tx.send_replace(Some(Arc::new(in_force)));
        Ok(true)
    }

    /// Adds changes that lead to the revision in force, so that followers that lack only some of
    /// them need no snapshot.
    pub fn preload(&self, changes: Vec<Revision>) {
        let mut recent = self.lock();
        let current = self.tx.borrow().clone();
        let last = changes.last().map(|change| change.revision);
        if let Some(f) = current.filter(|f| Some(f.revision) == last) {
            recent.changes = changes.into();
            recent.trim(&f.document);
            recent.encoded_reply = None;
        }
    }

    /// Applies a source's reply. Returns true if anything was new.
    pub fn apply(&self, reply: FollowReply) -> Result<bool, FeedError> {
        match reply {
            FollowReply::Changes(changes) => self.advance(changes),
            FollowReply::Snapshot { revision, document } => self.replace(revision, document),
            // The empty declaration is in force once a source confirms it.
            FollowReply::Unchanged { revision: 0 } => self.replace(0, Document::default()),
            FollowReply::Unchanged { .. } | FollowReply::Unavailable => Ok(false),
        }
    }

    /// Handles an encoded [`FollowRequest`] and returns an encoded [`FollowReply`], delayed until there
    /// is a newer revision or the requested wait is over.
    pub async fn answer(&self, body: &[u8]) -> Vec<u8> {
        let Ok(follow) = decode::<FollowRequest>(body) else {
            return encode(&FollowReply::Unavailable);
        };
        let mut rx = self.tx.subscribe();
        let mut revision = rx.borrow_and_update().as_ref().map(|f| f.revision);
        if revision == Some(follow.after) {
            let is_new = |f: &Option<Arc<ActiveDeclaration>>| {
                f.as_ref().is_some_and(|f| f.revision > follow.after)
            };
            let waited = timeout(follow.wait.min(MAX_WAIT), rx.wait_for(is_new)).await;
            if let Ok(Ok(f)) = waited {
                revision = f.as_ref().map(|f| f.revision);
            }
        }
        match revision {
            None => encode(&FollowReply::Unavailable),
            Some(revision) if revision <= follow.after => {
                encode(&FollowReply::Unchanged { revision })
            }
            Some(_) => self.encoded_reply(follow.after),
        }
    }

    /// Returns the encoded changes, or a snapshot, that lead from `after` to the revision in force.
    fn encoded_reply(&self, after: u64) -> Vec<u8> {
        let mut recent = self.lock();
        let current = self.tx.borrow().clone();
        let Some(f) = current else {
            return encode(&FollowReply::Unavailable);
        };
        match &recent.encoded_reply {
            Some(e) if (e.after, e.through) == (after, f.revision) => return e.bytes.clone(),
            _ => {}
        }
        let first = recent.changes.front().map_or(u64::MAX, |r| r.revision);
        let answer = if first <= after + 1 {
            let later = recent.changes.iter().filter(|r| r.revision > after);
            FollowReply::Changes(later.cloned().collect())
        } else {
            FollowReply::Snapshot {
                revision: f.revision,
                document: f.document.clone(),
            }
        };
        let bytes = encode(&answer);
        recent.encoded_reply = Some(EncodedReply {
            after,
            through: f.revision,
            bytes: bytes.clone(),
        });
        bytes
    }

    fn lock_writer(&self) -> MutexGuard<'_, ()> {
        self.writer.lock().expect("no holder of this lock panics")
    }

    fn lock(&self) -> MutexGuard<'_, RecentChanges> {
        self.recent.lock().expect("no holder of this lock panics")
    }
}
