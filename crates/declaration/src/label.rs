//! Labels of workspaces: any text that a header can carry, percent-encoded where a line of a file
//! would change it. A backslash at its end would continue the line.

use std::fmt::Write;

/// Maximum length of a label, in bytes.
pub(crate) const MAX_BYTES: usize = 4_096;

/// Returns `label` as it is written in a document, where the label is a fault if no header can carry
/// it.
pub fn encode_label(label: &str) -> String {
    let inner = label.trim();
    let start = label.len() - label.trim_start().len();
    let is_edge = |at: usize| at < start || at >= start + inner.len();
    let mut text = String::with_capacity(label.len());
    for (at, c) in label.char_indices() {
        match c {
            '%' | '\\' => encode_char(&mut text, c),
            c if c.is_control() || is_edge(at) => encode_char(&mut text, c),
            c => text.push(c),
        }
    }
    text
}

fn encode_char(text: &mut String, c: char) {
    for byte in c.encode_utf8(&mut [0; 4]).bytes() {
        // Writing to a string can't fail.
        let _ = write!(text, "%{byte:02X}");
    }
}

/// Returns the label that is written as `text`; `None` if a header can't carry it.
pub(crate) fn decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let (byte, after) = match first {
            b'%' => (hex_byte(after.get(..2)?)?, &after[2..]),
            byte => (*byte, after),
        };
        bytes.push(byte);
        rest = after;
    }
    let label = String::from_utf8(bytes).ok()?;
    is_valid(&label).then_some(label)
}

fn hex_byte(digits: &[u8]) -> Option<u8> {
    let digits = std::str::from_utf8(digits).ok()?;
    let is_hex = digits.bytes().all(|digit| digit.is_ascii_hexdigit());
    is_hex.then(|| u8::from_str_radix(digits, 16).ok())?
}

/// Returns true if a header carries `label` unchanged.
fn is_valid(label: &str) -> bool {
    !label.is_empty()
        && label.len() <= MAX_BYTES
        && label.trim_matches([' ', '\t']) == label
        && !label.chars().any(|c| c.is_ascii_control())
}
