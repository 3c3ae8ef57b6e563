//! The thin `main` that all roles share: parse, build one config, run until stopped.

use std::{net::SocketAddr, path::Path};

use inifile::Faults;
use spdlog::{Level, error, info};
use tokio::{
    runtime::Runtime,
    sync::watch,
    task::JoinHandle,
    time::{Duration, sleep},
};

use crate::{
    args,
    exit::ExitCode,
    output::print_line,
    reload,
    settings::Reader,
    shutdown::{self, StopSignal},
};

/// A role that serves; it ends after the order to stop, once what was in flight is done.
#[derive(Debug)]
pub struct Running {
    /// Where it takes HTTP.
    pub http: SocketAddr,
    /// Where it takes links, if it does.
    pub link: Option<SocketAddr>,
    /// Ends when the role has ended.
    pub task: JoinHandle<eyre::Result<()>>,
}

impl Running {
    /// Waits until the role has ended.
    pub async fn finished(self) -> eyre::Result<()> {
        self.task.await?
    }
}

/// What a program is.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Its name on the command line.
    pub name: &'static str,
    /// One line for `--help`.
    pub about: &'static str,
    /// Its version.
    pub version: &'static str,
}

/// Time between lines that tell how many were left out.
const LEFT_OUT_EVERY: Duration = Duration::from_secs(1);

/// What the log needs of the settings.
#[derive(Debug)]
struct Logging {
    vm: Option<String>,
    level: Level,
}

/// Runs a role: `read` takes what it needs from the settings, `start` brings it up.
pub fn main<C>(
    program: Program,
    read: impl FnOnce(&mut Reader) -> C,
    start: impl AsyncFnOnce(C, StopSignal) -> eyre::Result<Running>,
) -> std::process::ExitCode {
    main_code(program, read, start).into()
}

/// Runs a role whose settings file is named by other means than the command line, on one thread;
/// the settings are read again at SIGHUP and when their file changes.
pub fn main_with_reload<C: Clone + Send + Sync + 'static>(
    program: Program,
    path: &Path,
    read: impl Fn(&mut Reader) -> C + Send + Sync + 'static,
    start: impl AsyncFnOnce(watch::Receiver<C>, StopSignal) -> eyre::Result<Running>,
) -> std::process::ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let code = match (read_settings(path, &read), runtime) {
        (Err(faults), _) => {
            eprintln!("{faults}");
            ExitCode::Usage
        }
        (_, Err(e)) => {
            eprintln!("{}: {e}", program.name);
            ExitCode::Failure
        }
        (Ok((cfg, logging)), Ok(runtime)) => {
            let path = path.to_owned();
            let start = async |cfg: C, stopped: StopSignal| {
                let (tx, rx) = watch::channel(cfg);
                let again = move |path: &Path| {
                    let (cfg, logging) = read_settings(path, &read)?;
                    logs::set_level(logging.level);
                    Ok(cfg)
                };
                let reading = reload::watch_settings(path, reload::hangup_signals()?, again, tx);
                let reading = tokio::spawn(reading);
                let Running { http, link, task } = start(rx, stopped).await?;
                let task = tokio::spawn(async move {
                    let ended = task.await?;
                    reading.abort();
                    ended
                });
                Ok(Running { http, link, task })
            };
            run_on(&runtime, program, cfg, &logging, start)
        }
    };
    code.into()
}

fn main_code<C>(
    program: Program,
    read: impl FnOnce(&mut Reader) -> C,
    start: impl AsyncFnOnce(C, StopSignal) -> eyre::Result<Running>,
) -> ExitCode {
    let args = match args::parse(program.name, program.about, program.version) {
        Ok(args) => args,
        Err(code) => return code,
    };
    let (cfg, logging) = match read_settings(&args.config, read) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::Usage;
        }
    };
    if args.check {
        print_line(format!("{}: settings are valid", args.config.display()));
        return ExitCode::Success;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => run_on(&runtime, program, cfg, &logging, start),
        Err(e) => {
            eprintln!("{}: {e}", program.name);
            ExitCode::Failure
        }
    }
}

fn run_on<C>(
    runtime: &Runtime,
    program: Program,
    cfg: C,
    logging: &Logging,
    start: impl AsyncFnOnce(C, StopSignal) -> eyre::Result<Running>,
) -> ExitCode {
    let log = logs::start(logging.vm.as_deref(), logging.level, logs::Stream::Stdout);
    let ran = match &log {
        Ok(_) => block_on(runtime, program, cfg, start),
        Err(e) => Err(eyre::eyre!("start the log: {e}")),
    };
    match ran {
        Ok(()) => ExitCode::Success,
        Err(e) => {
            error!("{e:#}", kv: { program = program.name });
            eprintln!("{}: {e:#}", program.name);
            ExitCode::Failure
        }
    }
}

fn read_settings<C>(
    path: &Path,
    read: impl FnOnce(&mut Reader) -> C,
) -> Result<(C, Logging), Faults> {
    let mut reader = Reader::from_file(path)?;
    let logging = Logging {
        vm: reader.text("vm", "name"),
        level: reader.log_level(),
    };
    let cfg = read(&mut reader);
    reader.finish()?;
    Ok((cfg, logging))
}

fn block_on<C>(
    runtime: &Runtime,
    program: Program,
    cfg: C,
    start: impl AsyncFnOnce(C, StopSignal) -> eyre::Result<Running>,
) -> eyre::Result<()> {
    runtime.block_on(async {
        let (stop, stopped) = shutdown::channel();
        shutdown::stop_on_signals(stop)?;
        let reporting = tokio::spawn(async {
            loop {
                sleep(LEFT_OUT_EVERY).await;
                logs::report_left_out();
            }
        });
        let running = start(cfg, stopped).await?;
        let link = running
            .link
            .map_or_else(String::new, |link| link.to_string());
        info!("listening", kv: { program = program.name, http = running.http.to_string(), link });
        running.finished().await?;
        reporting.abort();
        info!("stopped", kv: { program = program.name });
        Ok(())
    })
}
