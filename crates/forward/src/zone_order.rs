//! Which availability zones' collectors a stage's items are offered to, and in which order.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

/// Zones whose collectors are asked for one stage: the preferred one, and two that may have slots free
/// where its queue is too long or its gates can't be reached.
const MAX_ZONES: usize = 3;

/// The zones to ask in turn for items that are best made in `preferred`, by a gate in `own`. `healthy` is
/// how many endpoints of the service take work in each zone that can be reached; a zone without any
/// is left out. `request` spreads the requests of one zone over the others.
pub(crate) fn zones_to_try<'a>(
    preferred: &'a str,
    own: &'a str,
    healthy: &'a BTreeMap<String, usize>,
    request: &str,
) -> Vec<&'a str> {
    let rank = |az: &str| match az {
        az if az == preferred => (0, 0),
        az if az == own => (1, 0),
        az => (2, xxh3_64(format!("{request}/{az}").as_bytes())),
    };
    let mut zones: Vec<&str> = healthy.keys().map(String::as_str).collect();
    zones.sort_by_key(|az| rank(az));
    zones.truncate(MAX_ZONES);
    if zones.is_empty() {
        zones.push(preferred);
    }
    zones
}

#[cfg(test)]
mod tests;
