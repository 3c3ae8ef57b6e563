//! Parses the command line.

use std::time::Duration;

use derives::value;
use pico_args::Arguments;

const HELP: &str = "\
Runs both sample deployments in miniature, sends requests and prints the responses

Usage: jujube-demo [--for SECONDS] [--keep] [--json]

Options:
  --for SECONDS  keep sending requests for this long (default: one round)
  --keep         print the consoles' addresses and keep running until interrupted
  --json         print one JSON object with the outcome of each request
  -h, --help     print this text
  -V, --version  print the version";

const VERSION: &str = concat!("jujube-demo ", env!("CARGO_PKG_VERSION"));

/// A parsed command line.
#[value]
pub enum Invocation {
    /// Print a text (help or version) and exit.
    Print(&'static str),
    /// Run the demo.
    Run(Config),
}

/// Options of one run.
#[value]
pub struct Config {
    /// Time after which no new round of requests starts; zero for one round.
    pub duration: Duration,
    /// Keep running after the last round until interrupted.
    pub keep: bool,
    /// Print JSON instead of text.
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
