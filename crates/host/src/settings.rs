//! Settings of a role, read from an INI file; all faults are collected and listed together.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use derives::value;
use inifile::{Fault, Faults, Section};

pub use crate::security::{Operator, Secret, Security, check_announce_token, find_operator};

/// A section that every role accepts, even if it does not read it.
struct SharedSection {
    name: &'static str,
    /// Accepted keys; empty if the keys are names of peers.
    keys: &'static [&'static str],
}

const SHARED_SECTIONS: [SharedSection; 7] = [
    SharedSection {
        name: "vm",
        keys: &["name", "availability_zone"],
    },
    SharedSection {
        name: "listen",
        keys: &["http", "link"],
    },
    SharedSection {
        name: "keepers",
        keys: &[],
    },
    SharedSection {
        name: "gates",
        keys: &[],
    },
    SharedSection {
        name: "data",
        keys: &["folder"],
    },
    SharedSection {
        name: "log",
        keys: &["level"],
    },
    SharedSection {
        name: "security",
        keys: &[
            "link_key_file",
            "announce_token_file",
            "operator_tokens_file",
        ],
    },
];

/// The VM on which the process runs.
#[value]
pub struct Vm {
    /// Name, unique in the fleet.
    pub name: String,
    /// Availability zone of the VM.
    pub availability_zone: String,
}

/// Another process of the product and its link address.
#[value]
pub struct Peer {
    /// Name of its VM.
    pub name: String,
    /// Address of its link listener.
    pub address: SocketAddr,
}

/// Reads keys of a settings file and collects faults. [`Reader::finish`] returns them all, those
/// for sections and keys that were never read included.
#[derive(Debug)]
pub struct Reader {
    file: String,
    /// Folder of the settings file.
    folder: PathBuf,
    sections: BTreeMap<String, Section>,
    /// Section and key of each value that was read, present or not.
    read_keys: BTreeSet<(String, String)>,
    known_sections: BTreeSet<String>,
    faults: Faults,
}

impl Reader {
    /// Reads the file at `path`; relative paths in it are resolved against its folder.
    pub fn from_file(path: &Path) -> Result<Self, Faults> {
        let file = path.display().to_string();
        let bytes = fs::read(path).map_err(|e| {
            Faults(vec![Fault {
                file: file.clone(),
                line: 0,
                section: String::new(),
                key: String::new(),
                what: format!("cannot be read: {e}; check the path given with --config"),
            }])
        })?;
        let folder = path.parent().unwrap_or(Path::new("")).to_owned();
        Self::from_bytes(&file, &folder, &bytes)
    }

    /// Reads `bytes` as the content of `file`; relative paths are resolved against `folder`.
    ///
    /// # Errors
    /// Returns the faults of text that is not valid INI.
    pub fn from_bytes(file: &str, folder: &Path, bytes: &[u8]) -> Result<Self, Faults> {
        let mut reader = Self {
            file: file.to_owned(),
            folder: folder.to_owned(),
            sections: BTreeMap::new(),
            read_keys: BTreeSet::new(),
            known_sections: SHARED_SECTIONS.iter().map(|s| s.name.to_owned()).collect(),
            faults: Faults::default(),
        };
        for section in inifile::parse(file, bytes)? {
            reader.add(section);
        }
        Ok(reader)
    }

    fn add(&mut self, section: Section) {
        let mut seen = BTreeSet::new();
        for entry in &section.entries {
            if !seen.insert(&entry.key) {
                let what = "duplicate key; keep one".to_owned();
                self.faults.0.push(Fault {
                    file: self.file.clone(),
                    line: entry.line,
                    section: section.name.clone(),
                    key: entry.key.clone(),
                    what,
                });
            }
        }
        let (name, line) = (section.name.clone(), section.line);
        if self.sections.insert(name.clone(), section).is_some() {
            self.faults.0.push(Fault {
                file: self.file.clone(),
                line,
                section: name,
                key: String::new(),
                what: "duplicate section; keep one".to_owned(),
            });
        }
    }

    /// Records a fault at `key` of `section`, or at the section if the key is absent.
    pub fn fault(&mut self, section: &str, key: &str, what: impl Into<String>) {
        let found = self.sections.get(section);
        let line = found.map_or(0, |s| s.get(key).map_or(s.line, |entry| entry.line));
        self.faults.0.push(Fault {
            file: self.file.clone(),
            line,
            section: section.to_owned(),
            key: key.to_owned(),
            what: what.into(),
        });
    }

    /// Returns the value of an optional key.
    pub fn text(&mut self, section: &str, key: &str) -> Option<String> {
        self.known_sections.insert(section.to_owned());
        self.read_keys.insert((section.to_owned(), key.to_owned()));
        let entry = self.sections.get(section)?.get(key)?;
        Some(entry.value.clone())
    }

