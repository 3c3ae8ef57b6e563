//! Named scenarios with a fault timetable, run on the project and on baselines alike.

mod action;
mod apply;
mod bounds;
mod evidence;
mod file;
mod fleet;
mod net;
mod plot;
mod report;
mod roles;
mod run;
mod summary;
mod watch;
mod workers;

pub use self::{
    action::{Action, ServiceRef},
    bounds::{MAX_PROCESSES, Need},
    file::{Experiment, Scenario, System},
    fleet::Fleet,
    report::{Row, Target, table, target},
    run::{RunConfig, run_file},
    summary::{Spread, Summary, summarize, summary_table},
};
