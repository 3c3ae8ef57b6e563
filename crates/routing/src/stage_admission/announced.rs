//! Items that requests in an earlier stage will submit to a pool.

use std::collections::HashMap;

use tokio::time::Instant;

/// Maximum number of announcements; beyond it, none is added until others expire.
const MAX_ANNOUNCEMENTS: usize = 4_096;

/// The items of one stage that are expected soon.
#[derive(Clone, Copy, Debug)]
pub struct Announcement {
    /// Position in the queue of the pool.
    pub position: i64,
    /// Urgency, 0 first.
    pub urgency: u8,
    /// Key of the flow, see [`crate::fair_share`].
    pub flow: u64,
    /// Number of items.
    pub items: u32,
    /// When the items are no longer expected.
    pub expires_at: Instant,
}

/// Items that were announced to a pool and have not arrived yet, by a key of their stage.
#[derive(Debug, Default)]
pub struct Announced(HashMap<u64, Announcement>);

impl Announced {
    /// Returns true if nothing is announced.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Announces the items of the stage with this key.
    pub fn add(&mut self, key: u64, announcement: Announcement) {
        if self.0.len() < MAX_ANNOUNCEMENTS {
            self.0.insert(key, announcement);
        }
    }

    /// Removes an announcement whose items have arrived.
    pub fn remove(&mut self, key: u64) {
        self.0.remove(&key);
    }

    /// Removes expired announcements.
    pub fn expire(&mut self, now: Instant) {
        self.0
            .retain(|_, announcement| announcement.expires_at > now);
    }

    /// Returns the announcements.
    pub fn iter(&self) -> impl Iterator<Item = &Announcement> {
        self.0.values()
    }

    /// Returns the number of announced items before `position`.
    pub fn ahead(&self, position: i64) -> usize {
        let before = self.iter().filter(|a| a.position < position);
        before.map(|a| a.items as usize).sum()
    }
}
