//! Records the cost of a call however it ends, and cancels it at its engine when dropped early.

use std::{sync::Arc, time::Duration};

use outbound::SendState;
use tokio::time::{Instant, timeout};

use crate::{
    engine,
    exchange::{self, Call},
    gate::Gate,
    metrics::CostKind,
};

/// Limit on cancelling a call.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Guard of one call to one endpoint.
#[derive(Debug)]
pub(crate) struct CallGuard {
    gate: Arc<Gate>,
    service: String,
    call: Call,
    started: Instant,
    is_engine: bool,
    is_unfinished: bool,
}

impl CallGuard {
    pub(crate) fn new(gate: &Arc<Gate>, service: &str, call: &Call, is_engine: bool) -> Self {
        Self {
            gate: Arc::clone(gate),
            service: service.to_owned(),
            call: call.clone(),
            started: Instant::now(),
            is_engine,
            is_unfinished: true,
        }
    }

    /// Records that the call completed with `tokens`.
    pub(crate) fn succeeded(&mut self, tokens: u64) {
        self.is_unfinished = false;
        let elapsed = self.started.elapsed();
        self.gate.metrics.record_call(&self.service, "ok");
        self.gate
            .metrics
            .record_cost(&self.service, CostKind::Useful, elapsed, tokens);
    }

    /// Disables cancellation: the endpoint has ended the call, or a resumed stream will need it.
    pub(crate) fn skip_cancellation(&mut self) {
        self.is_engine = false;
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let is_unsent = self.call.send_state.seal();
        if !self.is_unfinished || is_unsent {
            return;
        }
        let elapsed = self.started.elapsed();
        self.gate
            .metrics
            .record_cost(&self.service, CostKind::Wasted, elapsed, 0);
        if self.is_engine {
            cancel(&self.gate, &self.call);
        }
    }
}

/// Cancels the call at its engine in the background.
fn cancel(gate: &Arc<Gate>, call: &Call) {
    let (gate, in_flight) = (Arc::clone(gate), gate.inflight.track());
    let call = Call {
        send_state: SendState::new(),
        ..call.clone()
    };
    tokio::spawn(async move {
        let _in_flight = in_flight;
        let req = engine::cancel(&call);
        // An engine that misses the cancellation ends the call at its own deadline.
        let _ = timeout(
            CANCEL_TIMEOUT,
            exchange::send_on_new(&gate.pool, &call, req),
        )
        .await;
    });
}
