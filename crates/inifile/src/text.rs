//! Parsing INI text into sections that know their lines.

use derives::value;
use ini::{Ini, ParseOption, Properties};

use crate::{Fault, Faults, locate::Cursor};

/// One `key = value` line.
#[value]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, without surrounding white space.
    pub value: String,
    /// Line number from 1.
    pub line: usize,
}

/// One section with its entries, duplicates included.
#[value]
pub struct Section {
    /// The header's text between the brackets.
    pub name: String,
    /// Line number of the header, from 1.
    pub line: usize,
    /// Entries in file order.
    pub entries: Vec<Entry>,
    /// Comment lines above the header and inside the section, without their mark.
    pub comments: Vec<String>,
}

impl Section {
    /// The first value of `key`.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }
}

/// Parses `bytes`, read from `file`, into sections in file order.
///
/// # Errors
/// Text that is not UTF-8 (by byte offset), a line that is no header, key or comment, a key before
/// the first section.
pub fn parse(file: &str, bytes: &[u8]) -> Result<Vec<Section>, Faults> {
    let text = std::str::from_utf8(bytes).map_err(|e| not_utf8(file, bytes, e.valid_up_to()))?;
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let ini = Ini::load_from_str_opt(text, options).map_err(|e| syntax(file, e.line, &e.msg))?;
    let mut cursor = Cursor::new(text);
    let mut sections: Vec<Section> = Vec::new();
    for (name, properties) in &ini {
        match name {
            None if properties.is_empty() => {}
            None => return Err(before_sections(file, cursor.first())),
            Some(name) => sections.push(section(&mut cursor, name, properties)),
        }
    }
    if let Some(last) = sections.last_mut() {
        last.comments.extend(cursor.rest());
    }
    Ok(sections)
}

fn section(cursor: &mut Cursor<'_>, name: &str, properties: &Properties) -> Section {
    let line = cursor.header(name);
    let mut comments = cursor.take_comments();
    let mut entries = Vec::new();
    for (key, value) in properties {
        entries.push(Entry {
            key: key.to_owned(),
            value: value.trim().to_owned(),
            line: cursor.key(key),
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

fn one(file: &str, line: usize, what: String) -> Faults {
    Faults(vec![Fault {
        file: file.to_owned(),
        line,
        section: String::new(),
        key: String::new(),
        what,
    }])
}

fn not_utf8(file: &str, bytes: &[u8], at: usize) -> Faults {
    let line = bytes[..at].iter().filter(|b| **b == b'\n').count() + 1;
    one(
        file,
        line,
        format!("byte {at} is not UTF-8; save the file as UTF-8"),
    )
}

fn syntax(file: &str, line: usize, message: &str) -> Faults {
    let what = format!("{message}; write `[section]`, `key = value` or `# comment`");
    one(file, line.max(1), what)
}

fn before_sections(file: &str, line: usize) -> Faults {
    let what = "a key before the first section; put it below a `[section]` line";
    one(file, line, what.to_owned())
}

#[cfg(test)]
mod tests;
