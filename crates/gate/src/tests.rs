//! Property tests of what the request path must hold, whatever comes.

mod assembly;
mod draining;
mod outcomes;
mod parsing;
