//! Faults of an INI file, each with its position.

use std::fmt::{self, Display, Formatter};

use derives::value;

/// One fault and its position in a file.
#[value]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Fault {
    /// Path of the file as the operator gave it.
    pub file: String,
    /// Line number from 1; 0 if the fault belongs to no line.
    pub line: usize,
    /// Header text of the section; empty if the fault concerns the whole file.
    pub section: String,
    /// The key; empty if the fault concerns the whole section.
    pub key: String,
    /// What is wrong and what to do.
    pub what: String,
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.section.is_empty() {
            write!(f, "{}: ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.what)
    }
}

/// All faults of a file.
#[value]
#[derive(Default)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Returns `Ok` if there is no fault.
    ///
    /// # Errors
    /// Returns the faults sorted by line.
    pub fn into_result(mut self) -> Result<(), Self> {
        if self.0.is_empty() {
            return Ok(());
        }
        self.0.sort_by_key(|fault| fault.line);
        Err(self)
    }
}

impl Display for Faults {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Faults {}
