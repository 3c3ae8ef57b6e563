//! Structured logging for all programs.
//!
//! Decisions are typed [`Event`]s. [`write`] passes an event to spdlog as one JSON line, subject to a
//! per-second rate limit for each kind. Lines go through a bounded queue to a writer thread. A full
//! queue drops and counts lines, so that no task ever waits for the reader of the log. The number of
//! lines left out is logged as an event of its own. A [`RequestLog`] buffers the decisions on one
//! request until the request ends. They are written if it failed; a successful request is a single
//! line. [`Line`] parses written lines.

mod event;
mod kind;
mod line;
mod logger;
mod output;
mod queue;
mod rate_limit;
mod request_log;

pub use event::{Ending, Event, SilenceOutcome};
pub use kind::Kind;
pub use line::Line;
pub use logger::{LogGuard, Stream, report_left_out, set_level, start, write};
pub use queue::counts;
pub use request_log::RequestLog;
