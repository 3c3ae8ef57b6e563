//! Exit codes of all our programs.

use derives::value;

/// How a process ended.
#[value]
#[derive(Copy)]
pub enum ExitCode {
    /// Done.
    Success,
    /// Failed.
    Failure,
    /// Wrong use of the command line or its settings.
    Usage,
    /// The document has faults.
    InvalidDocument,
    /// The change conflicts with one accepted before.
    Conflict,
    /// No quorum of keepers, or none could be reached.
    Unavailable,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        match code {
            ExitCode::Success => Self::from(0),
            ExitCode::Failure => Self::from(1),
            ExitCode::Usage => Self::from(2),
            ExitCode::InvalidDocument => Self::from(3),
            ExitCode::Conflict => Self::from(4),
            ExitCode::Unavailable => Self::from(5),
        }
    }
}
