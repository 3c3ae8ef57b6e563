//! The leader's time and limits, as tests of the replicated state stamp them into entries.

use keeper::Stamp;

/// Returns a stamp of the time `now_ms`, in milliseconds since the Unix epoch.
pub fn stamp(now_ms: u64) -> Stamp {
    Stamp {
        now_ms,
        retention_ms: 60_000,
        skew_ms: 5_000,
        grace_ms: 1_000,
        max_keys: 1_000,
        max_total_output_bytes: 1 << 20,
        max_history_bytes: 64 << 20,
    }
}
