//! Open-loop load: requests arrive regardless of earlier responses, and their results are tallied.

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
