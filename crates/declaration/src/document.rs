//! The declaration as plain sections, with its canonical text.

use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter, Write as _},
    str::FromStr,
};

use derives::{record, value};
use imbl::OrdMap;
use inifile::Faults;

/// Id of a section: its kind (`service`, `pipeline`, …) and its name.
#[value]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SectionId {
    /// The first word of the header.
    pub kind: String,
    /// The second word of the header.
    pub name: String,
}

impl Display for SectionId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}

impl FromStr for SectionId {
    type Err = String;

    fn from_str(header: &str) -> Result<Self, Self::Err> {
        match header.split_once(char::is_whitespace) {
            Some((kind, name)) if !name.trim().is_empty() => Ok(Self {
                kind: kind.to_owned(),
                name: name.trim().to_owned(),
            }),
            _ => Err(format!(
                "section `{header}` has no name; write `[kind name]`"
            )),
        }
    }
}

/// Content of a section: entries in order of their keys, and comment lines.
#[record]
#[derive(Default, Eq)]
pub struct SectionText {
    /// Values by key.
    pub entries: BTreeMap<String, String>,
    /// Comment lines directly above the header or inside the section, without the `#`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub comments: Vec<String>,
}

/// All sections of the declaration. A clone shares its sections with the original, so that a new
/// revision costs only as much as its changes.
#[record]
#[derive(Default, Eq)]
pub struct Document {
    /// The sections by id.
    pub sections: OrdMap<SectionId, SectionText>,
}

impl SectionId {
    /// Returns the approximate encoded size in bytes.
    fn approximate_bytes(&self) -> usize {
        self.kind.len() + self.name.len()
    }
}

impl SectionText {
    /// Returns the approximate encoded size in bytes.
    fn approximate_bytes(&self) -> usize {
        let entries = self
            .entries
            .iter()
            .map(|(key, value)| key.len() + value.len());
        let comments = self.comments.iter().map(String::len);
        entries.chain(comments).sum()
    }
}

/// Returns the approximate encoded size of a section in bytes; a deleted one has no text.
pub(crate) fn section_bytes(id: &SectionId, text: Option<&SectionText>) -> usize {
    id.approximate_bytes() + text.map_or(0, SectionText::approximate_bytes)
}

impl Document {
    /// Returns the approximate encoded size in bytes.
    pub fn approximate_bytes(&self) -> usize {
        let sections = self.sections.iter();
        sections
            .map(|(id, text)| section_bytes(id, Some(text)))
            .sum()
    }

    /// Parses sections from INI text. Duplicates are faults; contents are not validated.
    pub fn read(file: &str, bytes: &[u8]) -> Result<Self, Faults> {
        crate::read::document(file, bytes)
    }

    /// Returns the canonical INI text, which [`Self::read`] parses into the same document.
    pub fn write(&self) -> String {
        let mut out = String::new();
        for (id, text) in &self.sections {
            if !out.is_empty() {
                out.push('\n');
            }
            write_section(&mut out, id, text);
        }
        out
    }
}

/// Appends one section in canonical form to `out`.
pub(crate) fn write_section(out: &mut String, id: &SectionId, text: &SectionText) {
    for comment in &text.comments {
        let line = format!("# {comment}");
        let _ = writeln!(out, "{}", line.trim_end());
    }
    let _ = writeln!(out, "[{id}]");
    for (key, value) in &text.entries {
        let line = format!("{key} = {value}");
        let _ = writeln!(out, "{}", line.trim_end());
    }
}
