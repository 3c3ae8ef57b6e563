//! The command line that all roles share: `--config FILE`, `--check`, `--help`, `--version`.

use std::path::PathBuf;

use derives::value;
use pico_args::Arguments;

use crate::{exit::ExitCode, output::print_line};

/// What a role was asked to do.
#[value]
pub struct RoleArgs {
    /// The settings file.
    pub config: PathBuf,
    /// Validate the settings and end.
    pub check: bool,
}

/// Parses the command line of role `program`; prints help, version or the usage fault itself.
///
/// # Errors
/// The code with which the process ends at once.
pub fn parse(program: &str, about: &str, version: &str) -> Result<RoleArgs, ExitCode> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print_line(help(program, about));
        return Err(ExitCode::Success);
    }
    if args.contains(["-V", "--version"]) {
        print_line(format!("{program} {version}"));
        return Err(ExitCode::Success);
    }
    let check = args.contains("--check");
    let config = args.value_from_str("--config");
    let rest = args.finish();
    match config {
        Ok(config) if rest.is_empty() => Ok(RoleArgs { config, check }),
        Ok(_) => Err(usage(program, &format!("unknown argument {rest:?}"))),
        Err(e) => Err(usage(program, &e.to_string())),
    }
}

fn usage(program: &str, what: &str) -> ExitCode {
    eprintln!("{program}: {what}; see `{program} --help`");
    ExitCode::Usage
}

fn help(program: &str, about: &str) -> String {
    format!(
        "{about}\n\n\
         Usage: {program} --config FILE [--check]\n\n\
         Options:\n\
         \x20 --config FILE  settings, INI\n\
         \x20 --check        validate the settings and end\n\
         \x20 -h, --help     print this text\n\
         \x20 -V, --version  print the version"
    )
}
