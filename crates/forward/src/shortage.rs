//! Services whose lines were too long for what this gate handed over: further requests of the same
//! urgency or less are refused before any of their stages begins, whose work would be thrown away.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

/// How long a stage that failed for want of time speaks for the requests after it.
const HOLD: Duration = Duration::from_millis(400);

/// A stage that failed for want of time.
#[derive(Clone, Copy, Debug)]
struct Failure {
    urgency: u8,
    until: Instant,
}

/// What this gate's stages showed of lines; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shortages {
    services: Arc<Mutex<HashMap<String, Failure>>>,
}

impl Shortages {
    fn services(&self) -> MutexGuard<'_, HashMap<String, Failure>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that items of `urgency` (0 first) came too late at `service`.
    pub(crate) fn note(&self, service: &str, urgency: u8, now: Instant) {
        let until = now + HOLD;
        let mut services = self.services();
        let known = services.get(service).filter(|known| now < known.until);
        // What was too late for the more urgent is so for the others as well.
        let urgency = known.map_or(urgency, |known| known.urgency.min(urgency));
        services.insert(service.to_owned(), Failure { urgency, until });
    }

    /// Time for which items of `urgency` had better not be handed to `service`; `None` where they may.
    pub(crate) fn wait(&self, service: &str, urgency: u8, now: Instant) -> Option<Duration> {
        let services = self.services();
        let known = services.get(service)?;
        let is_short = now < known.until && urgency >= known.urgency;
        is_short.then(|| known.until.saturating_duration_since(now))
    }
}

#[cfg(test)]
mod tests {
    use tokio::time::{Instant, sleep};

    use super::{HOLD, Shortages};

    #[tokio::test(start_paused = true)]
    async fn what_came_too_late_speaks_for_the_same_and_less_urgent_for_a_while() {
        let shortages = Shortages::default();
        shortages.note("ice", 2, Instant::now());
        let short = |urgency| shortages.wait("ice", urgency, Instant::now()).is_some();
        assert_eq!([1, 2, 3].map(short), [false, true, true]);
        shortages.note("ice", 5, Instant::now());
        assert!(short(2), "a less urgent one does not narrow it");
        assert!(shortages.wait("mill", 5, Instant::now()).is_none());
        sleep(HOLD).await;
        assert!(!short(5));
    }
}
