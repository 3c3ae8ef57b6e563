//! Command line shared by all roles: `--config FILE`, `--check`, `--help`, `--version`.

use std::path::PathBuf;

use derives::value;
use pico_args::Arguments;

use crate::{exit::ExitCode, output::print_line};

/// Parsed command line of a role.
#[value]
pub struct RoleArgs {
    /// Path of the settings file.
    pub config: PathBuf,
    /// Only validate the settings, then exit.
    pub check: bool,
}

/// Parses the command line of role `program`. Prints the help text, the version or the usage error.
///
/// # Errors
/// Returns the code with which the process should exit: `Success` after help or version, `Usage`
/// for invalid arguments.
pub fn parse(program: &str, about: &str, version: &str) -> Result<RoleArgs, ExitCode> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print_line(help_text(program, about));
        return Err(ExitCode::Success);
    }
    if args.contains(["-V", "--version"]) {
        print_line(format!("{program} {version}"));
        return Err(ExitCode::Success);
    }
    let check = args.contains("--check");
    let config = args.value_from_str("--config");
    let unparsed = args.finish();
    match config {
        Ok(config) if unparsed.is_empty() => Ok(RoleArgs { config, check }),
        Ok(_) => Err(usage_error(
            program,
            &format!("unknown argument {unparsed:?}"),
        )),
        Err(e) => Err(usage_error(program, &e.to_string())),
    }
}

fn usage_error(program: &str, message: &str) -> ExitCode {
    eprintln!("{program}: {message}; see `{program} --help`");
    ExitCode::Usage
}

fn help_text(program: &str, about: &str) -> String {
    format!(
        "{about}\n\n\
         Usage: {program} --config FILE [--check]\n\n\
         Options:\n\
         \x20 --config FILE  settings file (INI)\n\
         \x20 --check        validate the settings and exit\n\
         \x20 -h, --help     print this text\n\
         \x20 -V, --version  print the version"
    )
}
