//! The [`State`] behind a lock, written by the replicated log and read by services and followers.

use std::{
    sync::{Arc, RwLock, RwLockReadGuard, RwLockWriteGuard},
    time::Duration,
};

use link::follower::Feed;
use replica::StateMachine;
use spdlog::{error, info};
use tokio::{
    sync::watch,
    time::{Instant, timeout},
};

use crate::{
    entry::LeaseView,
    leases::LeaseClock,
    state::{Applied, State},
};

/// Maximum encoded size of the recent changes that followers can catch up with after a restart without
/// a snapshot.
const MAX_PRELOADED_BYTES: usize = 1 << 20;

/// The state of one keeper, shared between tasks.
#[derive(Debug)]
pub struct SharedState {
    inner: RwLock<Inner>,
    feed: Feed,
    published: watch::Sender<bool>,
    start: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    state: State,
    lease_clock: LeaseClock,
    is_published: bool,
}

impl Default for SharedState {
    fn default() -> Self {
        Self::new()
    }
}

impl SharedState {
    /// Creates an empty state that is not yet published to followers.
    pub fn new() -> Self {
        Self {
            inner: RwLock::default(),
            feed: Feed::new(),
            published: watch::Sender::new(false),
            start: Instant::now(),
        }
    }

    /// Returns the callbacks by which the replicated log applies entries to this state.
    pub fn state_machine(self: &Arc<Self>) -> StateMachine {
        let (apply, snapshot, restore, digest) = (
            Arc::clone(self),
            Arc::clone(self),
            Arc::clone(self),
            Arc::clone(self),
        );
        StateMachine {
            apply: Box::new(move |index, bytes| apply.apply(index, bytes)),
            snapshot: Box::new(move || {
                let view = snapshot.read(State::clone);
                Box::new(move || view.snapshot())
            }),
            restore: Box::new(move |_, bytes| restore.restore(bytes)),
            digest: Box::new(move || digest.read(State::digest)),
        }
    }

    /// Calls `f` with the state under the read lock.
    pub fn read<T>(&self, f: impl FnOnce(&State) -> T) -> T {
        f(&self.inner().state)
    }

    /// Returns the feed that followers read the declaration from.
    pub fn feed(&self) -> &Feed {
        &self.feed
    }

    /// Returns the current state of the lease `name` by this keeper's clock.
    pub fn lease_view(&self, name: &str) -> LeaseView {
        let inner = self.inner();
        let now = self.elapsed();
        inner.lease_clock.view(&inner.state.leases, name, now)
    }

    /// Waits up to `limit` until the state is published; returns true if it is.
    pub async fn wait_published(&self, limit: Duration) -> bool {
        let mut published = self.published.subscribe();
        let published = published.wait_for(|is_published| *is_published);
        timeout(limit, published).await.is_ok()
    }

    /// Publishes the declaration, and all later changes of it, to followers.
    pub fn publish(&self) {
        let mut inner = self.inner_mut();
        inner.is_published = true;
        self.publish_document(&inner.state);
        self.published.send_replace(true);
    }

    fn apply(&self, index: u64, bytes: &[u8]) -> Vec<u8> {
        let mut inner = self.inner_mut();
        let inner = &mut *inner;
        let before = inner.state.declaration.revision();
        let oldest_before = inner.state.declaration.oldest_audit();
        let Applied {
            reply,
            lease,
            events,
        } = inner.state.apply(index, bytes);
        let now = self.elapsed();
        if let Some(name) = lease {
            inner.lease_clock.observe(&inner.state.leases, &name, now);
        }
        if inner.is_published && inner.state.declaration.revision() > before {
            self.publish_change(&inner.state);
        }
        // Entries from before this process was current are not logged again.
        if inner.is_published {
            log_dropped_history(oldest_before, inner.state.declaration.oldest_audit());
            for event in &events {
                logs::write(None, event);
            }
        }
        reply
    }

    fn restore(&self, bytes: &[u8]) -> Result<(), String> {
        let state = State::restore(bytes)?;
        let mut inner = self.inner_mut();
        inner.state = state;
        let now = self.elapsed();
        let Inner {
            state, lease_clock, ..
        } = &mut *inner;
        lease_clock.reset(&state.leases, now);
        if inner.is_published {
            self.publish_document(&inner.state);
        }
        Ok(())
    }

    fn publish_change(&self, state: &State) {
        let change = state.declaration.last().into_iter().collect();
        if self.feed.advance(change).is_err() {
            self.publish_document(state);
        }
    }

    fn publish_document(&self, state: &State) {
        let declaration = &state.declaration;
        let document = declaration.document().clone();
        let published = self.feed.replace(declaration.revision(), document);
        match published {
            Ok(_) => self.feed.preload(declaration.recent(MAX_PRELOADED_BYTES)),
            Err(e) => error!("{e}", kv: { step = "publish the declaration" }),
        }
    }

    fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    fn inner(&self) -> RwLockReadGuard<'_, Inner> {
        self.inner.read().expect("no holder of this lock panics")
    }

    fn inner_mut(&self) -> RwLockWriteGuard<'_, Inner> {
        self.inner.write().expect("no holder of this lock panics")
    }
}

/// Logs that the audit records from revision `from` to before `oldest` were dropped, if there are any.
fn log_dropped_history(from: u64, oldest: u64) {
    // A history that was empty begins with the revision that was next.
    if oldest > from {
        info!("dropped the oldest audit records: the audit trail is full",
            kv: { records = oldest - from, oldest });
    }
}
