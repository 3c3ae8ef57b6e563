//! Starts both deployments, asks, prints, stops.

use std::time::Duration;

use host::{exit::ExitCode, output::print_line};
use tokio::time::{Instant, sleep};

use crate::{
    args::Config,
    calls::{Got, ask_all},
    deployment::DEPLOYMENTS,
    fleet::{self, Fleet},
    report,
};

const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Runs the demo; succeeds where every request completed and no booking ran twice.
pub fn run(cfg: &Config) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = runtime.map_err(eyre::Report::from).and_then(|runtime| {
        // Standard output is the demo's own.
        let _log = logs::start(None, spdlog::Level::Warn, logs::Stream::Stderr)?;
        runtime.block_on(demonstrate(cfg))
    });
    match result {
        Ok(got) if got.iter().all(is_right) => ExitCode::Success,
        Ok(_) => {
            eprintln!("jujube-demo: a request did not complete, or a booking ran more than once");
            ExitCode::Failure
        }
        Err(e) => {
            eprintln!("jujube-demo: {e:#}");
            ExitCode::Failure
        }
    }
}

fn is_right(got: &Got) -> bool {
    got.outcome == "completed" && got.executions.is_none_or(|n| n == 1)
}

async fn demonstrate(cfg: &Config) -> eyre::Result<Vec<Got>> {
    let [escort_desk, watch_trading] = &DEPLOYMENTS;
    let (escort_desk, watch_trading) =
        tokio::try_join!(fleet::start(escort_desk), fleet::start(watch_trading))?;
    let fleets = vec![escort_desk, watch_trading];
    let got = ask_rounds(cfg, &fleets).await?;
    if cfg.json {
        print_line(report::json(&got));
    }
    if cfg.keep {
        stay(&fleets).await?;
    }
    for fleet in fleets {
        fleet.stop().await?;
    }
    Ok(got)
}

async fn ask_rounds(cfg: &Config, fleets: &[Fleet]) -> eyre::Result<Vec<Got>> {
    let start = Instant::now();
    let mut all = Vec::new();
    loop {
        for (deployment, fleet) in DEPLOYMENTS.iter().zip(fleets) {
            let got = ask_all(deployment, fleet).await?;
            if !cfg.json {
                for got in &got {
                    print_line(report::line(got));
                }
            }
            all.extend(got);
        }
        if start.elapsed() >= cfg.duration {
            return Ok(all);
        }
        sleep(ROUND_PAUSE).await;
    }
}

async fn stay(fleets: &[Fleet]) -> eyre::Result<()> {
    for (deployment, fleet) in DEPLOYMENTS.iter().zip(fleets) {
        eprintln!(
            "{}: console http://{}  gate http://{}  routes http://{}  revision {}",
            deployment.name, fleet.console, fleet.gate, fleet.routes, fleet.revision
        );
    }
    eprintln!("press Ctrl-C to end");
    tokio::signal::ctrl_c().await?;
    Ok(())
}
