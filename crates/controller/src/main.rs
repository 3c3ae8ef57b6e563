//! `jujube-controller`: the controller binary.

use std::process::ExitCode;

use controller::Config;
use host::role::{Program, main as role_main};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const PROGRAM: Program = Program {
    name: "jujube-controller",
    about: "Makes the engines of its availability zone run what is declared",
    version: env!("CARGO_PKG_VERSION"),
};

fn main() -> ExitCode {
    role_main(PROGRAM, Config::read, controller::start)
}
