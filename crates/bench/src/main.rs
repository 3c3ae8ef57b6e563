//! Development tools: endpoint stand-ins, a fault-injecting proxy, load generation and experiments.

mod args;

use std::process::ExitCode;

#[global_allocator]
static GLOBAL: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    args::run().into()
}