    /// Returns the value of a mandatory key; records a fault if it is missing or empty.
    pub fn required(&mut self, section: &str, key: &str) -> String {
        match self.text(section, key) {
            Some(text) if !text.is_empty() => text,
            _ => {
                self.fault(
                    section,
                    key,
                    format!("missing; add `{key} = …` to [{section}]"),
                );
                String::new()
            }
        }
    }

    /// Returns an optional `IP:PORT`; records a fault if it does not parse.
    pub fn address(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        let text = self.text(section, key)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            let what = format!("`{text}` is not an address; write IP:PORT, such as 127.0.0.1:7401");
            self.fault(section, key, what);
        }
        parsed
    }

    /// Returns a number within `low..=high`, or `default` if the key is absent. Records a fault for
    /// any other value.
    pub fn number(&mut self, section: &str, key: &str, default: u64, low: u64, high: u64) -> u64 {
        let Some(text) = self.text(section, key) else {
            return default;
        };
        match text.parse() {
            Ok(n) if (low..=high).contains(&n) => n,
            _ => {
                let what = format!("`{text}` is out of range; write {low} to {high}");
                self.fault(section, key, what);
                default
            }
        }
    }

    /// Like [`Reader::number`], for a duration in milliseconds.
    pub fn millis(
        &mut self,
        section: &str,
        key: &str,
        default: u64,
        low: u64,
        high: u64,
    ) -> Duration {
        Duration::from_millis(self.number(section, key, default, low, high))
    }

    /// Reads the mandatory `[vm]`.
    pub fn vm(&mut self) -> Vm {
        Vm {
            name: self.required("vm", "name"),
            availability_zone: self.required("vm", "availability_zone"),
        }
    }

    /// Returns the address at `key` of `[listen]`, or loopback with a port picked by the kernel if
    /// it is absent.
    pub fn listen(&mut self, key: &str) -> SocketAddr {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        self.address("listen", key).unwrap_or(any)
    }

    /// Returns the peers of `section`, each written as `name = IP:PORT`.
    pub fn peers(&mut self, section: &str) -> Vec<Peer> {
        let names: Vec<String> = match self.sections.get(section) {
            Some(s) => s.entries.iter().map(|entry| entry.key.clone()).collect(),
            None => Vec::new(),
        };
        names
            .into_iter()
            .filter_map(|name| {
                let address = self.address(section, &name)?;
                Some(Peer { name, address })
            })
            .collect()
    }

    /// Reads `[keepers]`, which every role needs; records a fault if it names none.
    pub fn keepers(&mut self) -> Vec<Peer> {
        let keepers = self.peers("keepers");
        if keepers.is_empty() {
            let what = "no keeper; add `name = IP:PORT` of each first voter's link";
            self.fault("keepers", "", what);
        }
        keepers
    }

    /// Returns a path, resolved against the settings file's folder.
    pub fn path(&mut self, section: &str, key: &str) -> Option<PathBuf> {
        self.text(section, key).map(|text| self.folder.join(text))
    }

    /// Returns `[log] level`, or `info` if it is absent; records a fault if it is invalid.
    pub fn log_level(&mut self) -> spdlog::Level {
        let text = self
            .text("log", "level")
            .unwrap_or_else(|| "info".to_owned());
        text.parse().unwrap_or_else(|_| {
            let what = format!(
                "`{text}` is not a log level; use critical, error, warn, info, debug or trace"
            );
            self.fault("log", "level", what);
            spdlog::Level::Info
        })
    }

    /// Ends reading.
    ///
    /// # Errors
    /// Returns all faults, one for each unknown section or key included.
    pub fn finish(mut self) -> Result<(), Faults> {
        for UnknownName { section, key, what } in self.unknown_names() {
            self.fault(
                &section,
                &key,
                format!("{what}; remove it or correct its name"),
            );
        }
        self.faults.into_result()
    }

    fn unknown_names(&self) -> Vec<UnknownName> {
        let unknown_in =
            |(name, section): (&String, &Section)| match self.known_sections.contains(name) {
                true => self.unknown_keys(name, section),
                false => vec![UnknownName {
                    section: name.clone(),
                    key: String::new(),
                    what: "unknown section",
                }],
            };
        self.sections.iter().flat_map(unknown_in).collect()
    }

    fn unknown_keys(&self, name: &str, section: &Section) -> Vec<UnknownName> {
        let shared = SHARED_SECTIONS.iter().find(|shared| shared.name == name);
        let is_known = |key: &str| match shared {
            Some(shared) if shared.keys.is_empty() => true,
            Some(shared) if shared.keys.contains(&key) => true,
            _ => self.read_keys.contains(&(name.to_owned(), key.to_owned())),
        };
        let keys = section.entries.iter().map(|entry| &entry.key);
        let unknown = keys.filter(|key| !is_known(key)).map(|key| UnknownName {
            section: name.to_owned(),
            key: key.clone(),
            what: "unknown key",
        });
        unknown.collect()
    }
}

/// A section or key that the role does not know.
struct UnknownName {
    section: String,
    /// Empty if the whole section is unknown.
    key: String,
    what: &'static str,
}

#[cfg(test)]
mod tests;
