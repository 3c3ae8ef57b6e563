//! Errors of the verbs and their exit codes.

use declaration::{Conflict, Faults};
use host::exit::ExitCode;
use operators::ApiError;
use thiserror::Error;

/// Why a verb failed.
#[derive(Debug, Error)]
pub enum VerbError {
    /// A file cannot be read.
    #[error("read `{path}`: {reason}; check the path")]
    File {
        /// Path of the file, or `-` for standard input.
        path: String,
        /// Error of the read.
        reason: String,
    },
    /// The document is invalid.
    #[error("{0}")]
    Faults(#[from] Faults),
    /// Sections changed since the base revision.
    #[error("{}", conflict_text(.0))]
    Conflict(Vec<Conflict>),
    /// The audit trail has no such revision.
    #[error("revision {0} is not in the audit trail; `jujubeferry audit` lists what is")]
    NoRevision(u64),
    /// The keepers could not be reached, or refused the request.
    #[error("{0}")]
    Api(ApiError),
}

impl From<ApiError> for VerbError {
    fn from(e: ApiError) -> Self {
        match e {
            ApiError::Conflict(conflicts) => Self::Conflict(conflicts),
            ApiError::Invalid(faults) => Self::Faults(Faults(faults)),
            other => Self::Api(other),
        }
    }
}

impl VerbError {
    /// Returns the exit code for this kind of failure.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::File { .. } | Self::NoRevision(_) => ExitCode::Usage,
            Self::Faults(_) => ExitCode::InvalidDocument,
            Self::Conflict(_) => ExitCode::Conflict,
            Self::Api(ApiError::Unavailable { .. }) => ExitCode::Unavailable,
            Self::Api(_) => ExitCode::Failure,
        }
    }
}

fn conflict_text(conflicts: &[Conflict]) -> String {
    let mut out = "conflict: these sections changed since the base revision".to_owned();
    for conflict in conflicts {
        let header = format!(
            "\n\n{} (revision {}), in force → yours:\n",
            conflict.id, conflict.revision
        );
        out.push_str(&header);
        out.push_str(&declaration::section_diff(
            &conflict.id,
            conflict.current.as_ref(),
            conflict.proposed.as_ref(),
        ));
    }
    out.push_str("\nrun `jujubeferry export`, make your change there, and apply again");
    out
}
