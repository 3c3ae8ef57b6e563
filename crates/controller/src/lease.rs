//! Acquires and renews the controller lease of the availability zone.

use std::{sync::Arc, time::Duration};

use link::{
    keeper::{KeeperReply, KeeperRequest, LeaseReply, LeaseRequest},
    keepers::Keepers,
};
use logs::Event;
use rand::RngExt;
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};
use uuid::Uuid;

use crate::authority::Authority;

const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Renewal requests within one lease duration.
const RENEWALS_PER_LEASE: u32 = 3;
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// The current state of the lease.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct LeaseState {
    /// The right to send orders; it expires by itself.
    pub(crate) authority: Option<Authority>,
    /// Why the lease is not held or was not renewed.
    pub(crate) reason: Option<String>,
}

/// Logs the state of the lease.
fn log_state(state: &LeaseState) {
    let event = Event::Lease {
        fencing: state.authority.as_ref().map(Authority::fencing),
        why: state.reason.clone(),
    };
    logs::write(None, &event);
}

/// Requests and renews the lease of one availability zone.
#[derive(Debug)]
pub(crate) struct LeaseHolder {
    keepers: Arc<Keepers>,
    req: LeaseRequest,
    state: watch::Sender<LeaseState>,
}

impl LeaseHolder {
    pub(crate) fn new(keepers: Arc<Keepers>, az: &str, vm: &str, duration: Duration) -> Self {
        Self {
            keepers,
            req: LeaseRequest {
                name: format!("controller/{az}"),
                holder: Uuid::now_v7(),
                vm: vm.to_owned(),
                duration,
            },
            state: watch::Sender::default(),
        }
    }

    pub(crate) fn state(&self) -> watch::Receiver<LeaseState> {
        self.state.subscribe()
    }

    /// Acquires and renews the lease until the future is dropped.
    pub(crate) async fn run(&self) {
        loop {
            let delay = self.renew().await;
            sleep(delay).await;
        }
    }

    /// Requests the lease once and returns the time until the next request.
    async fn renew(&self) -> Duration {
        let requested_at = Instant::now();
        let renew_interval = self.req.duration / RENEWALS_PER_LEASE;
        let req = KeeperRequest::Lease(self.req.clone());
        let reply = self.keepers.request(&req, renew_interval).await;
        let now = Instant::now();
        match reply {
            Ok(KeeperReply::Lease(LeaseReply::Granted { fencing, previous })) => {
                let held_authority = self.state.borrow().authority;
                let authority = Authority::granted(
                    fencing,
                    previous.is_some(),
                    requested_at,
                    now,
                    self.req.duration,
                    held_authority.as_ref(),
                );
                if held_authority.is_none_or(|held_authority| held_authority.fencing() != fencing) {
                    let held = Event::Lease {
                        fencing: Some(fencing),
                        why: None,
                    };
                    logs::write(None, &held);
                }
                self.state.send_replace(LeaseState {
                    authority: Some(authority),
                    reason: None,
                });
                renew_interval.saturating_sub(now - requested_at)
            }
            Ok(KeeperReply::Lease(LeaseReply::Held { vm, remaining })) => {
                self.revoke(format!("held by {vm} for another {remaining:?}"));
                jittered(remaining.min(renew_interval))
            }
            Ok(other) => {
                self.record_error(format!("unexpected reply from keepers: {other:?}"));
                jittered(RETRY_INTERVAL)
            }
            Err(e) => {
                self.record_error(e.to_string());
                jittered(RETRY_INTERVAL)
            }
        }
    }

    /// Clears the authority, so that no further order is sent.
    fn revoke(&self, reason: String) {
        self.state.send_if_modified(|state| {
            let next = LeaseState {
                authority: None,
                reason: Some(reason),
            };
            let is_changed = *state != next;
            if is_changed {
                log_state(&next);
            }
            *state = next;
            is_changed
        });
    }

    /// Records a failed request; a lease already granted stays valid until it expires.
    fn record_error(&self, reason: String) {
        self.state.send_modify(|state| {
            state.reason = Some(reason);
            log_state(state);
        });
    }

    /// Releases the lease, so that a standby need not wait for it to expire.
    pub(crate) async fn release(&self) {
        let Some(authority) = self.state.borrow().authority else {
            return;
        };
        self.revoke("released on shutdown".to_owned());
        let req = KeeperRequest::EndLease {
            name: self.req.name.clone(),
            fencing: authority.fencing(),
        };
        // If the request fails, the lease expires by itself.
        let _ = self.keepers.request(&req, RELEASE_TIMEOUT).await;
    }
}

fn jittered(delay: Duration) -> Duration {
    let delay = delay.max(RETRY_INTERVAL / 2);
    rand::rng().random_range(delay / 2..=delay)
}
