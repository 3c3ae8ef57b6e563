//! CBOR by library.

use serde::{Serialize, de::DeserializeOwned};

use crate::LinkError;

/// Encodes `value`; our types have no shape that CBOR refuses.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("our messages have no shape that CBOR refuses");
    buf
}

/// Decodes a `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, LinkError> {
    ciborium::from_reader(bytes).map_err(|e| LinkError::Malformed(e.to_string()))
}
