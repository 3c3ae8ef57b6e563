//! Settings of a forwarding gate.

use std::time::Duration;

use forward::{EnginePlacement, FairShares, LongPrompts, SharedBudget, StageAdmission};
use host::{resources::Resources, settings::Reader};

/// Configuration of a forwarding gate.
#[derive(Clone, Debug)]
pub struct Config(pub(crate) forward::Config);

impl Config {
    /// Reads the settings of a forwarding gate; the reader collects the faults.
    pub fn read(reader: &mut Reader) -> Self {
        let keepers = reader.keepers().into_iter().map(|keeper| keeper.address);
        let keepers = keepers.collect();
        let mut duration =
            |key, default, min| reader.millis("timing", key, default, min, 3_600_000);
        let (confirmed_for, notice, drain) = (
            duration("confirmed_ms", 5_000, 100),
            duration("notice_ms", 3_000, 0),
            duration("drain_ms", 30_000, 0),
        );
        Self(forward::Config {
            vm: reader.vm(),
            callers: reader.listen("callers"),
            readiness: reader.listen("http"),
            metrics: None,
            link: reader.listen("link"),
            advertised_link: reader.address("listen", "advertised_link"),
            link_key: reader.security().link_key,
            keepers,
            confirmed_for,
            budget: budget(reader),
            resources: Resources::read(reader),
            awaits_evacuations: reader.number("zones", "evacuation_ms", 0, 0, 3_600_000) > 0,
            long_prompts: routing(reader, "long_prompts", LongPrompts::parse),
            stage_admission: routing(reader, "stage_admission", StageAdmission::parse),
            fair_shares: routing(reader, "fair_share", FairShares::parse),
            engine_placement: routing(reader, "engine_placement", EnginePlacement::parse),
            notice,
            drain,
        })
    }
}

/// Reads a mode of `[routing]`.
fn routing<T: Default>(
    reader: &mut Reader,
    key: &str,
    parse: fn(Option<&str>) -> Result<T, String>,
) -> T {
    let text = reader.text("routing", key);
    parse(text.as_deref()).unwrap_or_else(|fault| {
        reader.fault("routing", key, fault);
        T::default()
    })
}

/// Reads `[retries]`, the retry budget that all forwarding gates share.
fn budget(reader: &mut Reader) -> SharedBudget {
    let percent = reader.number("retries", "percent", 10, 0, 100);
    let slack = reader.number("retries", "slack", 10, 0, 100_000);
    let window = reader.millis("retries", "window_ms", 10_000, 100, 600_000);
    SharedBudget {
        ratio: percent as f64 / 100.0,
        slack: slack as f64,
        window: window.max(Duration::from_millis(100)),
    }
}
