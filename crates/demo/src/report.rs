//! Formats the callers' responses.

use serde_json::{Value, json};

use crate::calls::CallerResponse;

/// Maximum length of an output in the text report, in characters.
const MAX_OUTPUT_CHARS: usize = 72;

/// Returns one JSON object with the outcome of each request.
pub fn to_json(responses: &[CallerResponse]) -> Value {
    let completed = responses
        .iter()
        .filter(|response| response.outcome == "completed")
        .count();
    json!({ "requests": responses, "completed": completed, "sent": responses.len() })
}

/// Formats one request as a line of the text report.
pub fn to_line(response: &CallerResponse) -> String {
    let output = response.output.to_string();
    let short: String = output.chars().take(MAX_OUTPUT_CHARS).collect();
    let runs = response
        .executions
        .map_or_else(String::new, |n| format!(" (run {n} time)"));
    format!(
        "{:<14} {:<18} {:<19} {} {:<9} {:>5} ms  {short}{runs}",
        response.deployment,
        response.pipeline,
        response.manner,
        response.status,
        response.outcome,
        response.elapsed_ms
    )
}
