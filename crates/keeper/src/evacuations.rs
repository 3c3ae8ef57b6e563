//! The replicated record of operators' orders to evacuate availability zones, and to return to them.

use derives::record;
use imbl::OrdMap;
use link::keeper::{MAX_EVACUATED_ZONES, OrderedZone, ZoneOrder};
use logs::Event;

/// Maximum number of returned zones whose last order is kept; the oldest one is dropped first.
pub const MAX_RETURNED_ZONES: usize = 64;

/// The last order about a zone that changed it.
#[record]
#[derive(Eq)]
struct Record {
    #[serde(rename = "o")]
    order: ZoneOrder,
    /// Time of the entry, in milliseconds since the Unix epoch.
    #[serde(rename = "t")]
    at_ms: u64,
    /// Version that the order created.
    #[serde(rename = "v")]
    version: u64,
}

/// The orders; deterministic for the same calls. Clones share their content.
#[record]
#[derive(Default, Eq)]
pub struct Evacuations {
    version: u64,
    /// The last order by zone; a zone without one was never evacuated.
    zones: OrdMap<String, Record>,
}

impl Evacuations {
    /// Returns the version, which increases with each order that changes a zone.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the zones that have an order, with the last one, in order of their names.
    pub fn zones(&self) -> impl Iterator<Item = OrderedZone> {
        self.zones.values().map(|record| OrderedZone {
            order: record.order.clone(),
            at_ms: record.at_ms,
        })
    }

    /// Returns the evacuated zones in order of their names.
    pub fn evacuated(&self) -> impl Iterator<Item = &String> {
        let orders = self.zones.values().map(|record| &record.order);
        orders.filter(|o| o.is_evacuated).map(|o| &o.zone)
    }

    /// Returns true if `zone` is evacuated, or was and is still recorded.
    pub fn has_order(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Applies an order that was given at `now_ms`. Returns true if it changed the zone: the same
    /// order again does not.
    ///
    /// Fails if it would evacuate more than [`MAX_EVACUATED_ZONES`] zones.
    pub fn order(
        &mut self,
        now_ms: u64,
        order: &ZoneOrder,
        events: &mut Vec<Event>,
    ) -> Result<bool, String> {
        let known = self.zones.get(&order.zone);
        if known.is_some_and(|record| record.order.is_evacuated) == order.is_evacuated {
            return Ok(false);
        }
        if order.is_evacuated && self.evacuated().count() >= MAX_EVACUATED_ZONES {
            return Err(format!(
                "evacuate: {MAX_EVACUATED_ZONES} zones are evacuated; return to one of them first"
            ));
        }
        self.version += 1;
        let record = Record {
            order: order.clone(),
            at_ms: now_ms,
            version: self.version,
        };
        self.zones.insert(order.zone.clone(), record);
        events.push(Event::ZoneOrdered {
            zone: order.zone.clone(),
            is_evacuated: order.is_evacuated,
            version: self.version,
            author: order.author.clone(),
            reason: order.reason.clone(),
        });
        self.drop_oldest_returned();
        Ok(true)
    }

    fn drop_oldest_returned(&mut self) {
        let returned = || self.zones.values().filter(|r| !r.order.is_evacuated);
        if returned().count() <= MAX_RETURNED_ZONES {
            return;
        }
        let oldest = returned().min_by_key(|record| record.version);
        if let Some(zone) = oldest.map(|record| record.order.zone.clone()) {
            self.zones.remove(&zone);
        }
    }
}
