//! Measures commit and recovery performance of three voters over loopback links and real files.
//!
//! `log_cost commit --proposers N [--no-group-commit] [--seconds N] [--bytes N] [--folder DIR]`
//! `log_cost recovery --entries N [--bytes N] [--folder DIR]`

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use link::{Identity, LinkConfig, Peer, Role};
use pico_args::Arguments;
use replica::{Replica, ReplicaConfig, StateMachine};
use tokio::{
    net::TcpListener,
    task::{JoinHandle, JoinSet},
    time::sleep,
};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const NAMES: [&str; 3] = ["a", "b", "c"];
/// Concurrent proposers that fill the log before recovery is measured.
const FILL_PROPOSERS: u64 = 256;
const PAGE_BYTES: u64 = 4_096;

type BoxError = Box<dyn std::error::Error>;

/// Command line options.
struct Options {
    proposers: u64,
    seconds: u64,
    entries: u64,
    bytes: usize,
    group_commit: bool,
    /// Disables snapshots, so that recovery replays the whole log.
    disable_snapshots: bool,
    folder: PathBuf,
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    match runtime.block_on(run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("log_cost: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), BoxError> {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let mut args = Arguments::from_env();
    let command = args.subcommand()?;
    let options = Options {
        proposers: args.opt_value_from_str("--proposers")?.unwrap_or(1),
        seconds: args.opt_value_from_str("--seconds")?.unwrap_or(5),
        entries: args.opt_value_from_str("--entries")?.unwrap_or(10_000),
        bytes: args.opt_value_from_str("--bytes")?.unwrap_or(300),
        disable_snapshots: command.as_deref() == Some("recovery"),
        group_commit: !args.contains("--no-group-commit"),
        folder: args
            .opt_value_from_str("--folder")?
            .unwrap_or_else(std::env::temp_dir),
    };
    match command.as_deref() {
        Some("commit") => measure_commits(&options).await,
        Some("recovery") => measure_recovery(&options).await,
        _ => Err("expected a command: commit or recovery".into()),
    }
}

/// Creates a state machine whose state is a single number.
fn machine() -> StateMachine {
    let state = Arc::new(Mutex::new(0u64));
    let (apply, snapshot, restore, digest) = (
        Arc::clone(&state),
        Arc::clone(&state),
        Arc::clone(&state),
        state,
    );
    let lock = |state: &Mutex<u64>| *state.lock().expect("no holder panics");
    StateMachine {
        apply: Box::new(move |_, entry| {
            let mut sum = apply.lock().expect("no holder panics");
            *sum = sum.wrapping_add(entry.len() as u64);
            sum.to_le_bytes().to_vec()
        }),
        snapshot: Box::new(move || {
            let count = lock(&snapshot).to_le_bytes().to_vec();
            Box::new(move || count)
        }),
        restore: Box::new(move |_, bytes| {
            let bytes = bytes.try_into().map_err(|_| "not eight bytes")?;
            *restore.lock().expect("no holder panics") = u64::from_le_bytes(bytes);
            Ok(())
        }),
        digest: Box::new(move || lock(&digest)),
    }
}

fn identity(name: &str) -> Identity {
    Identity {
        vm: name.to_owned(),
        az: "az".to_owned(),
        role: Role::Keeper,
        incarnation: uuid::Uuid::new_v4(),
    }
}

async fn start(
    name: &str,
    folder: &Path,
    listener: TcpListener,
    addresses: &[SocketAddr],
    options: &Options,
) -> Result<Node, BoxError> {
    let voters = NAMES.map(str::to_owned).to_vec();
    let mut cfg = ReplicaConfig::new(name, folder.join(name), voters);
    cfg.group_commit = options.group_commit;
    if options.disable_snapshots {
        (cfg.snapshot_after, cfg.snapshot_bytes) = (u64::MAX, u64::MAX);
    }
    let link = LinkConfig::new(identity(name));
    let others = NAMES
        .iter()
        .zip(addresses)
        .filter(|(other, _)| **other != name);
    let peers = others
        .map(|(other, address)| Peer::start(other, *address, &link))
        .collect();
    let replica = Replica::start(cfg, peers, machine()).await?;
    let handler = replica.clone();
    let server = tokio::spawn(link::serve(listener, link, move |incoming| {
        let replica = handler.clone();
        async move { replica.handle_request(&incoming.from, incoming.body).await }
    }));
    Ok(Node { replica, server })
}

/// A replica and the task that serves its peers.
struct Node {
    replica: Replica,
    server: JoinHandle<()>,
}

async fn start_all(folder: &Path, options: &Options) -> Result<Vec<Node>, BoxError> {
    let mut listeners = Vec::new();
    for _ in NAMES {
        listeners.push(TcpListener::bind(("127.0.0.1", 0)).await?);
    }
    let addresses: Result<Vec<_>, _> = listeners.iter().map(TcpListener::local_addr).collect();
    let addresses = addresses?;
    let mut replicas = Vec::new();
    for (name, listener) in NAMES.iter().zip(listeners) {
        replicas.push(start(name, folder, listener, &addresses, options).await?);
    }
    Ok(replicas)
}

async fn leader(replicas: &[Node]) -> Replica {
    loop {
        for Node { replica, .. } in replicas {
            if replica.status().role == replica::Role::Leader
                && replica.read_barrier().await.is_ok()
            {
                return replica.clone();
            }
        }
        sleep(Duration::from_millis(5)).await;
    }
}

async fn measure_commits(options: &Options) -> Result<(), BoxError> {
    let folder = tempfile::tempdir_in(&options.folder)?;
    let replicas = start_all(folder.path(), options).await?;
    let leader = leader(&replicas).await;
    let end = Instant::now() + Duration::from_secs(options.seconds);
    let mut proposers = JoinSet::new();
    for _ in 0..options.proposers {
        let (leader, bytes) = (leader.clone(), options.bytes);
        proposers.spawn(async move {
            let mut micros = Vec::new();
            while Instant::now() < end {
                let start = Instant::now();
                if leader.propose(vec![7; bytes]).await.is_ok() {
                    micros.push(start.elapsed().as_micros() as u64);
                }
            }
            micros
        });
    }
    let mut histogram = Histogram::<u64>::new(3)?;
    for micros in proposers.join_all().await.into_iter().flatten() {
        histogram.record(micros)?;
    }
    println!(
        "proposers {:4}  group commit {:5}  {:8.0}/s  p50 {:7.2} ms  p99 {:7.2} ms  max {:7.2} ms  \
         resident {} MB",
        options.proposers,
        options.group_commit,
        histogram.len() as f64 / options.seconds as f64,
        histogram.value_at_quantile(0.5) as f64 / 1e3,
        histogram.value_at_quantile(0.99) as f64 / 1e3,
        histogram.max() as f64 / 1e3,
        resident_bytes()? >> 20,
    );
    stop(replicas).await;
    Ok(())
}

async fn measure_recovery(options: &Options) -> Result<(), BoxError> {
    let folder = tempfile::tempdir_in(&options.folder)?;
    let replicas = start_all(folder.path(), options).await?;
    let first_leader = leader(&replicas).await;
    let mut proposers = JoinSet::new();
    for proposer in 0..FILL_PROPOSERS {
        let (leader, bytes) = (first_leader.clone(), options.bytes);
        let share = options.entries / FILL_PROPOSERS
            + u64::from(proposer < options.entries % FILL_PROPOSERS);
        proposers.spawn(async move {
            let mut remaining = share;
            while remaining > 0 {
                remaining -= u64::from(leader.propose(vec![7; bytes]).await.is_ok());
            }
        });
    }
    proposers.join_all().await;
    let last = first_leader.status().last;
    let resident_before = resident_bytes()?;
    drop(first_leader);
    stop(replicas).await;
    // The folder locks are released with the last requests in progress.
    sleep(Duration::from_millis(500)).await;
    let files = folder_bytes(folder.path())?;
    let start = Instant::now();
    let replicas = start_all(folder.path(), options).await?;
    let load_time = start.elapsed();
    let new_leader = leader(&replicas).await;
    let applied = new_leader.status().applied;
    println!(
        "entries {:8}  files {:5} MB  read by all three {:7.1} ms  leader with all applied {:7.1} ms  \
         ({applied} of {last})  resident before {} MB",
        options.entries,
        files >> 20,
        load_time.as_secs_f64() * 1e3,
        start.elapsed().as_secs_f64() * 1e3,
        resident_before >> 20,
    );
    stop(replicas).await;
    Ok(())
}

async fn stop(replicas: Vec<Node>) {
    for Node { replica, server } in replicas {
        server.abort();
        replica.abort().await;
    }
}

fn folder_bytes(folder: &Path) -> Result<u64, BoxError> {
    let mut bytes = 0;
    for name in NAMES {
        for entry in fs::read_dir(folder.join(name))? {
            bytes += entry?.metadata()?.len();
        }
    }
    Ok(bytes)
}

fn resident_bytes() -> Result<u64, BoxError> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = statm.split(' ').nth(1).unwrap_or("0").parse()?;
    Ok(pages * PAGE_BYTES)
}
