//! Bodies of the requests about evacuated availability zones.

use derives::record;

/// `GET /v1/zones` of a keeper, confirmed by a quorum.
#[record]
pub struct ZoneList {
    /// Version of the evacuations; increases with each change.
    pub version: u64,
    /// The zones that are or were evacuated, in order of their names.
    pub zones: Vec<ZoneEntry>,
}

/// A zone and the last order that changed it.
#[record]
pub struct ZoneEntry {
    /// The availability zone.
    pub zone: String,
    /// True if nothing more is sent to the zone's endpoints.
    pub is_evacuated: bool,
    /// Name of the operator.
    pub author: String,
    /// Why the order was given.
    pub reason: String,
    /// Time of the order in UTC, RFC 3339.
    pub ordered_at: String,
}

/// The body of `POST /v1/zones/{zone}/evacuate` and `/return`.
#[record]
#[serde(deny_unknown_fields)]
pub struct ZoneRequest {
    /// Author; the keeper replaces it by the token's name if operators have tokens.
    #[serde(default)]
    pub author: String,
    /// Why the order is given.
    pub reason: String,
}

/// The response to an order about a zone.
#[record]
pub struct ZoneOrdered {
    /// Version of the evacuations.
    pub version: u64,
    /// False if the zone was in the ordered state already.
    pub changed: bool,
}
