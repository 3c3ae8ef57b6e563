//! Exit codes of all programs.

use derives::value;

/// Result of a process, reported as its exit code.
#[value]
#[derive(Copy)]
pub enum ExitCode {
    /// The work is done (0).
    Success,
    /// Any other failure (1).
    Failure,
    /// The command line or the settings are invalid (2).
    Usage,
    /// The declaration document has faults (3).
    InvalidDocument,
    /// The change conflicts with one that was accepted earlier (4).
    Conflict,
    /// The keepers have no quorum or none is reachable (5).
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
