//! What the choice of an endpoint depends on.

use crate::incoming::Prompt;

/// What a request requires of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Requirements<'a> {
    pub(crate) service: &'a str,
    /// The availability zone of this gate.
    pub(crate) az: &'a str,
    pub(crate) prompt: Option<&'a Prompt>,
    /// Bytes of the stage results that the request needs, by availability zone.
    pub(crate) inputs: &'a [(String, u64)],
    /// Endpoints that were already tried.
    pub(crate) avoid: &'a [String],
}
