//! Starts both deployments, sends requests, prints the responses and stops.

use std::time::Duration;

use host::{exit::ExitCode, output::print_line};
use tokio::time::{Instant, sleep};

use crate::{
    args::Config,
    calls::{CallerResponse, send_all},
    deployment::DEPLOYMENTS,
    fleet::{self, Fleet},
    report,
};

const ROUND_DELAY: Duration = Duration::from_millis(200);

/// Runs the demo; succeeds if every request completed and each booking ran exactly once.
pub fn run(cfg: &Config) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = runtime.map_err(eyre::Report::from).and_then(|runtime| {
        // Standard output is reserved for the responses.
        let _log = logs::start(None, spdlog::Level::Warn, logs::Stream::Stderr)?;
        runtime.block_on(run_demo(cfg))
    });
    match result {
        Ok(responses) if responses.iter().all(is_expected) => ExitCode::Success,
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

fn is_expected(response: &CallerResponse) -> bool {
    response.outcome == "completed" && response.executions.is_none_or(|n| n == 1)
}

async fn run_demo(cfg: &Config) -> eyre::Result<Vec<CallerResponse>> {
    let [escort_desk, watch_trading] = &DEPLOYMENTS;
    let (escort_desk, watch_trading) =
        tokio::try_join!(fleet::start(escort_desk), fleet::start(watch_trading))?;
    let fleets = vec![escort_desk, watch_trading];
    let responses = send_rounds(cfg, &fleets).await?;
    if cfg.json {
        print_line(report::to_json(&responses));
    }
    if cfg.keep {
        wait_for_interrupt(&fleets).await?;
    }
    for fleet in fleets {
        fleet.stop().await?;
    }
    Ok(responses)
}

async fn send_rounds(cfg: &Config, fleets: &[Fleet]) -> eyre::Result<Vec<CallerResponse>> {
    let start = Instant::now();
    let mut all = Vec::new();
    loop {
        for (deployment, fleet) in DEPLOYMENTS.iter().zip(fleets) {
            let responses = send_all(deployment, fleet).await?;
            if !cfg.json {
                for response in &responses {
                    print_line(report::to_line(response));
                }
            }
            all.extend(responses);
        }
        if start.elapsed() >= cfg.duration {
            return Ok(all);
        }
        sleep(ROUND_DELAY).await;
    }
}

async fn wait_for_interrupt(fleets: &[Fleet]) -> eyre::Result<()> {
    for (deployment, fleet) in DEPLOYMENTS.iter().zip(fleets) {
        eprintln!(
            "{}: console http://{}  gate http://{}  routes http://{}  revision {}",
            deployment.name, fleet.console, fleet.gate, fleet.forwarder, fleet.revision
        );
    }
    eprintln!("press Ctrl-C to end");
    tokio::signal::ctrl_c().await?;
    Ok(())
}
