//! Availability zones to which nothing may be sent: unreachable ones and evacuated ones.

use std::{
    collections::BTreeSet,
    sync::{Arc, PoisonError, RwLockWriteGuard},
};

use logs::Event;

use super::{Fleet, Target};
use crate::availability::ZoneState;

/// Availability zones that are believed to be reachable, and those that are evacuated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReachableZones {
    cut: BTreeSet<String>,
    evacuated: BTreeSet<String>,
    /// Version of the keepers' evacuations.
    evacuations_version: u64,
    /// True until keepers have told which zones are evacuated.
    is_unconfirmed: bool,
}

impl ReachableZones {
    /// Returns what keeps work from the endpoints in `az`.
    pub(crate) fn state(&self, az: &str) -> ZoneState {
        match self.evacuated.contains(az) {
            true => ZoneState::Evacuated,
            false if self.is_unconfirmed || self.cut.contains(az) => ZoneState::Cut,
            false => ZoneState::Open,
        }
    }

    /// Returns the version of the keepers' evacuations, and the number of evacuated zones.
    pub(crate) fn evacuations(&self) -> (u64, usize) {
        (self.evacuations_version, self.evacuated.len())
    }
}

impl Fleet {
    /// Returns the reachable availability zones.
    pub(crate) fn reachable(&self) -> Arc<ReachableZones> {
        let reachable = self
            .reachable
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&reachable)
    }

    fn reachable_mut(&self) -> RwLockWriteGuard<'_, Arc<ReachableZones>> {
        self.reachable
            .write()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the unreachable availability zones.
    pub(crate) fn set_unreachable(&self, cut: BTreeSet<String>) {
        let mut reachable = self.reachable_mut();
        if reachable.cut != cut {
            let zones = cut.iter().cloned().collect();
            logs::write(None, &Event::ZonesOut { zones });
            Arc::make_mut(&mut reachable).cut = cut;
        }
    }

    /// Lets nothing be sent to any endpoint until [`Self::set_evacuated`] tells which zones are
    /// evacuated, so that a restarted gate does not disobey an order that it has not heard of.
    pub(crate) fn await_evacuations(&self) {
        Arc::make_mut(&mut self.reachable_mut()).is_unconfirmed = true;
    }

    /// Returns true if it is known which zones are evacuated.
    pub(crate) fn knows_evacuations(&self) -> bool {
        !self.reachable().is_unconfirmed
    }

    /// Applies the evacuated zones that a quorum of keepers has confirmed.
    pub(crate) fn set_evacuated(&self, version: u64, zones: Vec<String>) {
        let evacuated: BTreeSet<String> = zones.into_iter().collect();
        let mut reachable = self.reachable_mut();
        let is_known = reachable.evacuations_version == version
            && reachable.evacuated == evacuated
            && !reachable.is_unconfirmed;
        if is_known {
            return;
        }
        if reachable.evacuated != evacuated {
            let zones = evacuated.iter().cloned().collect();
            logs::write(None, &Event::ZonesEvacuated { version, zones });
        }
        let reachable = Arc::make_mut(&mut reachable);
        reachable.evacuated = evacuated;
        reachable.evacuations_version = version;
        reachable.is_unconfirmed = false;
    }

    /// Returns true if results may be released on `target`. An endpoint that is no longer known may
    /// be in an evacuated zone.
    pub(crate) fn may_release_on(&self, target: Option<&Target>) -> bool {
        let reachable = self.reachable();
        match target {
            Some(target) => reachable.state(&target.az) != ZoneState::Evacuated,
            None => reachable.evacuated.is_empty(),
        }
    }
}

#[cfg(test)]
mod tests;
