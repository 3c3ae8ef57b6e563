//! Starts the project's role binaries for experiments and tests, and signals them by process id.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
    time::Duration,
};

use eyre::{WrapErr, eyre};
pub use rustix::process::Signal;
use rustix::process::{Pid, kill_process};
use serde_json::Value;
use tokio::{
    fs::File,
    io::{AsyncBufReadExt, AsyncRead, AsyncWriteExt, BufReader},
    process::{Child, Command},
    sync::watch,
    time::timeout,
};

/// Time limit for a role to log its listen addresses.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Folders of the binaries and of settings, data and logs.
#[derive(Clone, Debug)]
pub struct Folders {
    /// Folder with the role binaries.
    pub programs: PathBuf,
    /// Folder for settings, data and logs of a run.
    pub work: PathBuf,
}

/// A role of the project in its own process; dropping it kills the process.
#[derive(Debug)]
pub struct RoleProcess {
    /// Name used in file names and messages.
    pub name: String,
    /// Address of its HTTP listener.
    pub http: SocketAddr,
    /// Address of its link listener, if it has one.
    pub link: Option<SocketAddr>,
    child: Child,
    pid: Pid,
}

#[derive(Clone, Copy, Debug)]
struct ListenAddresses {
    http: SocketAddr,
    link: Option<SocketAddr>,
}

impl Folders {
    /// Starts `program` as `name` with `settings` and waits until it logs its listen addresses. Fails
    /// with the last line of its log if it does not.
    pub async fn start(
        &self,
        program: &str,
        name: &str,
        settings: &str,
    ) -> eyre::Result<RoleProcess> {
        let config = self.work.join(format!("{name}.ini"));
        fs::write(&config, settings).wrap_err_with(|| format!("write settings of {name}"))?;
        let path = self.programs.join(program);
        let mut child = Command::new(&path)
            .arg("--config")
            .arg(&config)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("start {} for {name}", path.display()))?;
        let id = child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = id.ok_or_else(|| eyre!("{name} ended before it could be named"))?;
        let (tx, mut rx) = watch::channel(None);
        let path = self.work.join(format!("{name}.log"));
        let lines = child.stdout.take();
        let lines = lines.ok_or_else(|| eyre!("{name} has no log"))?;
        tokio::spawn(copy_log(lines, path.clone(), tx.clone()));
        // Start-up errors are printed to stderr.
        if let Some(errors) = child.stderr.take() {
            tokio::spawn(copy_log(errors, path, tx));
        }
        let listening = timeout(START_TIMEOUT, rx.wait_for(Option::is_some)).await;
        let listening = match listening {
            Ok(Ok(listening)) => *listening,
            _ => None,
        };
        let listening = listening.ok_or_else(|| eyre!("{name}: {}", self.start_error(name)))?;
        Ok(RoleProcess {
            name: name.to_owned(),
            http: listening.http,
            link: listening.link,
            child,
            pid,
        })
    }

    fn start_error(&self, name: &str) -> String {
        let last = self.last_log_line(name);
        format!("did not come to listen; its log ends with: {last}")
    }

    /// Returns the last line that the process `name` has written to its log.
    pub fn last_log_line(&self, name: &str) -> String {
        let log = fs::read(self.work.join(format!("{name}.log"))).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        log.lines().last().unwrap_or("no word").to_owned()
    }
}

async fn copy_log(
    lines: impl AsyncRead + Unpin,
    path: PathBuf,
    tx: watch::Sender<Option<ListenAddresses>>,
) {
    let mut lines = BufReader::new(lines).lines();
    let mut file = open_log(&path).await;
    while let Ok(Some(line)) = lines.next_line().await {
        if let Some(f) = &mut file {
            // Keeps reading even if the copy cannot be written.
            let _ = f.write_all(format!("{line}\n").as_bytes()).await;
            let _ = f.flush().await;
        }
        if let Some(listening) = parse_listening(&line) {
            tx.send_replace(Some(listening));
        }
    }
}

async fn open_log(path: &Path) -> Option<File> {
    let opened = File::options().create(true).append(true).open(path).await;
    opened.ok()
}

fn parse_listening(line: &str) -> Option<ListenAddresses> {
    let record: Value = serde_json::from_str(line).ok()?;
    let is_listening = |member: &Value| member.as_str() == Some("listening");
    record
        .as_object()?
        .values()
        .any(is_listening)
        .then_some(())?;
    let kv = &record["kv"];
    let address = |key: &str| kv[key].as_str()?.parse().ok();
    Some(ListenAddresses {
        http: address("http")?,
        link: address("link"),
    })
}

impl RoleProcess {
    /// Returns the base URL of its HTTP listener.
    pub fn url(&self) -> String {
        format!("http://{}", self.http)
    }

    /// Sends a signal to this process only. Fails once its end was waited for, since another process
    /// may have its id by then.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        if self.child.id().is_none() {
            eyre::bail!("signal {}: it has exited", self.name);
        }
        let sent = kill_process(self.pid, signal);
        sent.wrap_err_with(|| format!("signal {}", self.name))
    }

    /// Returns how the process ended, or `None` while it runs.
    pub fn exit_status(&mut self) -> eyre::Result<Option<ExitStatus>> {
        let status = self.child.try_wait();
        status.wrap_err_with(|| format!("read the exit status of {}", self.name))
    }

    /// Kills the process and waits until it has exited.
    pub async fn kill(&mut self) -> eyre::Result<()> {
        let killed = self.child.kill().await;
        killed.wrap_err_with(|| format!("kill {}", self.name))
    }

    /// Waits up to `limit` for the process to exit and returns its exit code, or `None` if it was
    /// killed by a signal.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> eyre::Result<Option<i32>> {
        let ended = timeout(limit, self.child.wait()).await;
        let ended = ended.wrap_err_with(|| format!("{} did not end", self.name))?;
        Ok(ended?.code())
    }

    /// Returns the process id.
    pub fn id(&self) -> i32 {
        self.pid.as_raw_nonzero().get()
    }
}
