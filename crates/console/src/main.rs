//! `jujube-console`: the operators' web console.

use std::process::ExitCode;

use console::Config;
use host::role::{Program, main as role_main};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const PROGRAM: Program = Program {
    name: "jujube-console",
    about: "Serves the operators' forms",
    version: env!("CARGO_PKG_VERSION"),
};

fn main() -> ExitCode {
    role_main(PROGRAM, Config::read, console::start)
}
