//! Reads request bodies within bounds of size, time and memory.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Body;
pub use ingress::ByteBudget;
use ingress::Reservation;
use salvo::Request;
use thiserror::Error;
use tokio::time::timeout;

/// Size of a block of a body that is arriving.
const BLOCK_BYTES: usize = 64 << 10;

/// Bounds on one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size, in bytes.
    pub max_bytes: usize,
    /// Read limit of an oversized body, which is discarded so that a client that is still writing
    /// gets the error response rather than a broken connection; 0 to refuse it at once.
    pub max_discarded_bytes: usize,
    /// Maximum time to receive the whole body.
    pub timeout: Duration,
}

/// Why a body was not read. The request has not run.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// It exceeds the maximum size.
    #[error("the body exceeds {0} bytes")]
    TooLarge(usize),
    /// Other bodies fill the memory.
    #[error("bodies fill the memory for them; send it again")]
    NoMemory,
    /// It did not arrive in time.
    #[error("the body did not arrive within {0:?}")]
    Late(Duration),
    /// The connection ended, or the body is malformed.
    #[error("read the body: {0}")]
    Broken(String),
}

/// Bytes of a body that is arriving.
///
/// They are kept in blocks instead of one vector: growing it would hold up to three times its
/// content, which no budget counts.
#[derive(Debug, Default)]
pub struct Blocks {
    blocks: Vec<Vec<u8>>,
    length: usize,
}

impl Blocks {
    /// Appends a copy of `data`.
    pub fn append(&mut self, mut data: &[u8]) {
        self.length += data.len();
        while !data.is_empty() {
            if self
                .blocks
                .last()
                .is_none_or(|block| block.len() == BLOCK_BYTES)
            {
                // Later blocks are allocated whole: blocks that grow leave freed memory in every size
                // class of the allocator.
                let capacity = match self.blocks.is_empty() {
                    true => data.len().min(BLOCK_BYTES),
                    false => BLOCK_BYTES,
                };
                self.blocks.push(Vec::with_capacity(capacity));
            }
            if let Some(block) = self.blocks.last_mut() {
                let (fitting, rest) = data.split_at(data.len().min(BLOCK_BYTES - block.len()));
                block.extend_from_slice(fitting);
                data = rest;
            }
        }
    }

    /// Number of bytes.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Moves the bytes into one vector. Each block is freed once it is copied.
    pub fn into_vec(self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.length);
        for block in self.blocks {
            bytes.extend_from_slice(&block);
        }
        bytes
    }
}

/// A request's body, and its share of the memory.
#[derive(Debug)]
pub struct HeldBody {
    blocks: Blocks,
    reservation: Reservation,
}

impl HeldBody {
    /// Moves the bytes into one vector; the share is kept.
    pub fn take_bytes(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.blocks).into_vec()
    }
}

/// Reads the body of `req`; its bytes are reserved from `budget` as they arrive.
pub async fn read(
    req: &mut Request,
    budget: &ByteBudget,
    limits: BodyLimits,
) -> Result<HeldBody, BodyError> {
    let read = timeout(limits.timeout, collect(req, budget, limits)).await;
    read.unwrap_or(Err(BodyError::Late(limits.timeout)))
}

async fn collect(
    req: &mut Request,
    budget: &ByteBudget,
    limits: BodyLimits,
) -> Result<HeldBody, BodyError> {
    let BodyLimits {
        max_bytes,
        max_discarded_bytes,
        ..
    } = limits;
    let too_large = || BodyError::TooLarge(max_bytes);
    let mut body = req.take_body();
    if body.size_hint().lower() > max_bytes.max(max_discarded_bytes) as u64 {
        return Err(too_large());
    }
    let mut held = HeldBody {
        blocks: Blocks::default(),
        reservation: budget.reservation(),
    };
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| BodyError::Broken(e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len();
        match () {
            () if length <= max_bytes => {
                if !held.reservation.try_grow(length) {
                    return Err(BodyError::NoMemory);
                }
                held.blocks.append(&data);
            }
            () if length <= max_discarded_bytes => {
                held.blocks = Blocks::default();
                held.reservation = budget.reservation();
            }
            () => return Err(too_large()),
        }
    }
    match length <= max_bytes {
        true => Ok(held),
        false => Err(too_large()),
    }
}
