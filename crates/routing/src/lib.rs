//! Endpoint selection, concurrency limits, admission control, retry budgets and outlier ejection.
//!
//! [`Router`] chooses an endpoint for each call. [`Admission`] decides which requests may start.
//! [`RetryBudget`] and [`Latencies`] bound the load added by retries and hedges. See
//! `docs/design/routing.md` and `docs/design/limits.md` for the design.

mod admission;
mod affinity;
mod assumed_cold;
mod budget;
mod call;
mod concurrency_limit;
mod config;
mod crash_evidence;
mod endpoint_limit;
mod engine_table;
mod ewma;
mod health;
mod latency;
mod latency_fit;
mod pool;
mod prefill;
mod prefix_cache;
mod queue;
mod rate_share;
mod router;
mod score;
mod stats;
mod token_bucket;

pub mod fair_share;
mod pending;
pub mod stage_admission;
pub mod subset;

pub use admission::{
    Admission, AdmissionConfig, AdmissionGuard, AdmissionRequest, AdmissionStats, Refusal,
    RefusalReason, RequestOutcome,
};
pub use affinity::{BLOCK_BYTES, block_hashes};
pub use assumed_cold::{AssumedCold, TableContact};
pub use budget::{RetryBudget, RetryBudgetConfig};
pub use call::{
    CacheEvents, CacheUsage, CallOutcome, CallRequirements, ModelRequirement, NoEndpoint,
    Observation,
};
pub use config::{AffinityConfig, EjectionConfig, LimitConfig, RouterConfig};
pub use crash_evidence::{Crash, CrashEvidence, Culprit, Suspect};
pub use engine_table::{
    EngineCandidate, EngineChoice, EngineTable, FirstEvent, PromptCall, TableSizes,
};
pub use ewma::DecayingMean;
pub use health::{Health, max_ejected};
pub use latency::{Latencies, SizeClass, Stage};
pub use latency_fit::{LatencyFit, LatencyModel};
pub use prefill::{PrefillCandidate, PrefillConfig};
pub use prefix_cache::{CachedTokens, PrefixCache, PrefixPart};
pub use router::{EndpointStats, Pick, Router};
pub use score::PickReasons;
pub use token_bucket::TokenBucket;
