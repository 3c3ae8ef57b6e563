//! Actions of a fault schedule and their syntax in settings.

use std::time::Duration;

use declaration::{Declaration, ServiceKind};
use derives::token;

/// Refers to a service by its role, so that one scenario fits every deployment.
#[token]
#[serde(rename_all = "lowercase")]
pub enum ServiceRef {
    /// The model engine.
    Engine,
    /// The first encoder, retriever or reranker.
    Pool,
    /// The first service whose calls may not be repeated.
    Booking,
}

impl ServiceRef {
    fn parse(text: &str) -> Option<Self> {
        match text {
            "engine" => Some(Self::Engine),
            "pool" => Some(Self::Pool),
            "booking" => Some(Self::Booking),
            _ => None,
        }
    }

    /// Returns the name of the first matching service in `declaration`.
    pub fn find(self, declaration: &Declaration) -> Option<&str> {
        let is_it = |kind: ServiceKind, repeatable: bool| match self {
            Self::Engine => kind == ServiceKind::Engine,
            Self::Booking => !repeatable,
            Self::Pool => !matches!(kind, ServiceKind::Engine | ServiceKind::Plain),
        };
        let mut services = declaration.services.iter();
        let found = services.find(|(_, s)| is_it(s.kind, s.repeatable));
        found.map(|(name, _)| name.as_str())
    }
}

/// One step of a fault schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Multiplies the service time of one endpoint by this factor.
    Slow(ServiceRef, f64),
    /// Makes one endpoint fail every n-th call.
    Fail(ServiceRef, u64),
    /// Makes one endpoint stop responding.
    Stall(ServiceRef),
    /// Makes one endpoint close its connections before the response is complete.
    CloseEarly(ServiceRef),
    /// Kills one endpoint and starts it again.
    Restart(ServiceRef),
    /// Makes one endpoint announce that it is leaving.
    Leave(ServiceRef),
    /// Clears the faults of all endpoints.
    Mend,
    /// Multiplies the arrival rate by this factor for this long.
    Burst(f64, Duration),
    /// Partitions the last availability zone that has a keeper from the others.
    CutAz,
    /// Heals all partitions between the project's processes.
    Heal,
    /// Kills the leading keeper and starts it again.
    KillLeader,
    /// Kills all keepers and starts them again.
    KillKeepers,
    /// Partitions the VM of the leading keeper from all others.
    IsolateLeader,
    /// Partitions the VM of the first controller from all others.
    IsolateController,
    /// Sends SIGTERM to one gate and starts it again once it has exited.
    TermGate,
    /// Kills one gate and starts it again.
    KillGate,
    /// Kills one gate of the availability zone that [`Action::CutAz`] partitions.
    KillCutGate,
    /// Stops traffic on all open connections to endpoints; new connections work.
    Silence,
    /// Declares the next version of the engine's model.
    Rollout,
}

impl Action {
    /// Parses an action in settings syntax: its name, then its arguments. Returns `None` for an
    /// unknown name or a wrong argument.
    pub fn parse(text: &str) -> Option<Self> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let service = |text: &str| ServiceRef::parse(text);
        Some(match words.as_slice() {
            ["slow", of, factor] => Self::Slow(service(of)?, factor.parse().ok()?),
            ["fail", of, every] => Self::Fail(service(of)?, every.parse().ok()?),
            ["stall", of] => Self::Stall(service(of)?),
            ["close-early", of] => Self::CloseEarly(service(of)?),
            ["restart", of] => Self::Restart(service(of)?),
            ["leave", of] => Self::Leave(service(of)?),
            ["mend"] => Self::Mend,
            ["burst", factor, millis] => {
                let duration = Duration::from_millis(millis.parse().ok()?);
                Self::Burst(factor.parse().ok()?, duration)
            }
            ["cut-az"] => Self::CutAz,
            ["heal"] => Self::Heal,
            ["kill-leader"] => Self::KillLeader,
            ["kill-keepers"] => Self::KillKeepers,
            ["isolate-leader"] => Self::IsolateLeader,
            ["isolate-controller"] => Self::IsolateController,
            ["term-gate"] => Self::TermGate,
            ["kill-gate"] => Self::KillGate,
            ["kill-cut-gate"] => Self::KillCutGate,
            ["silence"] => Self::Silence,
            ["rollout"] => Self::Rollout,
            _ => return None,
        })
    }

    /// Returns true if the action may break connections between callers and a gate.
    pub fn may_break_callers(self) -> bool {
        matches!(self, Self::KillGate | Self::KillCutGate)
    }
}
