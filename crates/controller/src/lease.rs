//! Keeps the lease of the availability zone while it can be had.

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

const RETRY: Duration = Duration::from_millis(200);
/// Renewals within one duration.
const RENEWALS: u32 = 3;
const END_LIMIT: Duration = Duration::from_millis(500);

/// What is known of the lease.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct LeaseState {
    /// The right to give orders; it ends by itself.
    pub(crate) authority: Option<Authority>,
    /// Why it is not held, or not renewed.
    pub(crate) why: Option<String>,
}

/// Writes what is known of the lease.
fn tell(state: &LeaseState) {
    let event = Event::Lease {
        fencing: state.authority.as_ref().map(Authority::fencing),
        why: state.why.clone(),
    };
    logs::write(None, &event);
}

/// Asks for the lease of one availability zone again and again.
#[derive(Debug)]
pub(crate) struct Leaseholder {
    keepers: Arc<Keepers>,
    req: LeaseRequest,
    state: watch::Sender<LeaseState>,
}

impl Leaseholder {
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

    /// Runs until dropped.
    pub(crate) async fn run(&self) {
        loop {
            let pause = self.ask().await;
            sleep(pause).await;
        }
    }

    /// Asks once; returns the time until the next request.
    async fn ask(&self) -> Duration {
        let asked = Instant::now();
        let every = self.req.duration / RENEWALS;
        let req = KeeperRequest::Lease(self.req.clone());
        let reply = self.keepers.request(&req, every).await;
        let now = Instant::now();
        match reply {
            Ok(KeeperReply::Lease(LeaseReply::Granted { fencing, previous })) => {
                let before = self.state.borrow().authority;
                let authority = Authority::granted(
                    fencing,
                    previous.is_some(),
                    asked,
                    now,
                    self.req.duration,
                    before.as_ref(),
                );
                if before.is_none_or(|before| before.fencing() != fencing) {
                    let held = Event::Lease {
                        fencing: Some(fencing),
                        why: None,
                    };
                    logs::write(None, &held);
                }
                self.state.send_replace(LeaseState {
                    authority: Some(authority),
                    why: None,
                });
                every.saturating_sub(now - asked)
            }
            Ok(KeeperReply::Lease(LeaseReply::Held { vm, remaining })) => {
                self.lost(format!("held by {vm} for {remaining:?} more"));
                jittered(remaining.min(every))
            }
            Ok(other) => {
                self.without_answer(format!("keepers answered {other:?}"));
                jittered(RETRY)
            }
            Err(e) => {
                self.without_answer(e.to_string());
                jittered(RETRY)
            }
        }
    }

    /// Another holder has it: no order may go out.
    fn lost(&self, why: String) {
        self.state.send_if_modified(|state| {
            let next = LeaseState {
                authority: None,
                why: Some(why),
            };
            let is_changed = *state != next;
            if is_changed {
                tell(&next);
            }
            *state = next;
            is_changed
        });
    }

    /// What was granted stays until its own end.
    fn without_answer(&self, why: String) {
        self.state.send_modify(|state| {
            state.why = Some(why);
            tell(state);
        });
    }

    /// Gives the lease up, so that a standby need not wait for its end.
    pub(crate) async fn end(&self) {
        let Some(authority) = self.state.borrow().authority else {
            return;
        };
        self.lost("given up".to_owned());
        let req = KeeperRequest::EndLease {
            name: self.req.name.clone(),
            fencing: authority.fencing(),
        };
        // Without an answer the lease runs out.
        let _ = self.keepers.request(&req, END_LIMIT).await;
    }
}

fn jittered(pause: Duration) -> Duration {
    let pause = pause.max(RETRY / 2);
    rand::rng().random_range(pause / 2..=pause)
}
