//! What is wrong with an INI file, one fault a place.

use std::fmt::{self, Display, Formatter};

use derives::value;

/// One fault, at one place of one file.
#[value]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Fault {
    /// The file as the operator named it.
    pub file: String,
    /// Line number from 1; 0 where the fault belongs to no line.
    pub line: usize,
    /// The section's header text, empty for the file as a whole.
    pub section: String,
    /// The key, empty for the section as a whole.
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

/// All faults of a file, in the order of their lines.
#[value]
#[derive(Default)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// `Ok(())` where there is no fault.
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
