//! Leases with fencing numbers, and the leader's judgement of when one is over.
//!
//! A lease is given to another holder only when the leader has seen its last grant or renewal
//! applied at least its duration and a drift margin ago, by the leader's own monotonic clock. The
//! holder counts from before it asked, a keeper from after the commit, so the holder stops first;
//! no wall clock takes part.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use derives::record;
use link::keeper::{LeaseReply, LeaseRequest, PreviousLease};
use uuid::Uuid;

use crate::entry::LeaseView;

/// Most leases; each availability zone needs a few.
const MAX_LEASES: usize = 1_024;
/// Shortest lease that may be asked for.
const MIN_DURATION: Duration = Duration::from_millis(100);
/// Longest lease that may be asked for.
const MAX_DURATION: Duration = Duration::from_mins(10);
const MAX_NAME_BYTES: usize = 256;

/// A lease as it stands.
#[record]
#[derive(Eq)]
pub struct Lease {
    holder: Uuid,
    vm: String,
    fencing: u64,
    /// Log index of the last grant or renewal.
    renewed: u64,
    duration_ms: u64,
    /// Whether the holder gave it up.
    ended: bool,
    previous: Option<PreviousLease>,
}

/// All leases by name.
#[record]
#[derive(Default, Eq)]
pub struct Leases(BTreeMap<String, Lease>);

impl Leases {
    /// Grants or renews a lease, or says who has it. `index` is the entry's log index.
    pub fn request(
        &mut self,
        index: u64,
        req: &LeaseRequest,
        view: &LeaseView,
    ) -> Result<LeaseReply, String> {
        check(req)?;
        let is_full = self.0.len() >= MAX_LEASES;
        let previous = match self.0.get_mut(&req.name) {
            None if is_full => return Err(format!("lease: there are {MAX_LEASES} already")),
            None => None,
            Some(held) if held.holder == req.holder && !held.ended => {
                held.renew(index, req.duration);
                return Ok(held.granted());
            }
            Some(held) if held.ended => None,
            Some(held) if view.expired == Some(held.renewed) => Some(PreviousLease {
                vm: held.vm.clone(),
                fencing: held.fencing,
            }),
            Some(held) => {
                return Ok(LeaseReply::Held {
                    vm: held.vm.clone(),
                    remaining: Duration::from_millis(view.remaining_ms),
                });
            }
        };
        let held = Lease {
            holder: req.holder,
            vm: req.vm.clone(),
            fencing: index,
            renewed: index,
            duration_ms: req.duration.as_millis() as u64,
            ended: false,
            previous,
        };
        let reply = held.granted();
        self.0.insert(req.name.clone(), held);
        Ok(reply)
    }

    /// Ends the lease that was granted with `fencing`.
    pub fn end(&mut self, name: &str, fencing: u64) {
        match self.0.get_mut(name) {
            Some(held) if held.fencing == fencing => held.ended = true,
            _ => {}
        }
    }
}

impl Lease {
    fn renew(&mut self, index: u64, duration: Duration) {
        self.renewed = index;
        // The holder may not have heard of this renewal and trust the longer one before it.
        self.duration_ms = self.duration_ms.max(duration.as_millis() as u64);
    }

    fn granted(&self) -> LeaseReply {
        LeaseReply::Granted {
            fencing: self.fencing,
            previous: self.previous.clone(),
        }
    }
}

fn check(req: &LeaseRequest) -> Result<(), String> {
    if req.name.is_empty() || req.name.len() > MAX_NAME_BYTES || req.vm.len() > MAX_NAME_BYTES {
        return Err(format!("lease: a name has 1 to {MAX_NAME_BYTES} bytes"));
    }
    if !(MIN_DURATION..=MAX_DURATION).contains(&req.duration) {
        return Err(format!(
            "lease: the duration must lie within {MIN_DURATION:?} and {MAX_DURATION:?}"
        ));
    }
    Ok(())
}

/// When this process saw each lease's last grant or renewal applied, by its monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct LeaseClock(HashMap<String, (u64, Duration)>);

/// The least drift margin between two clocks.
const MIN_MARGIN: Duration = Duration::from_millis(50);
/// The drift margin as a share of the duration: one part in this many.
const MARGIN_DIVISOR: u32 = 50;

impl LeaseClock {
    /// Takes note of what `leases` says of `name`; `now` is the time since any fixed instant.
    pub fn observe(&mut self, leases: &Leases, name: &str, now: Duration) {
        let Some(held) = leases.0.get(name) else {
            return;
        };
        let known = self.0.get(name).map(|(renewed, _)| *renewed);
        if known != Some(held.renewed) {
            self.0.insert(name.to_owned(), (held.renewed, now));
        }
    }

    /// Forgets everything and counts all leases from `now`, after a snapshot was restored.
    pub fn reset(&mut self, leases: &Leases, now: Duration) {
        self.0.clear();
        for name in leases.0.keys() {
            self.observe(leases, name, now);
        }
    }

    /// This process's word on the lease `name` at `now`.
    pub fn view(&self, leases: &Leases, name: &str, now: Duration) -> LeaseView {
        let (Some(held), Some((renewed, at))) = (leases.0.get(name), self.0.get(name)) else {
            return LeaseView::default();
        };
        let duration = Duration::from_millis(held.duration_ms);
        let margin = MIN_MARGIN.max(duration / MARGIN_DIVISOR);
        let left = (*at + duration + margin).saturating_sub(now);
        LeaseView {
            expired: (left.is_zero() && *renewed == held.renewed).then_some(*renewed),
            remaining_ms: left.as_millis() as u64,
        }
    }
}
