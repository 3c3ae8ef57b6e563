//! Property tests of the request path.

mod assembly;
mod draining;
mod outcomes;
mod parsing;
