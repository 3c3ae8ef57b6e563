//! The state as the replicated log drives it and as the keeper's pages and followers read it.

use std::{
    sync::{Arc, RwLock, RwLockReadGuard, RwLockWriteGuard},
    time::Duration,
};

use link::follower::Feed;
use replica::StateMachine;
use spdlog::error;
use tokio::time::Instant;

use crate::{
    entry::LeaseView,
    leases::LeaseClock,
    state::{Applied, State},
};

/// Changes that followers may catch up with after a restart without a snapshot.
const RECENT: usize = 512;

/// The state of one keeper.
#[derive(Debug)]
pub struct SharedState {
    inner: RwLock<Inner>,
    feed: Feed,
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
    /// An empty state, not yet published to followers.
    pub fn new() -> Self {
        Self {
            inner: RwLock::default(),
            feed: Feed::new(),
            start: Instant::now(),
        }
    }

    /// The functions by which the log drives this state.
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

    /// Reads the state.
    pub fn read<T>(&self, f: impl FnOnce(&State) -> T) -> T {
        f(&self.inner().state)
    }

    /// What followers are answered from.
    pub fn feed(&self) -> &Feed {
        &self.feed
    }

    /// This keeper's word on a lease now.
    pub fn lease_view(&self, name: &str) -> LeaseView {
        let inner = self.inner();
        let now = self.elapsed();
        inner.lease_clock.view(&inner.state.leases, name, now)
    }

    /// Lets followers see the state from now on.
    pub fn publish(&self) {
        let mut inner = self.inner_mut();
        inner.is_published = true;
        self.show(&inner.state);
    }

    fn apply(&self, index: u64, bytes: &[u8]) -> Vec<u8> {
        let mut inner = self.inner_mut();
        let inner = &mut *inner;
        let before = inner.state.declaration.revision();
        let Applied { reply, lease } = inner.state.apply(index, bytes);
        let now = self.elapsed();
        if let Some(name) = lease {
            inner.lease_clock.observe(&inner.state.leases, &name, now);
        }
        if inner.is_published && inner.state.declaration.revision() > before {
            self.show_change(&inner.state);
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
            self.show(&inner.state);
        }
        Ok(())
    }

    fn show_change(&self, state: &State) {
        let change = state.declaration.last().into_iter().collect();
        if self.feed.advance(change).is_err() {
            self.show(state);
        }
    }

    fn show(&self, state: &State) {
        let declaration = &state.declaration;
        let document = declaration.document().clone();
        let shown = self.feed.replace(declaration.revision(), document);
        match shown {
            Ok(_) => self.feed.preload(declaration.recent(RECENT)),
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
