//! The `jujube-keeper` binary.

use std::process::ExitCode;

use host::role::{Program, main as role_main};
use keeper::Config;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const PROGRAM: Program = Program {
    name: "jujube-keeper",
    about: "Keeps the declaration, the ledger and the leases",
    version: env!("CARGO_PKG_VERSION"),
};

fn main() -> ExitCode {
    role_main(PROGRAM, Config::read, keeper::start)
}
