//! Runs an experiment: each scenario on each system, one at a time.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use declaration::Declaration;
use eyre::{WrapErr, bail};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

use super::{
    action::Action,
    evidence,
    file::{Experiment, Scenario, System},
    fleet::Fleet,
    plot,
    report::{RunResult, results_table},
    resources::{self, ResourceEstimate},
    summary::summarize,
    watch::{self, Revisions},
};
use crate::{
    check::{Evidence, check},
    client::Client,
    deployment::Deployment,
    load::{
        Arrival, Balancer, CallerConfig, FinishedRequest, generate_arrivals, send_request, tally,
    },
};

/// Time between the fleet's readiness and the first arrival.
const START_DELAY: Duration = Duration::from_millis(200);

/// What to run and where to write results.
#[derive(Clone, Debug)]
pub struct RunConfig {
    /// The experiment file.
    pub file: PathBuf,
    /// Folder with the project's binaries.
    pub programs: PathBuf,
    /// Folder with the binaries of an earlier build to compare with.
    pub earlier: Option<PathBuf>,
    /// Folder for results, logs and evidence.
    pub out: PathBuf,
    /// Names of the scenarios to run; empty for all.
    pub only: Vec<String>,
    /// Number of runs of each scenario, with consecutive seeds.
    pub repeat: u64,
    /// Runs only the first scenario, without its faults, and only on the first system.
    pub without_faults: bool,
}

/// Runs the experiment of `cfg`, writes its results and returns them.
pub async fn run_file(cfg: &RunConfig) -> eyre::Result<Vec<RunResult>> {
    if let Some(earlier) = &cfg.earlier {
        check_earlier_build(earlier)?;
    }
    let mut experiment = Experiment::from_file(&cfg.file, &cfg.programs, cfg.earlier.as_deref())?;
    if cfg.without_faults {
        experiment.retain_load_only();
    }
    let is_wanted = |s: &&Scenario| cfg.only.is_empty() || cfg.only.contains(&s.name);
    let scenarios: Vec<&Scenario> = experiment.scenarios.iter().filter(is_wanted).collect();
    check_resources(&experiment, &scenarios)?;
    let mut rows = Vec::new();
    for name in &experiment.deployments {
        for scenario in &scenarios {
            for seed in (0..cfg.repeat).map(|n| experiment.seed.wrapping_add(n)) {
                for system in &experiment.systems {
                    let run = Run {
                        out: &cfg.out,
                        seed,
                        is_repeated: cfg.repeat > 1,
                        deployment: Deployment::named(*name),
                        scenario,
                        system,
                    };
                    rows.push(run.execute().await);
                    eprint!("{}", last_row_line(&rows));
                }
            }
        }
    }
    write_results(&cfg.out, &rows)?;
    Ok(rows)
}

fn check_earlier_build(earlier: &Path) -> eyre::Result<()> {
    let folder = earlier.display();
    match earlier.join("jujube-gate").is_file() {
        true => Ok(()),
        false => bail!(
            "--earlier {folder} holds no jujube-gate; build that commit and give its target/release"
        ),
    }
}

/// Fails if any scenario needs too much of the machine, before the first one runs.
fn check_resources(experiment: &Experiment, scenarios: &[&Scenario]) -> eyre::Result<()> {
    let memory = resources::total_memory()?;
    for name in &experiment.deployments {
        for scenario in scenarios {
            let estimate = ResourceEstimate::for_scenario(&Deployment::named(*name), scenario);
            let checked = estimate.check(memory);
            checked.wrap_err_with(|| format!("scenario {} of {}", scenario.name, name.as_str()))?;
        }
    }
    Ok(())
}

fn last_row_line(rows: &[RunResult]) -> String {
    let text = results_table(&rows[rows.len() - 1..]);
    let mut lines = text.lines();
    lines
        .next_back()
        .map_or_else(String::new, |line| format!("{line}\n"))
}

fn write_results(out: &Path, rows: &[RunResult]) -> eyre::Result<()> {
    std::fs::create_dir_all(out).wrap_err("create the folder for results")?;
    let json = serde_json::to_vec_pretty(rows)?;
    std::fs::write(out.join("results.json"), json).wrap_err("write results.json")?;
    let summaries = summarize(rows);
    let json = serde_json::to_vec_pretty(&summaries)?;
    std::fs::write(out.join("summary.json"), json).wrap_err("write summary.json")?;
    plot::draw(&summaries, &out.join("results.svg"))
}

struct Run<'a> {
    out: &'a Path,
    seed: u64,
    is_repeated: bool,
    deployment: Deployment,
    scenario: &'a Scenario,
    system: &'a System,
}

