//! Standard output.

use std::{
    fmt::Display,
    io::{Write, stdout},
};

/// Writes one line to standard output and ignores errors, such as a closed pipe (`… | head`).
pub fn print_line(text: impl Display) {
    // The exit code reports the result even if nobody reads the output.
    let _ = writeln!(stdout().lock(), "{text}");
}
