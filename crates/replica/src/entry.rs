//! Log entries and their binary encoding, used both on disk and between replicas.
//!
//! An entry is `index u64, term u64, kind u8, length u32, data`, little-endian.

use derives::record;
use uuid::Uuid;

/// Size of an encoded entry without its data.
const HEADER_BYTES: usize = 8 + 8 + 1 + 4;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Entry {
    pub index: u64,
    pub term: u64,
    pub payload: Payload,
}

/// Payload of an entry.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Payload {
    /// No-op entry that a new leader appends.
    Empty,
    /// Command for the state machine.
    Data(Vec<u8>),
    /// Members in effect from this entry on.
    Members(Members),
}

/// Members of the group.
#[record]
#[derive(Default, Eq)]
pub struct Members {
    /// Members that vote and count towards the quorum.
    pub voters: Vec<Member>,
    /// Members that receive the log without voting.
    pub learners: Vec<Member>,
}

/// A member of the group.
#[record]
#[derive(Eq)]
pub struct Member {
    /// Name of the VM.
    pub name: String,
    /// Link address as `HOST:PORT`; empty for initial voters, whose links are configured.
    pub address: String,
    /// Identity of the member's data folder, once known.
    pub identity: Option<Uuid>,
}

impl Member {
    /// Returns the link address as `HOST:PORT`, which may be the name of an initial voter, or an
    /// empty string if unknown.
    pub fn link_address(&self) -> &str {
        let is_address = self.name.parse::<std::net::SocketAddr>().is_ok();
        match self.address.is_empty() && is_address {
            true => &self.name,
            false => &self.address,
        }
    }
}

impl Members {
    /// Returns the initial voters, sorted by name so that all replicas agree on the order, without
    /// identities.
    pub(crate) fn founders(voters: &[String]) -> Self {
        let member = |name: &String| Member {
            name: name.clone(),
            address: String::new(),
            identity: None,
        };
        let mut voters: Vec<_> = voters.iter().map(member).collect();
        voters.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            voters,
            learners: Vec::new(),
        }
    }

    /// Returns true if the identities of all voters are known.
    pub(crate) fn has_all_identities(&self) -> bool {
        self.voters.iter().all(|m| m.identity.is_some())
    }

    /// Returns true if both have the same voter names in the same order.
    pub(crate) fn has_same_voters(&self, other: &Self) -> bool {
        let names = |members: &Self| -> Vec<String> {
            let names = members.voters.iter().map(|m| m.name.clone());
            names.collect()
        };
        names(self) == names(other)
    }

    pub(crate) fn voter(&self, name: &str) -> Option<&Member> {
        self.voters.iter().find(|m| m.name == name)
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Member> {
        self.all().find(|m| m.name == name)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    pub(crate) fn all_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.voters.iter_mut().chain(&mut self.learners)
    }

    /// Number of voters in a quorum.
    pub(crate) fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

impl Entry {
    /// Encoded size in bytes, precise enough for batch limits.
    pub(crate) fn approximate_bytes(&self) -> usize {
        match &self.payload {
            Payload::Data(data) => HEADER_BYTES + data.len(),
            Payload::Empty | Payload::Members(_) => HEADER_BYTES,
        }
    }

    pub(crate) fn write(&self, buf: &mut Vec<u8>) {
        let members;
        let (kind, data): (u8, &[u8]) = match &self.payload {
            Payload::Empty => (0, &[]),
            Payload::Data(data) => (1, data),
            Payload::Members(value) => {
                members = link::encode(value);
                (2, &members)
            }
        };
        buf.extend_from_slice(&self.index.to_le_bytes());
        buf.extend_from_slice(&self.term.to_le_bytes());
        buf.push(kind);
        buf.extend_from_slice(&(data.len() as u32).to_le_bytes());
        buf.extend_from_slice(data);
    }

    /// Decodes one entry and returns it with the remaining bytes.
    pub(crate) fn read(bytes: &[u8]) -> Option<(Self, &[u8])> {
        let (index, rest) = bytes.split_first_chunk::<8>()?;
        let (term, rest) = rest.split_first_chunk::<8>()?;
        let (kind, rest) = rest.split_first()?;
        let (length, rest) = rest.split_first_chunk::<4>()?;
        let (data, rest) = rest.split_at_checked(u32::from_le_bytes(*length) as usize)?;
        let payload = match kind {
            0 if data.is_empty() => Payload::Empty,
            1 => Payload::Data(data.to_vec()),
            2 => Payload::Members(link::decode(data).ok()?),
            _ => return None,
        };
        let entry = Self {
            index: u64::from_le_bytes(*index),
            term: u64::from_le_bytes(*term),
            payload,
        };
        Some((entry, rest))
    }

    /// Decodes all of `bytes`; returns `None` unless the entries have consecutive indexes.
    pub(crate) fn read_all(mut bytes: &[u8]) -> Option<Vec<Self>> {
        let mut entries: Vec<Self> = Vec::new();
        while !bytes.is_empty() {
            let (entry, rest) = Self::read(bytes)?;
            if entries.last().is_some_and(|e| e.index + 1 != entry.index) {
                return None;
            }
            entries.push(entry);
            bytes = rest;
        }
        Some(entries)
    }
}
