//! The frames of a link. Encoded by hand because every message passes through this code.

use std::fmt::{self, Formatter};

use derives::token;
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error as _, SeqAccess, Visitor},
    ser::SerializeTuple,
};
use serde_bytes::{ByteBuf, Bytes};

/// The component of the receiving process that a call is for.
#[token]
pub enum Channel {
    /// Consensus between keepers.
    Agreement,
    /// Requests of a keeper's clients.
    Keeper,
    /// Requests of followers of the declaration.
    Follow,
    /// Replication of the endpoint table.
    Membership,
    /// Calls to endpoints: their outcomes at a gate, and permits for them between gates.
    Calls,
    /// Items of batched stages, sent between gates.
    Stages,
}

impl Channel {
    fn code(self) -> u8 {
        match self {
            Self::Agreement => 0,
            Self::Keeper => 1,
            Self::Follow => 2,
            Self::Membership => 3,
            Self::Calls => 4,
            Self::Stages => 5,
        }
    }

    fn from_code(code: u8) -> Option<Self> {
        [
            Self::Agreement,
            Self::Keeper,
            Self::Follow,
            Self::Membership,
            Self::Calls,
            Self::Stages,
        ]
        .into_iter()
        .find(|channel| channel.code() == code)
    }
}

/// The content of one WebSocket message.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Frame {
    Heartbeat,
    Call {
        id: u64,
        channel: Channel,
        body: Vec<u8>,
    },
    Reply {
        id: u64,
        body: Vec<u8>,
    },
}

const HEARTBEAT: u8 = 0;
const CALL: u8 = 1;
const REPLY: u8 = 2;

impl Serialize for Frame {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let (kind, id, channel, body): (u8, u64, u8, &[u8]) = match self {
            Self::Heartbeat => (HEARTBEAT, 0, 0, &[]),
            Self::Call { id, channel, body } => (CALL, *id, channel.code(), body),
            Self::Reply { id, body } => (REPLY, *id, 0, body),
        };
        let mut tuple = serializer.serialize_tuple(4)?;
        tuple.serialize_element(&kind)?;
        tuple.serialize_element(&id)?;
        tuple.serialize_element(&channel)?;
        tuple.serialize_element(Bytes::new(body))?;
        tuple.end()
    }
}

struct FrameVisitor;

impl<'de> Visitor<'de> for FrameVisitor {
    type Value = Frame;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("a frame [kind, id, channel, body]")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Frame, A::Error> {
        let missing = || A::Error::custom("a frame has four elements");
        let kind: u8 = seq.next_element()?.ok_or_else(missing)?;
        let id: u64 = seq.next_element()?.ok_or_else(missing)?;
        let channel: u8 = seq.next_element()?.ok_or_else(missing)?;
        let body: ByteBuf = seq.next_element()?.ok_or_else(missing)?;
        let body = body.into_vec();
        match (kind, Channel::from_code(channel)) {
            (HEARTBEAT, _) => Ok(Frame::Heartbeat),
            (CALL, Some(channel)) => Ok(Frame::Call { id, channel, body }),
            (REPLY, _) => Ok(Frame::Reply { id, body }),
            _ => Err(A::Error::custom("unknown frame kind or channel")),
        }
    }
}

impl<'de> Deserialize<'de> for Frame {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(4, FrameVisitor)
    }
}

#[cfg(test)]
mod tests;
