//! Parses INI text into sections with line numbers.

use derives::value;
use ini::{Ini, ParseOption, Properties};

use crate::{Fault, Faults, locate::LineCursor};

/// One `key = value` line.
#[value]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value without surrounding white space.
    pub value: String,
    /// Line number from 1.
    pub line: usize,
}

/// One section with its entries, duplicate keys included.
#[value]
pub struct Section {
    /// Header text between the brackets.
    pub name: String,
    /// Line number of the header, from 1.
    pub line: usize,
    /// Entries in file order.
    pub entries: Vec<Entry>,
    /// Comment lines above the header and inside the section, without `#` or `;`. The last section
    /// also holds those after it.
    pub comments: Vec<String>,
}

impl Section {
    /// Returns the first entry of `key`.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }
}

/// Parses `bytes`, read from `file`, into sections in file order.
///
/// # Errors
/// Returns a fault if the text is not UTF-8 (with the byte offset), if a line is not a header, key
/// or comment, or if a key precedes the first section.
pub fn parse(file: &str, bytes: &[u8]) -> Result<Vec<Section>, Faults> {
    let text =
        std::str::from_utf8(bytes).map_err(|e| invalid_utf8(file, bytes, e.valid_up_to()))?;
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let ini =
        Ini::load_from_str_opt(text, options).map_err(|e| syntax_error(file, e.line, &e.msg))?;
    let mut cursor = LineCursor::new(text);
    let mut sections: Vec<Section> = Vec::new();
    for (name, properties) in &ini {
        match name {
            None if properties.is_empty() => {}
            None => return Err(key_before_sections(file, cursor.find_entry())),
            Some(name) => sections.push(build_section(&mut cursor, name, properties)),
        }
    }
    if let Some(last) = sections.last_mut() {
        last.comments.extend(cursor.remaining_comments());
    }
    Ok(sections)
}

fn build_section(cursor: &mut LineCursor<'_>, name: &str, properties: &Properties) -> Section {
    let line = cursor.find_header(name);
    let mut comments = cursor.take_comments();
    let mut entries = Vec::new();
    for (key, value) in properties {
        entries.push(Entry {
            key: key.to_owned(),
            value: value.trim().to_owned(),
            line: cursor.find_key(key),
        });
        comments.extend(cursor.take_comments());
    }
    Section {
        name: name.to_owned(),
        line,
        entries,
        comments,
    }
}

fn single_fault(file: &str, line: usize, what: String) -> Faults {
    Faults(vec![Fault {
        file: file.to_owned(),
        line,
        section: String::new(),
        key: String::new(),
        what,
    }])
}

fn invalid_utf8(file: &str, bytes: &[u8], offset: usize) -> Faults {
    let line = bytes[..offset].iter().filter(|b| **b == b'\n').count() + 1;
    single_fault(
        file,
        line,
        format!("byte {offset} is not UTF-8; save the file as UTF-8"),
    )
}

fn syntax_error(file: &str, line: usize, message: &str) -> Faults {
    let what = format!("{message}; write `[section]`, `key = value` or `# comment`");
    single_fault(file, line.max(1), what)
}

fn key_before_sections(file: &str, line: usize) -> Faults {
    let what = "a key before the first section; put it below a `[section]` line";
    single_fault(file, line, what.to_owned())
}

#[cfg(test)]
mod tests;
