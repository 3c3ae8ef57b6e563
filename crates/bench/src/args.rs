//! Command line of `jujube-bench`.

use std::{
    ffi::OsString,
    path::{Path, PathBuf},
};

use bench::{experiment, proxy, stand_in};
use eyre::{WrapErr, bail, eyre};
use host::exit::ExitCode;
use pico_args::Arguments;

/// Maximum number of runs of each scenario.
const MAX_REPEAT: u64 = 100;

const HELP: &str = "\
Stand-ins, fault-injecting proxy, load and experiments for development

Usage:
  jujube-bench stand-in --config FILE      run one endpoint stand-in until SIGTERM
  jujube-bench proxy --config FILE         run fault-injecting proxies until SIGTERM
  jujube-bench load --config FILE [...]    offer load without faults to the project alone
  jujube-bench experiment FILE [...]       run scenarios on the project and on baselines

Options of load and experiment:
  --programs FOLDER  the project's binaries [default: the folder of this program]
  --earlier FOLDER   binaries of an earlier build to compare with in the same run
  --out FOLDER       results, logs and evidence [default: bench-results]
  --only NAME,...    only these scenarios
  --repeat N         run each scenario with N seeds; mean and range of all [default: 1]

Actions of a scenario, `at_MILLISECONDS = ACTION`; a service is engine, pool or booking:
  slow SERVICE FACTOR, fail SERVICE N, stall SERVICE, close-early SERVICE, mend,
  restart SERVICE, leave SERVICE, silence, burst FACTOR MILLISECONDS, rollout,
  cut-az, isolate-leader, isolate-controller, heal, kill-leader, kill-keepers,
  term-gate, kill-gate, kill-cut-gate

  -h, --help         print this text
  -V, --version      print the version";

/// Runs the command given on the command line.
pub fn run() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return ExitCode::Success;
    }
    if args.contains(["-V", "--version"]) {
        println!("jujube-bench {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::Success;
    }
    match command(args) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("jujube-bench: {e:#}");
            ExitCode::Failure
        }
    }
}

fn usage_error(what: &str) -> ExitCode {
    eprintln!("jujube-bench: {what}; see `jujube-bench --help`");
    ExitCode::Usage
}

fn command(mut args: Arguments) -> eyre::Result<ExitCode> {
    let name = args.subcommand()?.unwrap_or_default();
    match name.as_str() {
        "stand-in" | "proxy" => {
            let Ok(config) = args.value_from_str::<_, PathBuf>("--config") else {
                return Ok(usage_error("--config FILE is missing"));
            };
            if !args.finish().is_empty() {
                return Ok(usage_error("unknown argument"));
            }
            block_on(run_server(&name, &config))
        }
        "load" | "experiment" => {
            let cfg = match run_config(&mut args, name == "load") {
                Ok(cfg) => cfg,
                Err(e) => return Ok(usage_error(&format!("{e}"))),
            };
            let rest: Vec<OsString> = args.finish();
            if !rest.is_empty() {
                return Ok(usage_error(&format!("unknown argument {rest:?}")));
            }
            block_on(run_experiment(cfg))
        }
        _ => Ok(usage_error("name a command")),
    }
}

fn block_on(work: impl Future<Output = eyre::Result<ExitCode>>) -> eyre::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .wrap_err("start the runtime")?;
    runtime.block_on(work)
}

async fn run_server(name: &str, config: &Path) -> eyre::Result<ExitCode> {
    match name {
        "stand-in" => stand_in::run_file(config).await?,
        _ => proxy::run_file(config).await?,
    }
    Ok(ExitCode::Success)
}

fn run_config(args: &mut Arguments, is_load: bool) -> eyre::Result<experiment::RunConfig> {
    let or_program_folder = |f: Option<PathBuf>| f.map_or_else(program_folder, Ok);
    let only: Option<String> = args.opt_value_from_str("--only")?;
    let programs = or_program_folder(args.opt_value_from_str("--programs")?)?;
    let earlier = args.opt_value_from_str("--earlier")?;
    let out: Option<PathBuf> = args.opt_value_from_str("--out")?;
    let repeat: Option<u64> = args.opt_value_from_str("--repeat")?;
    let repeat = repeat.unwrap_or(1);
    if !(1..=MAX_REPEAT).contains(&repeat) {
        bail!("--repeat must be 1 to {MAX_REPEAT}");
    }
    let file = match is_load {
        true => args.value_from_str("--config"),
        false => args.free_from_str(),
    };
    let file = file.wrap_err("the experiment file is missing")?;
    let split_names = |text: String| text.split(',').map(str::to_owned).collect();
    Ok(experiment::RunConfig {
        file,
        programs,
        earlier,
        out: out.unwrap_or_else(|| PathBuf::from("bench-results")),
        only: only.map(split_names).unwrap_or_default(),
        repeat,
        without_faults: is_load,
    })
}

fn program_folder() -> eyre::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folder = program.parent().map(Path::to_owned);
    folder.ok_or_else(|| eyre!("cannot determine the folder of this program; give --programs"))
}

/// Runs the experiment and prints its results; returns `Failure` if a run of the project failed or
/// broke an invariant.
async fn run_experiment(cfg: experiment::RunConfig) -> eyre::Result<ExitCode> {
    let rows = experiment::run_file(&cfg).await?;
    println!("{}", experiment::results_table(&rows));
    if cfg.repeat > 1 {
        let summaries = experiment::summarize(&rows);
        println!("{}", experiment::summary_table(&summaries));
    }
    let is_project = |row: &&experiment::RunResult| row.system == "project";
    let mut code = ExitCode::Success;
    for row in rows.iter().filter(is_project) {
        if row.failure.is_some() || row.broken_count() > 0 {
            code = ExitCode::Failure;
            let names = (&row.deployment, &row.scenario, row.seed, &row.broken);
            println!("{} {} seed {}: {:?}", names.0, names.1, names.2, names.3);
        }
        for example in row.examples.iter().chain(&row.notes) {
            let names = (&row.deployment, &row.scenario, row.seed);
            println!("  {}/{} seed {}: {example}", names.0, names.1, names.2);
        }
    }
    Ok(code)
}
