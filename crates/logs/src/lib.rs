//! Logs of all programs.
//!
//! A decision is a typed [`Event`]; [`write`] gives it to spdlog as one JSON line, unless its kind has
//! spent its budget of the second. Lines go through a bounded queue to a thread of its own: a full queue
//! drops and counts, and no task ever waits for the reader of the log. What was left out is told by a
//! line of its own. A [`RequestLog`] keeps the decisions of one request until its end: those of one that
//! failed are written, one that went well is a single line. [`Line`] reads lines again.

mod event;
mod kind;
mod line;
mod logger;
mod output;
mod queue;
mod rate_limit;
mod request_log;

pub use event::{Ending, Event};
pub use kind::Kind;
pub use line::Line;
pub use logger::{LogGuard, Stream, report_left_out, set_level, start, write};
pub use queue::counts;
pub use request_log::RequestLog;
