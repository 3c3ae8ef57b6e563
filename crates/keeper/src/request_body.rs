//! Reads request bodies within bounds of size, time and memory.

use std::time::Duration;

use host::{
    body::{self, BodyError, BodyLimits, ByteBudget, HeldBody},
    problem::Problem,
    resources::Resources,
};
use salvo::Request;

/// Bounds on a body; a document of thousands of workspaces is far smaller.
const LIMITS: BodyLimits = BodyLimits {
    max_bytes: 3 << 20,
    max_discarded_bytes: 32 << 20,
    timeout: Duration::from_secs(20),
};
/// Share of the VM's memory for bodies, and the part of it for announcements.
const MEMORY_PERCENT: u64 = 10;
const ANNOUNCEMENT_PART: usize = 4;
const RETRY_AFTER_MS: u64 = 1_000;

/// Memory for all bodies. A body of the largest size always fits when there is no other.
#[derive(Debug)]
pub struct Budgets {
    /// Bodies of operators' requests.
    pub operators: ByteBudget,
    /// Announcements of endpoints, which are read while operators' bodies fill theirs.
    pub announcements: ByteBudget,
}

impl Budgets {
    /// Creates the budgets of a keeper on a VM with `resources`.
    pub fn new(resources: &Resources) -> Self {
        let bytes = resources.memory_bytes / 100 * MEMORY_PERCENT;
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let budget = |bytes: usize| ByteBudget::new(bytes.max(LIMITS.max_bytes));
        Self {
            operators: budget(bytes - bytes / ANNOUNCEMENT_PART),
            announcements: budget(bytes / ANNOUNCEMENT_PART),
        }
    }
}

/// Reads the whole body of `req`; fails with 400, 408, 413 or 503.
pub async fn read(req: &mut Request, budget: &ByteBudget) -> Result<HeldBody, Problem> {
    let read = body::read(req, budget, LIMITS).await;
    read.map_err(|e| {
        let (status, kind, title) = match &e {
            BodyError::TooLarge(_) => (413, "too-large", "Body too large"),
            BodyError::NoMemory => (503, "bodies-full", "No memory for the body"),
            BodyError::Late(_) => (408, "too-slow", "Body too slow"),
            BodyError::Broken(_) => (400, "bad-request", "Bad request"),
        };
        let mut problem = Problem::new(status, kind, title, e.to_string());
        problem.retry_after_ms = (e == BodyError::NoMemory).then_some(RETRY_AFTER_MS);
        problem
    })
}
