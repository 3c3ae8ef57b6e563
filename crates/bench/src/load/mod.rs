//! Open-loop load: arrivals that do not wait for answers, and what became of each.

mod arrivals;
mod caller;
mod key;
mod sse;
mod tally;

pub use self::{
    arrivals::{Arrival, Burst, LoadPlan, generate_arrivals},
    caller::{Balancer, CallerConfig, FinishedRequest, GateAddress, send_request},
    tally::{ServiceCost, Tally, tally},
};
pub(crate) use self::{caller::parse_outcome, sse::SseParser};
