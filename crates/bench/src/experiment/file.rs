//! Parses the experiment file: `[experiment]` and one `[scenario NAME]` for each fault schedule.

use std::{
    path::{Path, PathBuf},
    time::Duration,
};

use eyre::eyre;
use host::settings::Reader;
use inifile::Section;

use super::action::Action;
use crate::{
    baseline::PickPolicy,
    deployment::DeploymentName,
    load::{Burst, LoadPlan},
};

/// A system under test.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum System {
    /// The project: its name in results and the folder that holds its binaries.
    Project(String, PathBuf),
    /// Baseline gates with this load-balancing policy.
    Baseline(PickPolicy),
}

impl System {
    /// Returns the name that identifies the system in results.
    pub fn name(&self) -> &str {
        match self {
            Self::Project(name, _) => name,
            Self::Baseline(PickPolicy::RoundRobin) => "round-robin",
            Self::Baseline(PickPolicy::LeastInFlight) => "least-in-flight",
        }
    }
}

/// A load with a schedule of faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The name after `scenario` in the section header.
    pub name: String,
    /// Arrivals per second outside bursts.
    pub rate: f64,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Actions and their offsets from the start, in order of time.
    pub actions: Vec<(Duration, Action)>,
}

impl Scenario {
    /// Returns the load that the scenario offers, including its bursts.
    pub fn load_plan(&self, seed: u64) -> LoadPlan {
        let bursts = self.actions.iter().filter_map(|(at, action)| match action {
            Action::Burst(factor, duration) => Some(Burst {
                start: *at,
                duration: *duration,
                factor: *factor,
            }),
            _ => None,
        });
        LoadPlan {
            rate: self.rate,
            duration: self.duration,
            bursts: bursts.collect(),
            seed,
        }
    }
}

/// A parsed experiment file.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Seed of the first run of each scenario.
    pub seed: u64,
    /// Systems to run; the others are compared with the first one.
    pub systems: Vec<System>,
    /// Deployments to run each scenario on.
    pub deployments: Vec<DeploymentName>,
    /// Scenarios in file order.
    pub scenarios: Vec<Scenario>,
}

impl Experiment {
    /// Parses the file at `path`. `programs` is the folder of the project's binaries; `earlier`, if
    /// given, that of an earlier build to compare with. Fails with all faults of the file.
    pub fn from_file(path: &Path, programs: &Path, earlier: Option<&Path>) -> eyre::Result<Self> {
        let mut reader = Reader::from_file(path).map_err(|faults| eyre!("{faults}"))?;
        let bytes = std::fs::read(path)?;
        let file = path.display().to_string();
        let sections = inifile::parse(&file, &bytes).map_err(|faults| eyre!("{faults}"))?;
        let section = "experiment";
        let seed = reader.number(section, "seed", 1, 0, u64::MAX);
        let rate = reader.number(section, "rate", 120, 1, 10_000);
        let duration = reader.millis(section, "length_ms", 10_000, 1_000, 60_000);
        let mut systems = read_systems(&mut reader, programs);
        if let Some(earlier) = earlier {
            systems.push(System::Project("earlier".to_owned(), earlier.to_owned()));
        }
        let deployments = read_deployments(&mut reader);
        let base = Scenario {
            name: String::new(),
            rate: rate as f64,
            duration,
            actions: Vec::new(),
        };
        let is_scenario = |s: &&Section| s.name.starts_with("scenario ");
        let scenarios = sections.iter().filter(is_scenario);
        let scenarios = scenarios
            .map(|s| read_scenario(&mut reader, s, &base))
            .collect();
        reader.finish().map_err(|faults| eyre!("{faults}"))?;
        Ok(Self {
            seed,
            systems,
            deployments,
            scenarios,
        })
    }
}

impl Experiment {
    /// Keeps the first system and the first scenario, whose faults are removed and bursts kept.
    pub fn retain_load_only(&mut self) {
        self.systems.truncate(1);
        self.scenarios.truncate(1);
        for scenario in &mut self.scenarios {
            let is_load = |(_, action): &(Duration, Action)| matches!(action, Action::Burst(..));
            scenario.actions.retain(is_load);
        }
    }
}

fn read_list(reader: &mut Reader, key: &str) -> Vec<String> {
    let text = reader.required("experiment", key);
    text.split(',').map(|word| word.trim().to_owned()).collect()
}

fn read_systems(reader: &mut Reader, programs: &Path) -> Vec<System> {
    let mut systems = Vec::new();
    for name in read_list(reader, "systems") {
        match name.as_str() {
            "project" => systems.push(System::Project(name, programs.to_owned())),
            "round-robin" => systems.push(System::Baseline(PickPolicy::RoundRobin)),
            "least-in-flight" => systems.push(System::Baseline(PickPolicy::LeastInFlight)),
            _ => {
                let what = format!("`{name}` is none of project, round-robin, least-in-flight");
                reader.fault("experiment", "systems", what);
            }
        }
    }
    systems
}

fn read_deployments(reader: &mut Reader) -> Vec<DeploymentName> {
    let mut deployments = Vec::new();
    for name in read_list(reader, "deployments") {
        match DeploymentName::parse(&name) {
            Some(deployment) => deployments.push(deployment),
            None => {
                let what = format!("`{name}` is none of escort-desk, watch-trading");
                reader.fault("experiment", "deployments", what);
            }
        }
    }
    deployments
}

fn read_scenario(reader: &mut Reader, section: &Section, base: &Scenario) -> Scenario {
    let name = section.name.as_str();
    let mut actions = Vec::new();
    for entry in &section.entries {
        let Some(at) = entry.key.strip_prefix("at_") else {
            continue;
        };
        reader.text(name, &entry.key);
        match (at.parse(), Action::parse(&entry.value)) {
            (Ok(millis), Some(action)) => actions.push((Duration::from_millis(millis), action)),
            (Err(_), _) => reader.fault(name, &entry.key, "write at_MILLISECONDS = ACTION"),
            (_, None) => {
                let what = format!("`{}` is no action; see `jujube-bench --help`", entry.value);
                reader.fault(name, &entry.key, what);
            }
        }
    }
    actions.sort_by_key(|(at, _)| *at);
    let duration = base.duration.as_millis() as u64;
    Scenario {
        name: name["scenario ".len()..].trim().to_owned(),
        rate: reader.number(name, "rate", base.rate as u64, 1, 10_000) as f64,
        duration: reader.millis(name, "length_ms", duration, 1_000, 60_000),
        actions,
    }
}
