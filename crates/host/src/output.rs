//! Standard output for people and for programs.

use std::{
    fmt::Display,
    io::{Write, stdout},
};

/// Writes one line to standard output. A reader that has gone, as `head` does, ends the output
/// quietly.
pub fn print_line(text: impl Display) {
    // Nobody reads; the exit code still says how the work ended.
    let _ = writeln!(stdout().lock(), "{text}");
}
