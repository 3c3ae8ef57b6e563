//! `jujube-demo`: every role as tasks of one process, with stand-ins on loopback.

mod args;
mod calls;
mod deployment;
mod fleet;
mod report;
mod run;

use std::process::ExitCode;

use host::output::print_line;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let code = match args::parse(pico_args::Arguments::from_env()) {
        Ok(args::Invocation::Print(text)) => {
            print_line(text);
            host::exit::ExitCode::Success
        }
        Ok(args::Invocation::Run(cfg)) => run::run(&cfg),
        Err(e) => {
            eprintln!("jujube-demo: {e}; see `jujube-demo --help`");
            host::exit::ExitCode::Usage
        }
    };
    code.into()
}
