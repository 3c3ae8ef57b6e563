//! Permits for calls to endpoints that name a request rate or are cold.
//!
//! [`Permits`] is what a gate knows of one endpoint's rate, [`Limiter`] grants permits from a token
//! bucket for each endpoint, within the shares that [`Lender`] lends and [`BorrowedShares`] holds.
//! None of them does I/O; `docs/design/rate-limits.md` gives the reasons for this design.

mod limiter;
mod messages;
mod permits;
mod shares;

pub use limiter::{Grant, Limiter};
pub use messages::{ColdLimit, LimitReply, LimitRequest};
pub use permits::{CallPermission, ColdChange, MIN_RATE, Permits, lesser};
pub use shares::{BorrowedShares, LOAN_DURATION, Lender};

#[cfg(test)]
mod tests;
