//! Wire format of one endpoint's change between gates. Encoded by hand because every change
//! of the table is sent to every gate in this form.

use std::{
    fmt::{self, Formatter},
    time::Duration,
};

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error as _, SeqAccess, Visitor},
    ser::SerializeTuple,
};
use tokio::time::Instant;
use uuid::Uuid;

use crate::{Announcement, Endpoint, Load, LoadedModel, Readiness, StageRole, state::Entry};

/// An announcement without its load, and the time since the endpoint's last heartbeat. The cold time
/// is encoded beside it, as [`ColdTimes`].
#[derive(Clone, Debug, PartialEq)]
pub struct Delta {
    /// The endpoint's announcement; its load is not encoded.
    pub announced: Announcement,
    /// Time since the last heartbeat.
    pub age: Duration,
    /// Remaining cold time, if the endpoint announced one.
    pub cold_left: Option<Duration>,
}

/// Cold times of the deltas in a message: index, announced and remaining milliseconds. They are a
/// field of their own, which processes that don't know of cold times skip.
pub type ColdTimes = Vec<(usize, u64, u64)>;

/// Returns the cold times of `deltas`, which their encoding lacks.
pub(crate) fn cold_times(deltas: &[Delta]) -> ColdTimes {
    let deltas = deltas.iter().enumerate();
    let cold = deltas.filter_map(|(index, delta)| {
        let left_ms = delta.cold_left?.as_millis() as u64;
        Some((index, delta.announced.cold_left_ms, left_ms))
    });
    cold.collect()
}

/// Adds the cold times that arrived with `deltas`.
pub(crate) fn with_cold_times(mut deltas: Vec<Delta>, times: &ColdTimes) -> Vec<Delta> {
    for (index, announced_ms, left_ms) in times {
        if let Some(delta) = deltas.get_mut(*index) {
            delta.announced.cold_left_ms = *announced_ms;
            delta.cold_left = Some(Duration::from_millis(*left_ms));
        }
    }
    deltas
}

const ELEMENTS: usize = 10;
const FLAG_LEAVING: u8 = 1;
const FLAG_CHECKS_FENCING: u8 = 1 << 1;
const FLAG_PREFILL: u8 = 1 << 2;
const FLAG_DECODE: u8 = 1 << 3;

fn flags(a: &Announcement) -> u8 {
    let state = match a.state {
        Readiness::Ready => 0,
        Readiness::Leaving => FLAG_LEAVING,
    };
    let role = match a.role {
        StageRole::Both => 0,
        StageRole::Prefill => FLAG_PREFILL,
        StageRole::Decode => FLAG_DECODE,
    };
    let fencing = if a.checks_fencing {
        FLAG_CHECKS_FENCING
    } else {
        0
    };
    state | role | fencing
}

fn readiness(flags: u8) -> Readiness {
    match flags & FLAG_LEAVING {
        0 => Readiness::Ready,
        _ => Readiness::Leaving,
    }
}

fn role(flags: u8) -> StageRole {
    match flags & (FLAG_PREFILL | FLAG_DECODE) {
        FLAG_PREFILL => StageRole::Prefill,
        FLAG_DECODE => StageRole::Decode,
        _ => StageRole::Both,
    }
}

type ModelTuple = (String, u32, Vec<String>);

fn models_to_tuples(models: &[LoadedModel]) -> Vec<(&str, u32, &[String])> {
    models
        .iter()
        .map(|m| (m.model.as_str(), m.version, m.adapters.as_slice()))
        .collect()
}

fn models_from_tuples(models: Vec<ModelTuple>) -> Vec<LoadedModel> {
    let models = models
        .into_iter()
        .map(|(model, version, adapters)| LoadedModel {
            model,
            version,
            adapters,
        });
    models.collect()
}

/// Compact form of a [`Delta`] for an endpoint that the receiver already has.
#[derive(Clone, Debug, PartialEq)]
pub struct CompactDelta {
    /// Hash of the fields that are not encoded: name, service, zone, address and incarnation.
    identity: u64,
    seq: u64,
    flags: u8,
    models: Vec<LoadedModel>,
    age: Duration,
}

