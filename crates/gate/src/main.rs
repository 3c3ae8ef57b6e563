//! `jujube-gate`: serves callers' requests and endpoints' announcements.

use std::process::ExitCode;

use gate::{Config, start};
use host::role::{self, Program};
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const PROGRAM: Program = Program {
    name: "jujube-gate",
    about: "Takes callers' requests through every stage of their pipelines.",
    version: env!("CARGO_PKG_VERSION"),
};

fn main() -> ExitCode {
    role::main(PROGRAM, Config::read, start)
}
