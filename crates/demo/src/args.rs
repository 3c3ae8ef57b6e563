//! The command line.

use std::time::Duration;

use derives::value;
use pico_args::Arguments;

const HELP: &str = "\
Runs both sample deployments in miniature, sends requests and prints what came back

Usage: jujube-demo [--for SECONDS] [--keep] [--json]

Options:
  --for SECONDS  go on sending requests for this long (default: one round)
  --keep         stay up until interrupted and print the consoles' addresses
  --json         print one JSON object with an outcome for each request
  -h, --help     print this text
  -V, --version  print the version";

const VERSION: &str = concat!("jujube-demo ", env!("CARGO_PKG_VERSION"));

/// What to do.
#[value]
pub enum Invocation {
    /// Print a text and end.
    Print(&'static str),
    /// Run the demo.
    Run(Config),
}

/// One run's config.
#[value]
pub struct Config {
    /// How long to go on sending.
    pub duration: Duration,
    /// Stay up.
    pub keep: bool,
    /// Print JSON.
    pub json: bool,
}

/// Parses the command line.
pub fn parse(mut args: Arguments) -> Result<Invocation, String> {
    if args.contains(["-h", "--help"]) {
        return Ok(Invocation::Print(HELP));
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Invocation::Print(VERSION));
    }
    let seconds: Option<u64> = args
        .opt_value_from_str("--for")
        .map_err(|e| e.to_string())?;
    let cfg = Config {
        duration: Duration::from_secs(seconds.unwrap_or(0)),
        keep: args.contains("--keep"),
        json: args.contains("--json"),
    };
    match args.finish().first() {
        None => Ok(Invocation::Run(cfg)),
        Some(unknown) => Err(format!("unknown argument {}", unknown.to_string_lossy())),
    }
}