impl CompactDelta {
    /// Creates the compact delta of `entry` at `now`.
    pub(crate) fn of(entry: &Entry, now: Instant) -> Self {
        let a = &entry.endpoint.announced;
        Self {
            identity: entry.identity,
            seq: a.seq,
            flags: flags(a),
            models: a.models.clone(),
            age: entry.endpoint.live.silence(now),
        }
    }

    /// Returns the hash of name, service, zone, address and incarnation.
    pub(crate) fn identity(&self) -> u64 {
        self.identity
    }

    /// Expands to a full delta; `known` must have the same identity.
    pub(crate) fn into_delta(self, known: &Announcement) -> Delta {
        let announced = Announcement {
            seq: self.seq,
            state: readiness(self.flags),
            models: self.models,
            role: role(self.flags),
            checks_fencing: self.flags & FLAG_CHECKS_FENCING != 0,
            cold_left_ms: 0,
            load: Load::default(),
            ..known.clone()
        };
        Delta {
            announced,
            age: self.age,
            cold_left: None,
        }
    }
}

impl Serialize for CompactDelta {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let models = models_to_tuples(&self.models);
        let age_ms = self.age.as_millis() as u64;
        (self.identity, self.seq, self.flags, models, age_ms).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for CompactDelta {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (identity, seq, flags, models, age_ms) =
            <(u64, u64, u8, Vec<ModelTuple>, u64)>::deserialize(deserializer)?;
        Ok(Self {
            identity,
            seq,
            flags,
            models: models_from_tuples(models),
            age: Duration::from_millis(age_ms),
        })
    }
}

impl Delta {
    /// Creates the delta of `endpoint` at `now`.
    pub(crate) fn of(endpoint: &Endpoint, now: Instant) -> Self {
        let announced = Announcement {
            load: Load::default(),
            ..endpoint.announced.clone()
        };
        Self {
            announced,
            age: endpoint.live.silence(now),
            cold_left: endpoint
                .cold_until
                .map(|until| until.saturating_duration_since(now)),
        }
    }
}

impl Serialize for Delta {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let a = &self.announced;
        let mut tuple = serializer.serialize_tuple(ELEMENTS)?;
        tuple.serialize_element(&a.endpoint)?;
        tuple.serialize_element(&a.service)?;
        tuple.serialize_element(&a.az)?;
        tuple.serialize_element(&a.address)?;
        tuple.serialize_element(&a.incarnation)?;
        tuple.serialize_element(&a.seq)?;
        tuple.serialize_element(&flags(a))?;
        tuple.serialize_element(&models_to_tuples(&a.models))?;
        tuple.serialize_element(&a.slots)?;
        tuple.serialize_element(&(self.age.as_millis() as u64))?;
        tuple.end()
    }
}

struct DeltaVisitor;

impl<'de> Visitor<'de> for DeltaVisitor {
    type Value = Delta;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("a delta with ten elements")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Delta, A::Error> {
        let missing = || A::Error::custom("a delta has ten elements");
        let endpoint: String = seq.next_element()?.ok_or_else(missing)?;
        let service: String = seq.next_element()?.ok_or_else(missing)?;
        let az: String = seq.next_element()?.ok_or_else(missing)?;
        let address: String = seq.next_element()?.ok_or_else(missing)?;
        let incarnation: Uuid = seq.next_element()?.ok_or_else(missing)?;
        let number: u64 = seq.next_element()?.ok_or_else(missing)?;
        let flags: u8 = seq.next_element()?.ok_or_else(missing)?;
        let models: Vec<ModelTuple> = seq.next_element()?.ok_or_else(missing)?;
        let slots: Option<u32> = seq.next_element()?.ok_or_else(missing)?;
        let age_ms: u64 = seq.next_element()?.ok_or_else(missing)?;
        Ok(Delta {
            announced: Announcement {
                endpoint,
                service,
                az,
                address,
                incarnation,
                seq: number,
                state: readiness(flags),
                models: models_from_tuples(models),
                role: role(flags),
                checks_fencing: flags & FLAG_CHECKS_FENCING != 0,
                slots,
                cold_left_ms: 0,
                load: Load::default(),
            },
            age: Duration::from_millis(age_ms),
            cold_left: None,
        })
    }
}

impl<'de> Deserialize<'de> for Delta {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(DeltaVisitor)
    }
}

#[cfg(test)]
mod tests;
