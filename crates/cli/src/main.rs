//! `jujubeferry`: command line for operators and for the CI of a declaration.

mod args;
mod audit;
mod blocked;
mod check;
mod error;
mod explain;
mod help;
mod output;
mod run;
mod status;
mod verbs;
mod zone;

use std::process::ExitCode;

use args::Invocation;
use host::output::print_line;

fn main() -> ExitCode {
    let code = match args::parse(pico_args::Arguments::from_env()) {
        Ok(Invocation::Print(text)) => {
            print_line(text);
            host::exit::ExitCode::Success
        }
        Ok(Invocation::Run(cfg)) => run::run(&cfg),
        Err(e) => {
            eprintln!("jujubeferry: {e}; see `jujubeferry --help`");
            host::exit::ExitCode::Usage
        }
    };
    code.into()
}
