//! Finds parts of prompts under which endpoints crash.

mod crashes;

pub(crate) use crashes::{CallEnd, CrashDetector};
