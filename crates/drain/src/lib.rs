//! Until when a process that shuts down keeps the requests that it has accepted.
//!
//! A request that may outlast the process is refused while another process can still serve it: first
//! those that arrive or wait for an endpoint, then those that an endpoint could not complete any more.
//! Shortly before the end, every request without a response gets one.

use std::{future::pending, sync::Arc, time::Duration};

use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

/// Fraction of the shutdown that must be left for a request that arrives or waits for an endpoint.
const WAIT_SHARE: f64 = 2.0 / 3.0;
/// Fraction of the shutdown that must be left for a request that is passed to an endpoint.
const START_SHARE: f64 = 1.0 / 3.0;
/// Time before the end of the process in which the last responses are written.
const RESPONSE_TIME: Duration = Duration::from_millis(250);
/// Fraction of the time left until their deadlines over which refused callers return.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;

/// The end of the process, once it shuts down. Clones share state.
#[derive(Clone, Debug)]
pub struct Shutdown {
    duration: Duration,
    ends_at: Arc<watch::Sender<Option<Instant>>>,
}

impl Shutdown {
    /// Creates the state of a process whose shutdown takes `duration` at most.
    pub fn new(duration: Duration) -> Self {
        Self {
            duration,
            ends_at: Arc::new(watch::Sender::new(None)),
        }
    }

    /// Starts the shutdown. Only the first start counts.
    pub fn start(&self) {
        let ends_at = Instant::now() + self.duration;
        self.ends_at.send_if_modified(|at| {
            let is_first = at.is_none();
            at.get_or_insert(ends_at);
            is_first
        });
    }

    /// Returns true if a request with this deadline may wait for an endpoint.
    pub fn may_wait(&self, deadline: Instant) -> bool {
        self.is_left(deadline, WAIT_SHARE)
    }

    /// Returns true if a request with this deadline may be passed to an endpoint.
    pub fn may_start(&self, deadline: Instant) -> bool {
        self.is_left(deadline, START_SHARE)
    }

    /// Waits until a request with this deadline may no longer be passed to an endpoint.
    pub async fn start_ends(&self, deadline: Instant) {
        let ends_at = self.ends_at().await;
        match deadline > ends_at {
            true => sleep_until(ends_at - self.duration.mul_f64(START_SHARE)).await,
            false => self.responses_due().await,
        }
    }

    /// Waits until every request without a response must get one.
    pub async fn responses_due(&self) {
        let ends_at = self.ends_at().await;
        sleep_until(ends_at - self.response_time()).await;
    }

    fn response_time(&self) -> Duration {
        RESPONSE_TIME.min(self.duration / 2)
    }

    /// Returns true if `share` of the shutdown is left for a request with this deadline, or the request
    /// ends before the process and there is time for its response.
    fn is_left(&self, deadline: Instant, share: f64) -> bool {
        let Some(ends_at) = *self.ends_at.borrow() else {
            return true;
        };
        let remaining = ends_at.saturating_duration_since(Instant::now());
        let needed = match deadline > ends_at {
            true => self.duration.mul_f64(share),
            false => self.response_time(),
        };
        remaining >= needed
    }

    /// Returns when the process ends, as soon as it shuts down.
    async fn ends_at(&self) -> Instant {
        let mut ends_at = self.ends_at.subscribe();
        match ends_at.wait_for(Option::is_some).await.map(|at| *at) {
            Ok(Some(at)) => at,
            // The sender lives as long as `self`.
            Ok(None) | Err(_) => pending().await,
        }
    }
}

/// Returns when a caller may return whose request is refused together with others, with `remaining`
/// time until its deadline. `random` is in 0..1.
pub fn retry_after(remaining: Duration, random: f64) -> Duration {
    remaining.mul_f64(MAX_RETRY_SHARE * random)
}

#[cfg(test)]
mod tests;
