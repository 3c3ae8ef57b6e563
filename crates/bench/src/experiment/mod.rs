//! Runs named scenarios with timed faults on the project and on baseline gates.

mod action;
mod apply;
mod evidence;
mod file;
mod fleet;
mod net;
mod plot;
mod report;
mod resources;
mod roles;
mod run;
mod summary;
mod watch;
mod workers;

pub use self::{
    action::{Action, ServiceRef},
    file::{Experiment, Scenario, System},
    fleet::Fleet,
    report::{RunResult, TargetResult, results_table, target_result},
    resources::{MAX_PROCESSES, ResourceEstimate},
    run::{RunConfig, run_file},
    summary::{SampleStats, Summary, summarize, summary_table},
};