impl Run<'_> {
    async fn execute(&self) -> RunResult {
        let names = (
            self.deployment.name.as_str(),
            &self.scenario.name,
            self.system.name(),
        );
        let mut row = RunResult::new(names.0, names.1, names.2, self.seed);
        if let Err(e) = self.run_into(&mut row).await {
            row.failure = Some(format!("{e:#}"));
        }
        row
    }

    fn folder(&self) -> PathBuf {
        let names = (
            self.deployment.name.as_str(),
            &self.scenario.name,
            self.system.name(),
        );
        let seed = match self.is_repeated {
            true => format!(".{}", self.seed),
            false => String::new(),
        };
        let folder = format!("{}.{}.{}{seed}", names.0, names.1, names.2);
        self.out.join(folder)
    }

    async fn run_into(&self, row: &mut RunResult) -> eyre::Result<()> {
        let work = self.folder();
        if work.exists() {
            std::fs::remove_dir_all(&work).wrap_err("clear the run's folder")?;
        }
        std::fs::create_dir_all(&work).wrap_err("make the run's folder")?;
        let deployment = self.deployment.clone();
        let mut fleet = Fleet::start(deployment, self.system, &work, self.seed).await?;
        let (finished, evidence) = self.offer_load(&mut fleet).await;
        row.tally = tally(&evidence.declaration, &finished, &evidence.journals);
        let found = check(&evidence);
        row.set_violations(&found);
        row.notes = std::mem::take(&mut fleet.notes);
        row.notes
            .push(format!("{} processes", fleet.process_count()));
        fleet.shut_down().await;
        std::fs::write(work.join("evidence.json"), serde_json::to_vec(&evidence)?)?;
        Ok(())
    }

    async fn offer_load(&self, fleet: &mut Fleet) -> (Vec<FinishedRequest>, Evidence) {
        let plan = self.scenario.load_plan(self.seed);
        let allowed_azs = allowed_azs(&fleet.declaration);
        let arrivals = generate_arrivals(&self.deployment, &allowed_azs, &plan);
        let cfg = Arc::new(caller_config(&fleet.declaration, self.seed));
        let revisions = Revisions::default();
        let client = Client::default();
        watch::poll_gates(&client, &fleet.directory, &cfg, &revisions).await;
        let mut watcher = JoinSet::new();
        let directory = fleet.directory.clone();
        watcher.spawn(watch::run(
            directory,
            Arc::clone(&cfg),
            Arc::clone(&revisions),
        ));
        let callers = tokio::spawn(run_callers(Arc::clone(&cfg), arrivals));
        self.run_timetable(fleet, cfg.start).await;
        let finished = callers.await.unwrap_or_default();
        watcher.abort_all();
        record_stale_gates(fleet).await;
        if self
            .scenario
            .actions
            .iter()
            .any(|(_, a)| *a == Action::Rollout)
        {
            fleet.record_rollout();
        }
        let evidence = evidence::gather(fleet, self.scenario, &finished, &revisions).await;
        (finished, evidence)
    }

    async fn run_timetable(&self, fleet: &mut Fleet, start: Instant) {
        for (at, action) in &self.scenario.actions {
            sleep_until(start + *at).await;
            if let Err(e) = fleet.apply(*action).await {
                fleet.notes.push(format!("{action:?}: {e:#}"));
            }
        }
    }
}

/// Adds a note on each gate whose revision is behind the others after the run.
async fn record_stale_gates(fleet: &mut Fleet) {
    let revisions = fleet.revisions().await;
    let newest = revisions.iter().map(|(_, r)| *r).max().unwrap_or(0);
    for (gate, revision) in revisions.iter().filter(|(_, r)| *r < newest) {
        let note = format!("{gate} had revision {revision}, others {newest}");
        fleet.notes.push(note);
    }
}

/// Starts each caller at its arrival time, regardless of the others, and waits for all of them.
async fn run_callers(cfg: Arc<CallerConfig>, arrivals: Vec<Arrival>) -> Vec<FinishedRequest> {
    let mut callers = JoinSet::new();
    for arrival in arrivals {
        sleep_until(cfg.start + arrival.at).await;
        let cfg = Arc::clone(&cfg);
        callers.spawn(async move { send_request(&cfg, arrival).await });
    }
    callers.join_all().await
}

fn caller_config(declaration: &Declaration, seed: u64) -> CallerConfig {
    let pipelines = &declaration.pipelines;
    let deadlines = pipelines.iter().map(|(name, p)| (name.clone(), p.deadline));
    let needs_key =
        |(_, p): &(&String, &declaration::Pipeline)| declaration.has_unrepeatable_stage(p);
    let keyed_pipelines = pipelines
        .iter()
        .filter(needs_key)
        .map(|(name, _)| name.clone());
    CallerConfig {
        balancer: Balancer::default(),
        client: Client::default(),
        start: Instant::now() + START_DELAY,
        seed,
        deadlines: deadlines.collect(),
        keyed_pipelines: keyed_pipelines.collect(),
    }
}

/// Returns the allowed availability zones by workspace.
fn allowed_azs(declaration: &Declaration) -> std::collections::BTreeMap<String, Vec<String>> {
    let workspaces = declaration.workspaces.iter();
    let azs = workspaces.map(|(name, w)| (name.clone(), w.availability_zones.clone()));
    azs.collect()
}
