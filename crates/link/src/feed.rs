//! The declaration in force at one process and the recent changes that led to it, as served to
//! followers.

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

/// Most changes that are kept, and sent in one answer; a follower further behind gets a snapshot.
const MAX_TAIL: usize = 512;
/// Longest time that an answer is held back, whatever the follower asks for.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// A declaration that is in force.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveDeclaration {
    /// Its revision; 0 for the empty one that a fresh system starts with.
    pub revision: u64,
    /// Its sections.
    pub document: Document,
    /// The same as types.
    pub declaration: Declaration,
}

impl ActiveDeclaration {
    fn new(
        revision: u64,
        document: Document,
        typed: Result<Declaration, Faults>,
    ) -> Result<Self, FeedError> {
        let unreadable = |faults: Faults| FeedError::Unreadable {
            revision,
            faults: faults.to_string(),
        };
        Ok(Self {
            revision,
            document,
            declaration: typed.map_err(unreadable)?,
        })
    }
}

/// Why something that came from a source was not put in force.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum FeedError {
    /// Changes are missing between what is in force and what came.
    #[error("follow the declaration: revision {came} came after {revision}; changes are missing")]
    Gap {
        /// In force here.
        revision: u64,
        /// The first that came.
        came: u64,
    },
    /// This program cannot read the document.
    #[error("follow the declaration: revision {revision} cannot be read here: {faults}")]
    Unreadable {
        /// The revision that came.
        revision: u64,
        /// What is wrong with it.
        faults: String,
    },
}

/// Holds what is in force and answers followers from it; its revision only grows.
#[derive(Debug)]
pub struct Feed {
    tx: watch::Sender<Option<Arc<ActiveDeclaration>>>,
    /// Held while the next state is built, so that answers meanwhile come from the present one.
    writer: Mutex<()>,
    recent: Mutex<Recent>,
}

/// What the answers are made of. Answers are encoded once for all followers at the same revision.
#[derive(Debug, Default)]
struct Recent {
    tail: VecDeque<Revision>,
    encoded: Option<Encoded>,
}

#[derive(Debug)]
struct Encoded {
    after: u64,
    upto: u64,
    bytes: Vec<u8>,
}

impl Default for Feed {
    fn default() -> Self {
        Self::new()
    }
}

impl Feed {
    /// A feed with nothing in force.
    pub fn new() -> Self {
        Self {
            tx: watch::Sender::new(None),
            writer: Mutex::default(),
            recent: Mutex::default(),
        }
    }

    /// What is in force, now and whenever it changes.
    pub fn in_force(&self) -> watch::Receiver<Option<Arc<ActiveDeclaration>>> {
        self.tx.subscribe()
    }

    /// The revision in force.
    pub fn revision(&self) -> Option<u64> {
        self.tx.borrow().as_ref().map(|f| f.revision)
    }

    /// Puts changes in force; those at or below the revision in force are skipped. Returns whether
    /// anything was new.
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
                let came = change.revision;
                return Err(FeedError::Gap { revision, came });
            }
            document.apply(&change.sections);
            revision = change.revision;
        }
        let touched = new.iter().flat_map(|r| r.sections.iter().map(|s| &s.id));
        let typed = match before {
            Some(declaration) => declaration.amended(&document, touched),
            None => Declaration::from_document(&document),
        };
        let in_force = ActiveDeclaration::new(revision, document, typed)?;
        let mut recent = self.lock();
        recent.tail.extend(new);
        let surplus = recent.tail.len().saturating_sub(MAX_TAIL);
        recent.tail.drain(..surplus);
        recent.encoded = None;
        self.tx.send_replace(Some(Arc::new(in_force)));
        Ok(true)
    }

    /// Puts a whole document in force unless a later one is. Returns whether it was new.
    pub fn replace(&self, revision: u64, document: Document) -> Result<bool, FeedError> {
        let _writer = self.lock_writer();
        if self.revision().is_some_and(|own| own >= revision) {
            return Ok(false);
        }
        let typed = Declaration::from_document(&document);
        let in_force = ActiveDeclaration::new(revision, document, typed)?;
        let mut recent = self.lock();
        recent.tail.clear();
        recent.encoded = None;
        self.tx.send_replace(Some(Arc::new(in_force)));
        Ok(true)
    }

    /// Adds changes up to the one in force, known from elsewhere, so that followers which lack only
    /// some of them need no snapshot.
    pub fn preload(&self, changes: Vec<Revision>) {
        let mut recent = self.lock();
        if changes.last().map(|change| change.revision) == self.revision() {
            recent.tail = changes.into();
            recent.encoded = None;
        }
    }

    /// Takes a source's answer. Returns whether anything was new.
    pub fn apply(&self, reply: FollowReply) -> Result<bool, FeedError> {
        match reply {
            FollowReply::Changes(changes) => self.advance(changes),
            FollowReply::Snapshot { revision, document } => self.replace(revision, document),
            // The empty declaration is in force from the moment that a source confirms it.
            FollowReply::Unchanged { revision: 0 } => self.replace(0, Document::default()),
            FollowReply::Unchanged { .. } | FollowReply::Unavailable => Ok(false),
        }
    }

    /// Answers an encoded [`FollowRequest`] with an encoded [`FollowReply`], held back until there is
    /// something new for the follower or its wait is over.
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
            Some(_) => self.encoded(follow.after),
        }
    }

    /// The encoded way from `after` to what is in force.
    fn encoded(&self, after: u64) -> Vec<u8> {
        let mut recent = self.lock();
        let current = self.tx.borrow().clone();
        let Some(f) = current else {
            return encode(&FollowReply::Unavailable);
        };
        match &recent.encoded {
            Some(e) if (e.after, e.upto) == (after, f.revision) => return e.bytes.clone(),
            _ => {}
        }
        let first = recent.tail.front().map_or(u64::MAX, |r| r.revision);
        let answer = if first <= after + 1 {
            let later = recent.tail.iter().filter(|r| r.revision > after);
            FollowReply::Changes(later.cloned().collect())
        } else {
            FollowReply::Snapshot {
                revision: f.revision,
                document: f.document.clone(),
            }
        };
        let bytes = encode(&answer);
        recent.encoded = Some(Encoded {
            after,
            upto: f.revision,
            bytes: bytes.clone(),
        });
        bytes
    }

    fn lock_writer(&self) -> MutexGuard<'_, ()> {
        self.writer.lock().expect("no holder of this lock panics")
    }

    fn lock(&self) -> MutexGuard<'_, Recent> {
        self.recent.lock().expect("no holder of this lock panics")
    }
}
