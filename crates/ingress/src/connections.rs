//! Table of one listener's open connections; decides which one is closed or refused.

use std::time::Duration;

use tokio::time::Instant;

/// Connections that were told to close may exceed the limit by this part of it until they have.
const CLOSING_FRACTION: usize = 8;

/// Index of a connection in the table. It is used again once the connection is removed.
pub type ConnectionId = usize;

/// Why a connection is closed or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u8)]
pub enum Reason {
    /// All connections are serving requests.
    Full,
    /// Idle, and closed for a new connection.
    Idle,
    /// An unfinished head, closed for a new connection or because heads hold too much.
    Head,
    /// The head did not arrive in time.
    SlowHead,
    /// The client takes no byte of its answer.
    Unread,
    /// Idle for longer than the limit.
    IdleTooLong,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 6] = [
        Self::Full,
        Self::Idle,
        Self::Head,
        Self::SlowHead,
        Self::Unread,
        Self::IdleTooLong,
    ];

    /// Label for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Idle => "idle",
            Self::Head => "head",
            Self::SlowHead => "slow_head",
            Self::Unread => "unread",
            Self::IdleTooLong => "idle_too_long",
        }
    }
}

/// Time limits of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// From the first byte of a head to its end.
    pub head: Duration,
    /// Without a byte between two requests.
    pub idle: Duration,
    /// Without a byte of an answer taken by the client.
    pub unread: Duration,
}

/// Result of [`Connections::admit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The connection is admitted.
    Admitted(ConnectionId),
    /// The connection is admitted, and another one is to be closed for it.
    Replaces {
        /// The admitted connection.
        id: ConnectionId,
        /// The connection to close.
        closed: ConnectionId,
        /// Why that one is closed.
        reason: Reason,
    },
    /// The connection is refused.
    Refused,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No byte has arrived since the last answer.
    Idle { since: Instant },
    /// A head is arriving.
    Head { since: Instant, bytes: usize },
    /// A request is served: its body is read, or it is answered.
    Serving,
    /// It was told to close.
    Closing,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    state: State,
    timeouts: Timeouts,
    /// Since when the client takes no byte that was written.
    blocked_since: Option<Instant>,
}

/// Open connections of one listener.
#[derive(Debug)]
pub struct Connections {
    entries: Vec<Option<Entry>>,
    free: Vec<ConnectionId>,
    open: usize,
    closing: usize,
    head_bytes: usize,
    max_open: usize,
    max_head_bytes: usize,
}

impl Connections {
    /// Creates a table for `max_open` connections, whose unfinished heads hold `max_head_bytes` at
    /// most.
    pub fn new(max_open: usize, max_head_bytes: usize) -> Self {
        Self {
            entries: Vec::new(),
            free: Vec::new(),
            open: 0,
            closing: 0,
            head_bytes: 0,
            max_open,
            max_head_bytes,
        }
    }

    /// Number of open connections, including those that were told to close.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Bytes of unfinished heads.
    pub fn head_bytes(&self) -> usize {
        self.head_bytes
    }

