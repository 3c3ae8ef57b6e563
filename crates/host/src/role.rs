//! The `main` of all roles: parses the command line, reads the settings, runs until stopped.

use std::{net::SocketAddr, num::NonZero, path::Path, thread::available_parallelism};

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
    resources::Resources,
    settings::Reader,
    shutdown::{self, StopSignal},
};

/// A started role. After the stop signal it ends once work in flight is done.
#[derive(Debug)]
pub struct Running {
    /// Address of the HTTP listener.
    pub http: SocketAddr,
    /// Address of the link listener, if the role has one.
    pub link: Option<SocketAddr>,
    /// Task that runs the role; its result is the role's result.
    pub task: JoinHandle<eyre::Result<()>>,
}

impl Running {
    /// Waits until the role has ended and returns its result.
    pub async fn finished(self) -> eyre::Result<()> {
        self.task.await?
    }
}

/// Name, description and version of a program.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name on the command line and in logs.
    pub name: &'static str,
    /// One-line description for `--help`.
    pub about: &'static str,
    /// Version for `--version`.
    pub version: &'static str,
}

/// Time between log lines that report how many lines the rate limit left out.
const LEFT_OUT_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of the log.
#[derive(Debug)]
struct LogSettings {
    vm: Option<String>,
    level: Level,
}

/// Runs a role on as many threads as the VM has cores and memory for. `read` builds its config from the settings file given
/// on the command line, `start` starts it.
pub fn main<C>(
    program: Program,
    read: impl FnOnce(&mut Reader) -> C,
    start: impl AsyncFnOnce(C, StopSignal) -> eyre::Result<Running>,
) -> std::process::ExitCode {
    main_code(program, read, start).into()
}

/// Runs a role on a single-threaded runtime with the settings file at `path`, which is read again
/// at SIGHUP and when it changes; `start` receives each new config.
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
        (Ok((cfg, log_settings)), Ok(runtime)) => {
            let path = path.to_owned();
            let start = async |cfg: C, stopped: StopSignal| {
                let (tx, rx) = watch::channel(cfg);
                let reread = move |path: &Path| {
                    let (cfg, log_settings) = read_settings(path, &read)?;
                    logs::set_level(log_settings.level);
                    Ok(cfg)
                };
                let reload = reload::watch_settings(path, reload::hangup_signals()?, reread, tx);
                let reload = tokio::spawn(reload);
                let Running { http, link, task } = start(rx, stopped).await?;
                let task = tokio::spawn(async move {
                    let result = task.await?;
                    reload.abort();
                    result
                });
                Ok(Running { http, link, task })
            };
            run_on(&runtime, program, cfg, &log_settings, start)
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
    let read = |reader: &mut Reader| (read(reader), Resources::read(reader));
    let ((cfg, resources), log_settings) = match read_settings(&args.config, read) {
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
    let cores = available_parallelism().map_or(1, NonZero::get);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(resources.worker_threads(cores))
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => run_on(&runtime, program, cfg, &log_settings, start),
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
    log_settings: &LogSettings,
    start: impl AsyncFnOnce(C, StopSignal) -> eyre::Result<Running>,
) -> ExitCode {
    let log = logs::start(
        log_settings.vm.as_deref(),
        log_settings.level,
        logs::Stream::Stdout,
    );
    let result = match &log {
        Ok(_) => block_on(runtime, program, cfg, start),
        Err(e) => Err(eyre::eyre!("start the log: {e}")),
    };
    match result {
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
) -> Result<(C, LogSettings), Faults> {
    let mut reader = Reader::from_file(path)?;
    let log_settings = LogSettings {
        vm: reader.text("vm", "name"),
        level: reader.log_level(),
    };
    let cfg = read(&mut reader);
    reader.finish()?;
    Ok((cfg, log_settings))
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
        let left_out_reports = tokio::spawn(async {
            loop {
                sleep(LEFT_OUT_REPORT_INTERVAL).await;
                logs::report_left_out();
            }
        });
        let running = start(cfg, stopped).await?;
        let link = running
            .link
            .map_or_else(String::new, |link| link.to_string());
        info!("listening", kv: { program = program.name, http = running.http.to_string(), link });
        running.finished().await?;
        left_out_reports.abort();
        info!("stopped", kv: { program = program.name });
        Ok(())
    })
}
