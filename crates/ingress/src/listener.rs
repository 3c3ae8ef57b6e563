//! Shares the table of connections between the tasks of one listener.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_util::task::AtomicWaker;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use crate::{
    connections::{Admission, ConnectionId, Connections, Reason, Timeouts},
    shared::SharedStream,
};

/// Time between checks of time limits. One task checks all connections, so that none needs a timer.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(250);
/// Value of [`Signal::reason`] of a connection that stays open.
const OPEN: u8 = u8::MAX;

/// Connections of one listener. Clones share them.
#[derive(Clone, Debug)]
pub struct Listener(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    counts: [AtomicU64; Reason::ALL.len()],
    max_open: usize,
}

#[derive(Debug)]
struct State {
    table: Connections,
    /// By [`ConnectionId`].
    signals: Vec<Option<Arc<Signal>>>,
    by_peer: HashMap<SocketAddr, ConnectionId>,
}

/// Tells the task of a connection to close it.
#[derive(Debug)]
struct Signal {
    reason: AtomicU8,
    waker: AtomicWaker,
}

impl State {
    fn close(&self, id: ConnectionId, reason: Reason) {
        if let Some(signal) = self.signals.get(id).and_then(Option::as_ref) {
            signal.reason.store(reason as u8, Ordering::Release);
            signal.waker.wake();
        }
    }
}

impl Listener {
    /// Creates the table of a listener; see [`Connections::new`].
    pub fn new(max_open: usize, max_head_bytes: usize) -> Self {
        Self(Arc::new(Shared {
            state: Mutex::new(State {
                table: Connections::new(max_open, max_head_bytes),
                signals: Vec::new(),
                by_peer: HashMap::new(),
            }),
            counts: Default::default(),
            max_open,
        }))
    }

    /// Admits a connection from `peer`, or returns `None` if it is refused. May close another one.
    pub fn admit(&self, peer: SocketAddr, timeouts: Timeouts) -> Option<Lease> {
        let mut state = self.lock();
        let id = match state.table.admit(timeouts, Instant::now()) {
            Admission::Admitted(id) => id,
            Admission::Replaces { id, closed, reason } => {
                state.close(closed, reason);
                self.count(reason);
                id
            }
            Admission::Refused => {
                self.count(Reason::Full);
                return None;
            }
        };
        let signal = Arc::new(Signal {
            reason: AtomicU8::new(OPEN),
            waker: AtomicWaker::new(),
        });
        if state.signals.len() <= id {
            state.signals.resize(id + 1, None);
        }
        state.signals[id] = Some(Arc::clone(&signal));
        state.by_peer.insert(peer, id);
        Some(Lease(Arc::new(LeaseState {
            listener: self.clone(),
            id,
            peer,
            signal,
        })))
    }

    /// Marks the connection from `peer` as serving a request until the guard is dropped. For HTTP
    /// libraries that do not pass the connection to the handler.
    pub fn serving(&self, peer: SocketAddr) -> Option<RequestGuard> {
        let mut state = self.lock();
        let id = *state.by_peer.get(&peer)?;
        let signal = state.signals.get(id)?.clone()?;
        state.table.start_serving(id);
        Some(RequestGuard {
            listener: self.clone(),
            id,
            signal,
        })
    }

    /// Closes connections whose time is over, until dropped.
    pub async fn expire(self) {
        let mut ticks = interval(EXPIRE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let mut expired = Vec::new();
            let mut state = self.lock();
            state
                .table
                .expire(Instant::now(), |id, reason| expired.push((id, reason)));
            for (id, reason) in expired {
                state.close(id, reason);
                self.count(reason);
            }
        }
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.lock().table.open()
    }

    /// Limit on open connections.
    pub fn max_open(&self) -> usize {
        self.0.max_open
    }

    /// Bytes of heads that are not complete.
    pub fn head_bytes(&self) -> usize {
        self.lock().table.head_bytes()
    }

    /// Connections closed or refused because of `reason`.
    pub fn closed(&self, reason: Reason) -> u64 {
        self.0.counts[reason as usize].load(Ordering::Relaxed)
    }

    fn count(&self, reason: Reason) {
        self.0.counts[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().expect("no holder of this lock panics")
    }
}

/// An admitted connection. It leaves the table when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Lease(Arc<LeaseState>);

#[derive(Debug)]
struct LeaseState {
    listener: Listener,
    id: ConnectionId,
    peer: SocketAddr,
    signal: Arc<Signal>,
}

impl Lease {
    /// Returns why the connection is to be closed, if it is.
    pub fn close_reason(&self) -> Option<Reason> {
        let reason = self.0.signal.reason.load(Ordering::Acquire);
        Reason::ALL.get(usize::from(reason)).copied()
    }

    /// Marks the connection as serving a request until the guard is dropped.
    pub fn serving(&self) -> RequestGuard {
        self.0.listener.lock().table.start_serving(self.0.id);
        RequestGuard {
            listener: self.0.listener.clone(),
            id: self.0.id,
            signal: Arc::clone(&self.0.signal),
        }
    }

    /// Waits until `client` has left while a request of it is served. HTTP libraries do not notice that
    /// while bytes of a further request are buffered, and end a connection without a request themselves.
    pub async fn abandoned(&self, client: SharedStream) {
        client.closed().await;
        while !self.0.listener.lock().table.is_serving(self.0.id) {
            sleep(EXPIRE_INTERVAL).await;
        }
    }

    pub(crate) fn record_read(&self, bytes: usize) {
        let mut state = self.0.listener.lock();
        if let Some(closed) = state.table.record_read(self.0.id, bytes, Instant::now()) {
            state.close(closed, Reason::Head);
            self.0.listener.count(Reason::Head);
        }
    }

    pub(crate) fn record_write(&self, is_blocked: bool) {
        let mut state = self.0.listener.lock();
        state
            .table
            .record_write(self.0.id, is_blocked, Instant::now());
    }

    pub(crate) fn is_read_ahead(&self) -> bool {
        self.0.listener.lock().table.is_read_ahead(self.0.id)
    }

    pub(crate) fn register(&self, waker: &std::task::Waker) {
        self.0.signal.waker.register(waker);
    }
}

impl Drop for LeaseState {
    fn drop(&mut self) {
        let mut state = self.listener.lock();
        state.table.remove(self.id);
        state.signals[self.id] = None;
        // The kernel may have given the address to a later connection already.
        if state.by_peer.get(&self.peer) == Some(&self.id) {
            state.by_peer.remove(&self.peer);
        }
    }
}

/// Marks a connection as serving a request until dropped.
#[derive(Debug)]
pub struct RequestGuard {
    listener: Listener,
    id: ConnectionId,
    signal: Arc<Signal>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut state = self.listener.lock();
        // The connection may be gone and its id used again.
        let current = state.signals.get(self.id).and_then(Option::as_ref);
        if current.is_some_and(|signal| Arc::ptr_eq(signal, &self.signal)) {
            state.table.finish_serving(self.id, Instant::now());
        }
    }
}
