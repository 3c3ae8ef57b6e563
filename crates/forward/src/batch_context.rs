//! What batched calls and their queues depend on.

use std::sync::Arc;

use outbound::Pool;
use routing::fair_share::FairShares;
use tokio::sync::watch;

use crate::{
    dialect::Dialect, fleet::Fleet, metrics::Metrics, rate_limit::RateLimits, rules::Rules,
};

/// Dependencies of the collector.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    pub(crate) dialect: Dialect,
    pub(crate) fleet: Fleet,
    /// Memory for the bodies of responses.
    pub(crate) memory: ingress::BodyBudgets,
    pub(crate) pool: Pool,
    /// Connections for releases of results, which carry no other calls.
    pub(crate) release_pool: Pool,
    pub(crate) rules: watch::Receiver<Arc<Rules>>,
    pub(crate) budget: Arc<routing::RetryBudget>,
    pub(crate) rate_limits: RateLimits,
    /// The VM name of this gate.
    pub(crate) vm: String,
    pub(crate) metrics: Metrics,
    /// Who is refused when a pool is full.
    pub(crate) fair_shares: FairShares,
}
