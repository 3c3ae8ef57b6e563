//! One endpoint as gates tell it to one another; read and written by hand since every change of
//! the table travels in this form to every gate.

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

/// An announcement without its load, and how long ago the endpoint was last heard.
#[derive(Clone, Debug, PartialEq)]
pub struct Delta {
    /// What the endpoint announced; its load is not carried.
    pub announced: Announcement,
    /// Time since its last sign of life.
    pub age: Duration,
}

const MEMBERS: usize = 10;
const LEAVING: u8 = 1;
const CHECKS_FENCING: u8 = 1 << 1;
const PREFILL: u8 = 1 << 2;
const DECODE: u8 = 1 << 3;

fn flags(a: &Announcement) -> u8 {
    let state = match a.state {
        Readiness::Ready => 0,
        Readiness::Leaving => LEAVING,
    };
    let role = match a.role {
        StageRole::Both => 0,
        StageRole::Prefill => PREFILL,
        StageRole::Decode => DECODE,
    };
    let fencing = if a.checks_fencing { CHECKS_FENCING } else { 0 };
    state | role | fencing
}

fn readiness(flags: u8) -> Readiness {
    match flags & LEAVING {
        0 => Readiness::Ready,
        _ => Readiness::Leaving,
    }
}

fn role(flags: u8) -> StageRole {
    match flags & (PREFILL | DECODE) {
        PREFILL => StageRole::Prefill,
        DECODE => StageRole::Decode,
        _ => StageRole::Both,
    }
}

type OwnedModel = (String, u32, Vec<String>);

fn borrowed(models: &[LoadedModel]) -> Vec<(&str, u32, &[String])> {
    models
        .iter()
        .map(|m| (m.model.as_str(), m.version, m.adapters.as_slice()))
        .collect()
}

fn loaded(models: Vec<OwnedModel>) -> Vec<LoadedModel> {
    let models = models
        .into_iter()
        .map(|(model, version, adapters)| LoadedModel {
            model,
            version,
            adapters,
        });
    models.collect()
}

/// What changed at an endpoint that the receiver holds; it travels in place of a [`Delta`].
#[derive(Clone, Debug, PartialEq)]
pub struct CompactDelta {
    /// Hash of name, service, place and incarnation, none of which is carried.
    identity: u64,
    seq: u64,
    flags: u8,
    models: Vec<LoadedModel>,
    age: Duration,
}

impl CompactDelta {
    /// What to tell of `entry` at `now`.
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

    /// Hash of name, service, place and incarnation.
    pub(crate) fn identity(&self) -> u64 {
        self.identity
    }

    /// The delta that it stands for; `known` has its identity.
    pub(crate) fn complete(self, known: &Announcement) -> Delta {
        let announced = Announcement {
            seq: self.seq,
            state: readiness(self.flags),
            models: self.models,
            role: role(self.flags),
            checks_fencing: self.flags & CHECKS_FENCING != 0,
            load: Load::default(),
            ..known.clone()
        };
        Delta {
            announced,
            age: self.age,
        }
    }
}

impl Serialize for CompactDelta {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let models = borrowed(&self.models);
        let age_ms = self.age.as_millis() as u64;
        (self.identity, self.seq, self.flags, models, age_ms).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for CompactDelta {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (identity, seq, flags, models, age_ms) =
            <(u64, u64, u8, Vec<OwnedModel>, u64)>::deserialize(deserializer)?;
        Ok(Self {
            identity,
            seq,
            flags,
            models: loaded(models),
            age: Duration::from_millis(age_ms),
        })
    }
}

impl Delta {
    /// What to tell of `endpoint` at `now`.
    pub(crate) fn of(endpoint: &Endpoint, now: Instant) -> Self {
        let announced = Announcement {
            load: Load::default(),
            ..endpoint.announced.clone()
        };
        Self {
            announced,
            age: endpoint.live.silence(now),
        }
    }
}

impl Serialize for Delta {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let a = &self.announced;
        let mut tuple = serializer.serialize_tuple(MEMBERS)?;
        tuple.serialize_element(&a.endpoint)?;
        tuple.serialize_element(&a.service)?;
        tuple.serialize_element(&a.az)?;
        tuple.serialize_element(&a.address)?;
        tuple.serialize_element(&a.incarnation)?;
        tuple.serialize_element(&a.seq)?;
        tuple.serialize_element(&flags(a))?;
        tuple.serialize_element(&borrowed(&a.models))?;
        tuple.serialize_element(&a.slots)?;
        tuple.serialize_element(&(self.age.as_millis() as u64))?;
        tuple.end()
    }
}

struct DeltaVisitor;

impl<'de> Visitor<'de> for DeltaVisitor {
    type Value = Delta;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("a delta of ten members")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Delta, A::Error> {
        let missing = || A::Error::custom("a delta has ten members");
        let endpoint: String = seq.next_element()?.ok_or_else(missing)?;
        let service: String = seq.next_element()?.ok_or_else(missing)?;
        let az: String = seq.next_element()?.ok_or_else(missing)?;
        let address: String = seq.next_element()?.ok_or_else(missing)?;
        let incarnation: Uuid = seq.next_element()?.ok_or_else(missing)?;
        let number: u64 = seq.next_element()?.ok_or_else(missing)?;
        let flags: u8 = seq.next_element()?.ok_or_else(missing)?;
        let models: Vec<OwnedModel> = seq.next_element()?.ok_or_else(missing)?;
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
                models: loaded(models),
                role: role(flags),
                checks_fencing: flags & CHECKS_FENCING != 0,
                slots,
                load: Load::default(),
            },
            age: Duration::from_millis(age_ms),
        })
    }
}

impl<'de> Deserialize<'de> for Delta {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(MEMBERS, DeltaVisitor)
    }
}

#[cfg(test)]
mod tests;
