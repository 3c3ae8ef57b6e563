//! Items that requests in an earlier stage will submit to a pool.

use std::collections::HashMap;

use tokio::time::Instant;

/// Maximum number of announcements; beyond it, none is added until others expire.
const MAX_ANNOUNCEMENTS: usize = 4_096;

/// The items of one stage that are expected soon.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    position: i64,
    items: u32,
    expires_at: Instant,
}

/// Items that were announced to a pool and have not arrived yet, by a key of their stage.
#[derive(Debug, Default)]
pub struct Announced(HashMap<u64, Announcement>);

impl Announced {
    /// Returns true if nothing is announced.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Announces `items` at `position` of the queue. They are no longer expected after `expires_at`.
    pub fn add(&mut self, key: u64, position: i64, items: u32, expires_at: Instant) {
        if self.0.len() < MAX_ANNOUNCEMENTS {
            let announcement = Announcement {
                position,
                items,
                expires_at,
            };
            self.0.insert(key, announcement);
        }
    }

    /// Removes an announcement whose items have arrived.
    pub fn remove(&mut self, key: u64) {
        self.0.remove(&key);
    }

    /// Returns the number of announced items before `position`, and removes expired announcements.
    pub fn ahead(&mut self, position: i64, now: Instant) -> usize {
        self.0
            .retain(|_, announcement| announcement.expires_at > now);
        let before = self.0.values().filter(|a| a.position < position);
        before.map(|a| a.items as usize).sum()
    }
}
