//! Limits on the machine resources of a run; a run that needs more is refused.

use std::fs;

use eyre::{WrapErr, bail, eyre};

use super::file::Scenario;
use crate::{deployment::Deployment, load::LoadPlan};

/// Maximum number of processes that a run may start.
pub const MAX_PROCESSES: usize = 300;
/// Estimated memory of one process.
const PROCESS_BYTES: u64 = 64 << 20;
/// Estimated memory of one request with its journal entries and evidence.
const REQUEST_BYTES: u64 = 64 << 10;

/// Estimated resources that a run needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceEstimate {
    /// Number of the project's processes.
    pub processes: usize,
    /// Memory of these processes and of all requests.
    pub memory_bytes: u64,
}

impl ResourceEstimate {
    /// Estimates what `scenario` needs on the project's fleet of `deployment`.
    pub fn for_scenario(deployment: &Deployment, scenario: &Scenario) -> Self {
        let gates: usize = deployment.azs.iter().map(|az| az.gates).sum();
        let keepers = deployment.azs.iter().filter(|az| az.has_keeper).count();
        // Each gate's VM also runs a controller.
        let processes = 2 * gates + keepers;
        let requests = requests(&scenario.load_plan(0));
        Self {
            processes,
            memory_bytes: processes as u64 * PROCESS_BYTES + requests * REQUEST_BYTES,
        }
    }

    /// Fails if the estimate exceeds [`MAX_PROCESSES`] or half of `memory` bytes.
    pub fn check(self, memory: u64) -> eyre::Result<()> {
        match self {
            Self { processes, .. } if processes > MAX_PROCESSES => {
                bail!("needs {processes} processes, at most {MAX_PROCESSES} may run; use fewer VMs")
            }
            Self { memory_bytes, .. } if memory_bytes > memory / 2 => bail!(
                "needs {} MB of memory, at most half of {} MB may be used; lower rate, length_ms or bursts",
                memory_bytes >> 20,
                memory >> 20,
            ),
            _ => Ok(()),
        }
    }
}

/// Returns the expected number of requests of `plan`.
fn requests(plan: &LoadPlan) -> u64 {
    let more = plan.bursts.iter().map(|burst| {
        let duration = burst.duration.min(plan.duration);
        (burst.factor - 1.0).max(0.0) * duration.as_secs_f64()
    });
    let seconds: f64 = plan.duration.as_secs_f64() + more.sum::<f64>();
    (plan.rate * seconds) as u64
}

/// Returns the machine's total memory in bytes.
pub(crate) fn total_memory() -> eyre::Result<u64> {
    let text = fs::read_to_string("/proc/meminfo").wrap_err("read /proc/meminfo")?;
    let line = text.lines().find_map(|l| l.strip_prefix("MemTotal:"));
    let kib = line.and_then(|l| l.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
    kib.map(|kib| kib << 10)
        .ok_or_else(|| eyre!("/proc/meminfo has no MemTotal"))
}