    /// Admits a new connection. At the limit the connection that has been idle for longest is
    /// closed, then the unfinished head that holds the most bytes. A served request is not closed.
    pub fn admit(&mut self, timeouts: Timeouts, now: Instant) -> Admission {
        if self.open >= self.max_open + (self.max_open / CLOSING_FRACTION).max(1) {
            return Admission::Refused;
        }
        if self.open - self.closing < self.max_open {
            return Admission::Admitted(self.insert(timeouts, now));
        }
        let Some((closed, reason)) = self.victim() else {
            return Admission::Refused;
        };
        self.set(closed, State::Closing);
        Admission::Replaces {
            id: self.insert(timeouts, now),
            closed,
            reason,
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        // Subtracts what the entry holds.
        self.set(id, State::Serving);
        if self
            .entries
            .get_mut(id)
            .is_some_and(|entry| entry.take().is_some())
        {
            self.open -= 1;
            self.free.push(id);
        }
    }

    /// Records `bytes` that arrived. Returns the connection to close if unfinished heads then hold
    /// more than the limit.
    pub fn record_read(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        now: Instant,
    ) -> Option<ConnectionId> {
        let entry = self.entry(id)?;
        let state = match entry.state {
            State::Idle { .. } => State::Head { since: now, bytes },
            State::Head { since, bytes: held } => State::Head {
                since,
                bytes: held + bytes,
            },
            State::Serving | State::Closing => return None,
        };
        self.set(id, state);
        if self.head_bytes <= self.max_head_bytes {
            return None;
        }
        let victim = self.largest_head()?;
        self.set(victim, State::Closing);
        Some(victim)
    }

    /// Records that a request is served. Returns false if the connection was told to close.
    pub fn start_serving(&mut self, id: ConnectionId) -> bool {
        let is_open = self.entry(id).is_some_and(|e| e.state != State::Closing);
        if is_open {
            self.set(id, State::Serving);
        }
        is_open
    }

    /// Records that a request has been answered.
    pub fn finish_serving(&mut self, id: ConnectionId, now: Instant) {
        if self.entry(id).is_some_and(|e| e.state == State::Serving) {
            self.set(id, State::Idle { since: now });
        }
    }

    /// Returns true if a request is served.
    pub fn is_serving(&self, id: ConnectionId) -> bool {
        self.entry(id).is_some_and(|e| e.state == State::Serving)
    }

    /// Records that a write waits for the client, or that the client took bytes.
    pub fn record_write(&mut self, id: ConnectionId, is_blocked: bool, now: Instant) {
        if let Some(entry) = self.entries.get_mut(id).and_then(Option::as_mut) {
            entry.blocked_since = is_blocked.then_some(now);
        }
    }

    /// Returns true if the client has answers to take and no request is served, so that nothing
    /// more is to be read from it.
    pub fn is_read_ahead(&self, id: ConnectionId) -> bool {
        self.entry(id)
            .is_some_and(|e| e.blocked_since.is_some() && e.state != State::Serving)
    }

    /// Marks connections whose time is over and passes them to `close`.
    pub fn expire(&mut self, now: Instant, mut close: impl FnMut(ConnectionId, Reason)) {
        for id in 0..self.entries.len() {
            let Some(entry) = self.entry(id) else {
                continue;
            };
            let is_over = |since: Instant, limit| now.saturating_duration_since(since) >= limit;
            let timeouts = entry.timeouts;
            let is_unread = entry
                .blocked_since
                .is_some_and(|since| is_over(since, timeouts.unread));
            let reason = match entry.state {
                State::Closing => continue,
                _ if is_unread => Reason::Unread,
                State::Head { since, .. } if is_over(since, timeouts.head) => Reason::SlowHead,
                State::Idle { since }
                    if entry.blocked_since.is_none() && is_over(since, timeouts.idle) =>
                {
                    Reason::IdleTooLong
                }
                _ => continue,
            };
            self.set(id, State::Closing);
            close(id, reason);
        }
    }

    fn entry(&self, id: ConnectionId) -> Option<Entry> {
        self.entries.get(id).copied().flatten()
    }

    fn insert(&mut self, timeouts: Timeouts, now: Instant) -> ConnectionId {
        let entry = Some(Entry {
            state: State::Idle { since: now },
            timeouts,
            blocked_since: None,
        });
        self.open += 1;
        match self.free.pop() {
            Some(id) => {
                self.entries[id] = entry;
                id
            }
            None => {
                self.entries.push(entry);
                self.entries.len() - 1
            }
        }
    }

    fn set(&mut self, id: ConnectionId, state: State) {
        let Some(entry) = self.entries.get_mut(id).and_then(Option::as_mut) else {
            return;
        };
        match entry.state {
            State::Head { bytes, .. } => self.head_bytes -= bytes,
            State::Closing => self.closing -= 1,
            State::Idle { .. } | State::Serving => {}
        }
        match state {
            State::Head { bytes, .. } => self.head_bytes += bytes,
            State::Closing => self.closing += 1,
            State::Idle { .. } | State::Serving => {}
        }
        entry.state = state;
    }

    /// Scans the table, which happens only for a new connection at the limit.
    fn victim(&self) -> Option<(ConnectionId, Reason)> {
        let idle = self.entries.iter().enumerate().filter_map(|(id, entry)| {
            let entry = entry.as_ref()?;
            match entry.state {
                // An answer that is not taken yet counts as being served.
                State::Idle { since } if entry.blocked_since.is_none() => Some((since, id)),
                _ => None,
            }
        });
        let idle = idle.min().map(|(_, id)| (id, Reason::Idle));
        idle.or_else(|| Some((self.largest_head()?, Reason::Head)))
    }

    /// The head that holds the most bytes, and of these the oldest.
    fn largest_head(&self) -> Option<ConnectionId> {
        let heads =
            self.entries
                .iter()
                .enumerate()
                .filter_map(|(id, entry)| match entry.as_ref()?.state {
                    State::Head { since, bytes } => Some((bytes, std::cmp::Reverse(since), id)),
                    _ => None,
                });
        heads.max().map(|(_, _, id)| id)
    }
}

#[cfg(test)]
mod tests;
