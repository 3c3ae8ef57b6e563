//! CBOR encoding of messages.

use serde::{Serialize, de::DeserializeOwned};

use crate::LinkError;

/// Encodes `value` as CBOR. Panics if its type can't be represented, which no message type does.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("every message type can be represented in CBOR");
    buf
}

/// Decodes a `T` from CBOR.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, LinkError> {
    ciborium::from_reader(bytes).map_err(|e| LinkError::Malformed(e.to_string()))
}
