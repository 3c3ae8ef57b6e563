//! Printing what the callers got.

use serde_json::{Value, json};

use crate::calls::Got;

/// Longest output printed for people, in characters.
const MAX_OUTPUT_CHARS: usize = 72;

/// One JSON object with an outcome for each request.
pub fn json(got: &[Got]) -> Value {
    let completed = got.iter().filter(|got| got.outcome == "completed").count();
    json!({ "requests": got, "completed": completed, "sent": got.len() })
}

/// One line a request for people.
pub fn line(got: &Got) -> String {
    let output = got.output.to_string();
    let short: String = output.chars().take(MAX_OUTPUT_CHARS).collect();
    let runs = got
        .executions
        .map_or_else(String::new, |n| format!(" (run {n} time)"));
    format!(
        "{:<14} {:<18} {:<19} {} {:<9} {:>5} ms  {short}{runs}",
        got.deployment, got.pipeline, got.manner, got.status, got.outcome, got.elapsed_ms
    )
}
