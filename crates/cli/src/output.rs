//! Output as text for people or as JSON for programs.

use host::output::print_line;
use serde::Serialize;

/// Prints `value` as one line of JSON if `json` is set, else `text`.
pub fn print<T: Serialize>(json: bool, value: &T, text: impl FnOnce() -> String) {
    match json {
        true => print_line(to_json(value)),
        false => print_line(text()),
    }
}

/// Formats `value` as one line of JSON.
pub fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("printed values can always be written as JSON")
}

/// Formats rows under headings, with columns padded to their widest cell.
pub fn table<const N: usize>(headings: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = headings.map(|h| h.chars().count());
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let format_row = |cells: &[String; N]| {
        let padded = cells.iter().zip(widths);
        let padded: Vec<String> = padded
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        padded.join("  ").trim_end().to_owned()
    };
    let head = headings.map(str::to_owned);
    let lines: Vec<String> = std::iter::once(&head).chain(rows).map(format_row).collect();
    lines.join("\n")
}
