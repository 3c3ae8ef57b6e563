//! The dense binary form of snapshots.

/// Appends a number.
pub fn put_u64(buf: &mut Vec<u8>, n: u64) {
    buf.extend_from_slice(&n.to_be_bytes());
}

/// Appends bytes with their length.
pub fn put_bytes(buf: &mut Vec<u8>, bytes: &[u8]) {
    buf.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    buf.extend_from_slice(bytes);
}

/// Reads what the functions above wrote.
#[derive(Debug)]
pub struct Cursor<'a>(pub &'a [u8]);

impl<'a> Cursor<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], String> {
        let (head, rest) = self
            .0
            .split_at_checked(n)
            .ok_or("snapshot ends too early")?;
        self.0 = rest;
        Ok(head)
    }

    /// `N` bytes.
    pub fn array<const N: usize>(&mut self) -> Result<[u8; N], String> {
        let bytes = self.take(N)?;
        bytes
            .try_into()
            .map_err(|_| "snapshot ends too early".to_owned())
    }

    /// A number.
    pub fn u64(&mut self) -> Result<u64, String> {
        self.array().map(u64::from_be_bytes)
    }

    /// Bytes with their length.
    pub fn bytes(&mut self) -> Result<&'a [u8], String> {
        let len = u32::from_be_bytes(self.array()?);
        self.take(len as usize)
    }
}
