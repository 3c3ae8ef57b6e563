//! CBOR encoding of messages.

use serde::{Serialize, de::DeserializeOwned};

use crate::LinkError;

/// Encodes `value` as CBOR. Panics if its type can't be represented, which no message type does.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buf = Vec::new();
    encode_into(value, &mut buf);
    buf
}

/// Appends the CBOR encoding of `value` to `buf`.
pub fn encode_into<T: Serialize>(value: &T, buf: &mut Vec<u8>) {
    ciborium::into_writer(value, buf).expect("every message type can be represented in CBOR");
}

/// Decodes a `T` from CBOR.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, LinkError> {
    ciborium::from_reader(bytes).map_err(|e| LinkError::Malformed(e.to_string()))
}
