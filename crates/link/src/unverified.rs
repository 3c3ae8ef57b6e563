//! Bound on the connections whose handshake is not complete.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use tokio::{
    sync::{Notify, oneshot},
    time::{Duration, Instant, sleep_until},
};

/// Time for which a connection is not revoked. When all peers reconnect at once, more of them than
/// the bound may be in their handshake; revoking them at once would make them start over.
const GRACE: Duration = Duration::from_millis(100);

/// The connections whose handshake is not complete.
#[derive(Clone, Debug)]
pub(crate) struct Unverified(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    max: usize,
    entries: Mutex<Entries>,
    freed: Notify,
}

#[derive(Debug, Default)]
struct Entries {
    next: u64,
    /// By order of arrival.
    open: BTreeMap<u64, Entry>,
}

#[derive(Debug)]
struct Entry {
    arrived: Instant,
    _revoke_on_drop: oneshot::Sender<()>,
}

/// Place of one connection; it is freed on drop.
#[derive(Debug)]
pub(crate) struct Lease {
    unverified: Unverified,
    id: u64,
    revoked: oneshot::Receiver<()>,
}

impl Unverified {
    pub(crate) fn new(max: usize) -> Self {
        Self(Arc::new(Shared {
            max: max.max(1),
            entries: Mutex::default(),
            freed: Notify::new(),
        }))
    }

    /// Returns a place for a new connection. At the limit the oldest one is revoked.
    pub(crate) async fn admit(&self) -> Lease {
        loop {
            let freed = self.0.freed.notified();
            let retry_at = match self.try_admit() {
                Ok(lease) => return lease,
                Err(retry_at) => retry_at,
            };
            tokio::select! {
                () = freed => {}
                () = sleep_until(retry_at) => {}
            }
        }
    }

    /// Returns a lease, or the time at which the oldest connection can be revoked.
    fn try_admit(&self) -> Result<Lease, Instant> {
        let mut entries = self.lock();
        let now = Instant::now();
        if entries.open.len() >= self.0.max
            && let Some(oldest) = entries.open.first_entry()
        {
            let revocable_at = oldest.get().arrived + GRACE;
            if now < revocable_at {
                return Err(revocable_at);
            }
            oldest.remove();
        }
        let (revoke_on_drop, revoked) = oneshot::channel();
        let id = entries.next;
        entries.next += 1;
        let entry = Entry {
            arrived: now,
            _revoke_on_drop: revoke_on_drop,
        };
        entries.open.insert(id, entry);
        Ok(Lease {
            unverified: self.clone(),
            id,
            revoked,
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Entries> {
        let entries = self.0.entries.lock();
        entries.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lease {
    /// Waits until the place is given to another connection.
    pub(crate) async fn revoked(&mut self) {
        // An error is the normal end: the sender is dropped with the entry.
        let _ = (&mut self.revoked).await;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.unverified.lock().open.remove(&self.id);
        self.unverified.0.freed.notify_one();
    }
}
