//! Access to the keys of a section, with line numbers for faults.

use std::collections::BTreeMap;

use inifile::{Fault, Faults, Section};

use crate::{SectionId, SectionText};

/// Maximum declared memory, in MB.
const MAX_MB: u64 = 100_000_000;

/// The kind of section that declares a workspace.
pub(crate) const WORKSPACE: &str = "workspace";

/// Line numbers of sections and keys in a file.
pub(crate) struct SourceLines<'a> {
    file: &'a str,
    headers: BTreeMap<String, &'a Section>,
}

impl<'a> SourceLines<'a> {
    pub(crate) fn new(file: &'a str, sections: &'a [Section]) -> Self {
        let normalized = |s: &Section| s.name.split_whitespace().collect::<Vec<_>>().join(" ");
        let mut headers = BTreeMap::new();
        for section in sections {
            headers.entry(normalized(section)).or_insert(section);
        }
        Self { file, headers }
    }

    /// Creates a fault at `key` of section `id`, or at the header if `key` is empty or absent.
    pub(crate) fn fault(&self, id: &str, key: &str, what: String) -> Fault {
        let section = self.headers.get(id);
        let line = section.map_or(0, |s| s.get(key).map_or(s.line, |entry| entry.line));
        Fault {
            file: self.file.to_owned(),
            line,
            section: id.to_owned(),
            key: key.to_owned(),
            what,
        }
    }
}

/// The keys of one section. Each is removed when read; those that remain at the end are unknown.
pub(crate) struct Keys<'a> {
    id: String,
    remaining: BTreeMap<&'a str, &'a str>,
    lines: &'a SourceLines<'a>,
    faults: &'a mut Faults,
}

impl<'a> Keys<'a> {
    pub(crate) fn new(
        id: &SectionId,
        text: &'a SectionText,
        lines: &'a SourceLines<'a>,
        faults: &'a mut Faults,
    ) -> Self {
        let pairs = text.entries.iter();
        Self {
            id: id.to_string(),
            remaining: pairs.map(|(k, v)| (k.as_str(), v.as_str())).collect(),
            lines,
            faults,
        }
    }

    /// Records a fault at `key`, or at the header if `key` is empty.
    pub(crate) fn fault(&mut self, key: &str, what: String) {
        self.faults.0.push(self.lines.fault(&self.id, key, what));
    }

    pub(crate) fn optional(&mut self, key: &str) -> Option<String> {
        match self.remaining.remove(key) {
            Some("") => {
                self.fault(key, "empty; give a value or leave the key out".to_owned());
                None
            }
            found => found.map(str::to_owned),
        }
    }

    pub(crate) fn required(&mut self, key: &str) -> String {
        if !self.remaining.contains_key(key) {
            self.fault(key, format!("missing; add `{key} = …`"));
        }
        self.optional(key).unwrap_or_default()
    }

    pub(crate) fn list(&mut self, key: &str) -> Vec<String> {
        let Some(value) = self.optional(key) else {
            return Vec::new();
        };
        let items: Vec<String> = value.split(',').map(|s| s.trim().to_owned()).collect();
        if items.iter().any(String::is_empty) {
            let what = "an item is empty; separate names by single commas".to_owned();
            self.fault(key, what);
        }
        items
    }

    pub(crate) fn yes_or_no(&mut self, key: &str) -> bool {
        match self.required(key).as_str() {
            "yes" => true,
            "no" | "" => false,
            other => {
                let what = format!("`{other}` is neither yes nor no; write `yes` or `no`");
                self.fault(key, what);
                false
            }
        }
    }

    pub(crate) fn optional_number(&mut self, key: &str, low: u64, high: u64) -> Option<u64> {
        let value = self.optional(key)?;
        match value.parse() {
            Ok(n) if (low..=high).contains(&n) => Some(n),
            _ => {
                let what = format!("`{value}` is out of range; write {low} to {high}");
                self.fault(key, what);
                None
            }
        }
    }

    pub(crate) fn optional_decimal(&mut self, key: &str, high: f64) -> Option<f64> {
        let value = self.optional(key)?;
        match value.parse() {
            Ok(n) if (0.0..=high).contains(&n) => Some(n),
            _ => {
                let what =
                    format!("`{value}` is no number from 0 to {high}; write one such as `9.1`");
                self.fault(key, what);
                None
            }
        }
    }

    pub(crate) fn megabytes(&mut self, key: &str) -> Option<u32> {
        let mb = self.optional_number(key, 1, MAX_MB)?;
        Some(mb as u32)
    }

    pub(crate) fn number(&mut self, key: &str, default: u64, low: u64, high: u64) -> u64 {
        self.optional_number(key, low, high).unwrap_or(default)
    }

    pub(crate) fn unknown_section(&mut self) {
        self.remaining.clear();
        let what = "unknown kind of section; use availability-zone, service, pipeline, \
                    workspace, route or limits";
        self.fault("", what.to_owned());
    }

    pub(crate) fn finish(mut self) {
        let unknown: Vec<&str> = self.remaining.keys().copied().collect();
        for key in unknown {
            self.fault(key, "unknown key; remove it or correct its name".to_owned());
        }
        self.remaining.clear();
    }
}
