//! Settings of a role: INI sections read with every fault listed.

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

/// A section that every role accepts, whether it needs it or not.
struct SharedSection {
    name: &'static str,
    /// Its keys; empty where keys are names of peers.
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
    /// Its name, unique in the fleet.
    pub name: String,
    /// Its availability zone.
    pub availability_zone: String,
}

/// Another process of ours and the address of its link.
#[value]
pub struct Peer {
    /// The VM's name.
    pub name: String,
    /// Its link address.
    pub address: SocketAddr,
}

/// Reads sections and keys, remembers which were read, and lists every fault at the end.
#[derive(Debug)]
pub struct Reader {
    file: String,
    folder: PathBuf,
    sections: BTreeMap<String, Section>,
    read: BTreeSet<(String, String)>,
    known: BTreeSet<String>,
    faults: Faults,
}

impl Reader {
    /// Reads the file at `path`; relative paths inside it start at its folder.
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

    /// Reads `bytes` as the content of `file`.
    pub fn from_bytes(file: &str, folder: &Path, bytes: &[u8]) -> Result<Self, Faults> {
        let mut reader = Self {
            file: file.to_owned(),
            folder: folder.to_owned(),
            sections: BTreeMap::new(),
            read: BTreeSet::new(),
            known: SHARED_SECTIONS.iter().map(|s| s.name.to_owned()).collect(),
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
                let what = "key stands twice; keep one".to_owned();
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
                what: "section stands twice; keep one".to_owned(),
            });
        }
    }

    /// Records a fault at `key` of `section`.
    pub fn fault(&mut self, section: &str, key: &str, what: impl Into<String>) {
        let at = self.sections.get(section);
        let line = at.map_or(0, |s| s.get(key).map_or(s.line, |entry| entry.line));
        self.faults.0.push(Fault {
            file: self.file.clone(),
            line,
            section: section.to_owned(),
            key: key.to_owned(),
            what: what.into(),
        });
    }

    /// The text of an optional key.
    pub fn text(&mut self, section: &str, key: &str) -> Option<String> {
        self.known.insert(section.to_owned());
        self.read.insert((section.to_owned(), key.to_owned()));
        let entry = self.sections.get(section)?.get(key)?;
        Some(entry.value.clone())
    }

    /// The text of a key that must be there.
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

    /// An optional `HOST:PORT` with an IP number.
    pub fn address(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        let text = self.text(section, key)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            let what = format!("`{text}` is no address; write IP:PORT, such as 127.0.0.1:7401");
            self.fault(section, key, what);
        }
        parsed
    }

    /// A number within `low..=high`, or `default` where the key is absent.
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

    /// Milliseconds within `low..=high`, or `default` where the key is absent.
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

    /// `[vm]`.
    pub fn vm(&mut self) -> Vm {
        Vm {
            name: self.required("vm", "name"),
            availability_zone: self.required("vm", "availability_zone"),
        }
    }

    /// The address of `[listen]` `key`; the kernel's choice on loopback where it is absent.
    pub fn listen(&mut self, key: &str) -> SocketAddr {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        self.address("listen", key).unwrap_or(any)
    }

    /// The peers of `section`, `name = IP:PORT` a line.
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

    /// `[keepers]`, which every role needs.
    pub fn keepers(&mut self) -> Vec<Peer> {
        let keepers = self.peers("keepers");
        if keepers.is_empty() {
            let what = "no keeper; add `name = IP:PORT` of each first voter's link";
            self.fault("keepers", "", what);
        }
        keepers
    }

    /// A path, relative to the settings file's folder.
    pub fn path(&mut self, section: &str, key: &str) -> Option<PathBuf> {
        self.text(section, key).map(|text| self.folder.join(text))
    }

    /// `[log] level`, `info` where it is absent.
    pub fn log_level(&mut self) -> spdlog::Level {
        let text = self
            .text("log", "level")
            .unwrap_or_else(|| "info".to_owned());
        text.parse().unwrap_or_else(|_| {
            let what =
                format!("`{text}` is no level; use critical, error, warn, info, debug or trace");
            self.fault("log", "level", what);
            spdlog::Level::Info
        })
    }

    /// Lists every fault, unknown sections and keys among them.
    pub fn finish(mut self) -> Result<(), Faults> {
        for Unknown { section, key, what } in self.unknown() {
            self.fault(
                &section,
                &key,
                format!("{what}; remove it or correct its name"),
            );
        }
        self.faults.into_result()
    }

    fn unknown(&self) -> Vec<Unknown> {
        let of_section = |(name, section): (&String, &Section)| match self.known.contains(name) {
            true => self.unknown_keys(name, section),
            false => vec![Unknown {
                section: name.clone(),
                key: String::new(),
                what: "unknown section",
            }],
        };
        self.sections.iter().flat_map(of_section).collect()
    }

    fn unknown_keys(&self, name: &str, section: &Section) -> Vec<Unknown> {
        let shared = SHARED_SECTIONS.iter().find(|shared| shared.name == name);
        let is_known = |key: &str| match shared {
            Some(shared) if shared.keys.is_empty() => true,
            Some(shared) if shared.keys.contains(&key) => true,
            _ => self.read.contains(&(name.to_owned(), key.to_owned())),
        };
        let keys = section.entries.iter().map(|entry| &entry.key);
        let unknown = keys.filter(|key| !is_known(key)).map(|key| Unknown {
            section: name.to_owned(),
            key: key.clone(),
            what: "unknown key",
        });
        unknown.collect()
    }
}

/// What stands in the file and no role reads.
struct Unknown {
    section: String,
    /// Empty where the whole section is unknown.
    key: String,
    what: &'static str,
}

#[cfg(test)]
mod tests;
