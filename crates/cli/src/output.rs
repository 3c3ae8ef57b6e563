//! Printing for people and for programs.

use host::output::print_line;
use serde::Serialize;

/// Prints `value` as one line of JSON, or `text` for people.
pub fn print<T: Serialize>(json: bool, value: &T, text: impl FnOnce() -> String) {
    match json {
        true => print_line(to_json(value)),
        false => print_line(text()),
    }
}

/// One line of JSON.
pub fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("our values have no shape that JSON refuses")
}

/// Rows under headings, columns padded to their widest cell.
pub fn table<const N: usize>(headings: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = headings.map(|h| h.chars().count());
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let line = |cells: &[String; N]| {
        let padded = cells.iter().zip(widths);
        let padded: Vec<String> = padded
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        padded.join("  ").trim_end().to_owned()
    };
    let head = headings.map(str::to_owned);
    let lines: Vec<String> = std::iter::once(&head).chain(rows).map(line).collect();
    lines.join("\n")
}
