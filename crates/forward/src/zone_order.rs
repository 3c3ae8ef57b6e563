//! Order in which the collectors of availability zones are offered a stage's items.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of zones that are tried for one stage: the preferred one, and two that may have
/// free slots if its queue is too long or its gates are unreachable.
const MAX_ZONES: usize = 3;

/// Returns the zones to try for items that should run in `preferred`, submitted by a gate in
/// `own_az`. `healthy` is the number of available endpoints of the service by reachable zone; zones
/// without any are left out. `request` spreads the requests of one zone over the others.
pub(crate) fn zones_to_try<'a>(
    preferred: &'a str,
    own_az: &'a str,
    healthy: &'a BTreeMap<String, usize>,
    request: &str,
) -> Vec<&'a str> {
    let rank = |az: &str| match az {
        az if az == preferred => (0, 0),
        az if az == own_az => (1, 0),
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
