//! Leases with fencing tokens, and their expiry by the leader's clock.
//!
//! A lease passes to another holder only if the leader applied its last grant or renewal at least
//! the lease's duration plus a drift margin ago, by the leader's own monotonic clock. The holder
//! counts from before its request, a keeper from after the commit, so the holder stops first; no
//! wall clock is involved.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use derives::record;
use link::keeper::{LeaseReply, LeaseRequest, PreviousLease};
use uuid::Uuid;

use crate::entry::LeaseView;

/// Maximum number of leases; each availability zone needs a few.
const MAX_LEASES: usize = 1_024;
/// Shortest duration that may be requested.
const MIN_DURATION: Duration = Duration::from_millis(100);
/// Longest duration that may be requested.
const MAX_DURATION: Duration = Duration::from_mins(10);
const MAX_NAME_BYTES: usize = 256;

/// The last grant of a lease.
#[record]
#[derive(Eq)]
pub struct Lease {
    holder: Uuid,
    vm: String,
    fencing: u64,
    /// Log index of the last grant or renewal.
    #[serde(rename = "renewed")]
    renewed_index: u64,
    duration_ms: u64,
    /// True once the holder released it.
    ended: bool,
    previous: Option<PreviousLease>,
}

/// All leases, keyed by name.
#[record]
#[derive(Default, Eq)]
pub struct Leases(BTreeMap<String, Lease>);

impl Leases {
    /// Grants or renews a lease, or returns its holder; `index` is the entry's log index. Fails if
    /// the request is invalid or there are too many leases.
    pub fn request(
        &mut self,
        index: u64,
        req: &LeaseRequest,
        view: &LeaseView,
    ) -> Result<LeaseReply, String> {
        validate(req)?;
        let is_full = self.0.len() >= MAX_LEASES;
        let previous = match self.0.get_mut(&req.name) {
            None if is_full => return Err(format!("lease: there are {MAX_LEASES} already")),
            None => None,
            Some(lease) if lease.holder == req.holder && !lease.ended => {
                lease.renew(index, req.duration);
                return Ok(lease.granted());
            }
            Some(lease) if lease.ended => None,
            Some(lease) if view.expired == Some(lease.renewed_index) => Some(PreviousLease {
                vm: lease.vm.clone(),
                fencing: lease.fencing,
            }),
            Some(lease) => {
                return Ok(LeaseReply::Held {
                    vm: lease.vm.clone(),
                    remaining: Duration::from_millis(view.remaining_ms),
                });
            }
        };
        let lease = Lease {
            holder: req.holder,
            vm: req.vm.clone(),
            fencing: index,
            renewed_index: index,
            duration_ms: req.duration.as_millis() as u64,
            ended: false,
            previous,
        };
        let reply = lease.granted();
        self.0.insert(req.name.clone(), lease);
        Ok(reply)
    }

    /// Ends the lease `name` if it was granted with the token `fencing`.
    pub fn end(&mut self, name: &str, fencing: u64) {
        match self.0.get_mut(name) {
            Some(lease) if lease.fencing == fencing => lease.ended = true,
            _ => {}
        }
    }
}

impl Lease {
    fn renew(&mut self, index: u64, duration: Duration) {
        self.renewed_index = index;
        // The reply to this renewal may be lost; the holder may rely on the longer one before it.
        self.duration_ms = self.duration_ms.max(duration.as_millis() as u64);
    }

    fn granted(&self) -> LeaseReply {
        LeaseReply::Granted {
            fencing: self.fencing,
            previous: self.previous.clone(),
        }
    }
}

fn validate(req: &LeaseRequest) -> Result<(), String> {
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

/// The log index of each lease's last grant or renewal, and the monotonic time at which this
/// process applied it.
#[derive(Clone, Debug, Default)]
pub struct LeaseClock(HashMap<String, (u64, Duration)>);

/// Minimum margin for clock drift.
const MIN_MARGIN: Duration = Duration::from_millis(50);
/// The margin for clock drift is the lease's duration divided by this.
const MARGIN_DIVISOR: u32 = 50;

impl LeaseClock {
    /// Records `now`, the time since any fixed instant, if the lease `name` was granted or renewed.
    pub fn observe(&mut self, leases: &Leases, name: &str, now: Duration) {
        let Some(lease) = leases.0.get(name) else {
            return;
        };
        let known = self.0.get(name).map(|(renewed, _)| *renewed);
        if known != Some(lease.renewed_index) {
            self.0.insert(name.to_owned(), (lease.renewed_index, now));
        }
    }

    /// Restarts all leases at `now`, after a snapshot was restored.
    pub fn reset(&mut self, leases: &Leases, now: Duration) {
        self.0.clear();
        for name in leases.0.keys() {
            self.observe(leases, name, now);
        }
    }

    /// Returns the state of the lease `name` at `now`.
    pub fn view(&self, leases: &Leases, name: &str, now: Duration) -> LeaseView {
        let (Some(lease), Some((renewed, at))) = (leases.0.get(name), self.0.get(name)) else {
            return LeaseView::default();
        };
        let duration = Duration::from_millis(lease.duration_ms);
        let margin = MIN_MARGIN.max(duration / MARGIN_DIVISOR);
        let remaining = (*at + duration + margin).saturating_sub(now);
        LeaseView {
            expired: (remaining.is_zero() && *renewed == lease.renewed_index).then_some(*renewed),
            remaining_ms: remaining.as_millis() as u64,
        }
    }
}
