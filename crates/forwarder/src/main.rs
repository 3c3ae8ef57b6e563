//! `jujube-forwarder`: forwards callers' requests whole, by the declared routes.

use std::process::ExitCode;

use forwarder::{Config, start};
use host::role::{self, Program};
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const PROGRAM: Program = Program {
    name: "jujube-forwarder",
    about: "Forwards callers' requests whole, by the declared routes.",
    version: env!("CARGO_PKG_VERSION"),
};

fn main() -> ExitCode {
    role::main(PROGRAM, Config::read, start)
}
