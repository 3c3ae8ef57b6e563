//! Property tests of the request path.

mod assembly;
mod draining;
mod not_run;
mod outcomes;
mod parsing;
