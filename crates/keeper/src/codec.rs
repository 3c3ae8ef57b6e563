//! Binary encoding of snapshots.

use serde::Serialize;

/// Size of a length prefix.
const LENGTH_BYTES: usize = size_of::<u32>();

/// Appends `n` in big-endian order.
pub fn put_u64(buf: &mut Vec<u8>, n: u64) {
    buf.extend_from_slice(&n.to_be_bytes());
}

/// Appends `bytes` with a 32-bit length prefix.
pub fn put_bytes(buf: &mut Vec<u8>, bytes: &[u8]) {
    buf.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    buf.extend_from_slice(bytes);
}

/// Appends the CBOR encoding of `value` with a 32-bit length prefix.
pub fn put_encoded(buf: &mut Vec<u8>, value: &impl Serialize) {
    let start = buf.len() + LENGTH_BYTES;
    buf.resize(start, 0);
    link::encode_into(value, buf);
    let length = ((buf.len() - start) as u32).to_be_bytes();
    buf[start - LENGTH_BYTES..start].copy_from_slice(&length);
}

/// Reads values from the front of a buffer; all methods fail if it is too short.
#[derive(Debug)]
pub struct Cursor<'a>(pub &'a [u8]);

impl<'a> Cursor<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], String> {
        let (head, rest) = self.0.split_at_checked(n).ok_or("snapshot is truncated")?;
        self.0 = rest;
        Ok(head)
    }

    /// Reads `N` bytes.
    pub fn array<const N: usize>(&mut self) -> Result<[u8; N], String> {
        let bytes = self.take(N)?;
        bytes
            .try_into()
            .map_err(|_| "snapshot is truncated".to_owned())
    }

    /// Reads a number written by [`put_u64`].
    pub fn u64(&mut self) -> Result<u64, String> {
        self.array().map(u64::from_be_bytes)
    }

    /// Reads bytes written by [`put_bytes`].
    pub fn bytes(&mut self) -> Result<&'a [u8], String> {
        let len = u32::from_be_bytes(self.array()?);
        self.take(len as usize)
    }
}
