//! What a fault timetable can do, and how settings write it.

use std::time::Duration;

use declaration::{Declaration, ServiceKind};
use derives::token;

/// A service by what it is, so that one scenario fits every deployment.
#[token]
#[serde(rename_all = "lowercase")]
pub enum ServiceRef {
    /// The model engine.
    Engine,
    /// The first encoder, retriever or reranker.
    Pool,
    /// The plain service whose calls may not be repeated.
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

    /// The service's name in `declaration`.
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

/// One step of a fault timetable.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// One endpoint takes this many times as long.
    Slow(ServiceRef, f64),
    /// One endpoint fails every n-th call.
    Fail(ServiceRef, u64),
    /// One endpoint answers no more.
    Stall(ServiceRef),
    /// One endpoint closes its connections early.
    CloseEarly(ServiceRef),
    /// One endpoint is killed and starts again.
    Restart(ServiceRef),
    /// One endpoint announces that it leaves.
    Leave(ServiceRef),
    /// All endpoints work again.
    Mend,
    /// More arrives for a time.
    Burst(f64, Duration),
    /// The last availability zone that has a keeper is cut off from the others.
    CutAz,
    /// All cuts between our processes are healed.
    Heal,
    /// The leader of the keepers is killed and starts again.
    KillLeader,
    /// All keepers are killed and start again.
    KillKeepers,
    /// The VM of the leading keeper is isolated.
    IsolateLeader,
    /// The VM of an active controller is isolated.
    IsolateController,
    /// One gate gets SIGTERM.
    TermGate,
    /// One gate is killed.
    KillGate,
    /// One gate of the availability zone that [`Action::CutAz`] cuts off is killed.
    KillCutGate,
    /// All open connections to endpoints go silent; new ones pass.
    Silence,
    /// The engine's next version is declared.
    Rollout,
}

impl Action {
    /// Parses an action as settings write it: a word and its arguments.
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
                let length = Duration::from_millis(millis.parse().ok()?);
                Self::Burst(factor.parse().ok()?, length)
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

    /// Whether it may break connections between callers and a gate.
    pub fn may_break_callers(self) -> bool {
        matches!(self, Self::KillGate | Self::KillCutGate)
    }
}
