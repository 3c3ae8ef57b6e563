//! Settings of a forwarding gate.

use std::time::Duration;

use forward::SharedBudget;
use host::settings::Reader;

/// Everything that a forwarding gate is told.
#[derive(Clone, Debug)]
pub struct Config(pub(crate) forward::Config);

impl Config {
    /// Takes what a forwarding gate needs from the settings.
    pub fn read(r: &mut Reader) -> Self {
        let keepers = r.keepers().into_iter().map(|keeper| keeper.address);
        let keepers = keepers.collect();
        let mut ms = |key, default, low| r.millis("timing", key, default, low, 3_600_000);
        let (confirmed_for, notice, drain) = (
            ms("confirmed_ms", 5_000, 100),
            ms("notice_ms", 3_000, 0),
            ms("drain_ms", 30_000, 0),
        );
        Self(forward::Config {
            vm: r.vm(),
            callers: r.listen("callers"),
            readiness: r.listen("http"),
            metrics: None,
            link: r.listen("link"),
            advertised_link: r.address("listen", "advertised_link"),
            link_key: r.security().link_key,
            keepers,
            confirmed_for,
            budget: budget(r),
            notice,
            drain,
        })
    }
}

/// `[retries]`: retries allowed over all forwarding gates together.
fn budget(r: &mut Reader) -> SharedBudget {
    let percent = r.number("retries", "percent", 10, 0, 100);
    let slack = r.number("retries", "slack", 10, 0, 100_000);
    let window = r.millis("retries", "window_ms", 10_000, 100, 600_000);
    SharedBudget {
        ratio: percent as f64 / 100.0,
        slack: slack as f64,
        window: window.max(Duration::from_millis(100)),
    }
}
