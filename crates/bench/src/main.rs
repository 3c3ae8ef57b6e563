//! Development tool: stand-ins, fault-injecting proxy, load and experiments.

mod args;

use std::process::ExitCode;

#[global_allocator]
static GLOBAL: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    args::run().into()
}
