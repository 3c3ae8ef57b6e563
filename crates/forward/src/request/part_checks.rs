//! Refuses requests with blocked parts of prompts, and records which calls speak for or against the
//! parts of their prompts.

use std::time::Duration;

use logs::Event;

use super::{Context, Request};
use crate::{
    blocked_parts::{Block, CallEnd},
    call::CallError,
    error::{ForwardError, Refusal},
    in_flight::InFlightCall,
    placement::PlacementError,
};

/// When a caller may retry if this gate does not know the blocked parts yet.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Context {
    /// Records a call that ended together with its connection.
    pub(crate) fn record_lost(
        &self,
        flight: &InFlightCall,
        req: &Request,
        e: &CallError,
        end: CallEnd,
    ) {
        self.fleet.record_call_error(&flight.target, e);
        if matches!(e, CallError::Lost(_)) && !flight.is_steady() {
            self.crashes.record(&flight.target, &req.incoming, end);
        }
    }

    /// Records a call with a complete response.
    pub(crate) fn record_complete(
        &self,
        flight: &InFlightCall,
        req: &Request,
        ends_with_connection: bool,
        is_good: bool,
    ) {
        match is_good {
            // The connection may have ended in a crash.
            true if ends_with_connection => {
                let end = CallEnd::Closed;
                self.crashes.record(&flight.target, &req.incoming, end);
            }
            true => self.blocked_parts.record_good(&req.incoming),
            false => {}
        }
    }

    /// Returns true, and notes the part, if the request must not be repeated because of a part of its
    /// prompt.
    pub(crate) fn is_suspect(&self, req: &Request) -> bool {
        let event = self.suspected_event(req);
        event.map(|event| req.log.note(event)).is_some()
    }

    /// Returns true if the request must not be sent to another endpoint because of a part of its
    /// prompt.
    pub(crate) fn may_crash(&self, req: &Request) -> bool {
        self.suspected_event(req).is_some()
    }

    fn suspected_event(&self, req: &Request) -> Option<Event> {
        self.blocked_parts
            .suspected_event(&req.incoming, &req.service)
    }

    /// Returns an error if a part of the request's prompt is blocked.
    pub(crate) fn check_parts(&self, req: &Request) -> Result<(), ForwardError> {
        if self.blocked_parts.is_unknown(&req.incoming) {
            return Err(ForwardError::retry_later(
                Refusal::NotConfirmed,
                UNKNOWN_RETRY_AFTER,
            ));
        }
        match self.blocked_parts.block_of(&req.incoming) {
            Some(block) => Err(refuse(req, &block)),
            None => Ok(()),
        }
    }

    /// Runs the stages of a request, in `stages`, unless a part of its prompt is blocked meanwhile.
    pub(crate) async fn unless_blocked<T>(
        &self,
        req: &Request,
        stages: impl Future<Output = Result<T, ForwardError>>,
    ) -> Result<T, ForwardError> {
        tokio::select! {
            block = self.blocked_parts.await_block(&req.incoming) => Err(refuse(req, &block)),
            result = stages => result,
        }
    }

    /// Returns an error if a part of the request's prompt was blocked since it was admitted.
    pub(crate) fn check_placement(&self, req: &Request) -> Result<(), PlacementError> {
        let Some(block) = self.blocked_parts.block_of(&req.incoming) else {
            return Ok(());
        };
        Err(PlacementError {
            reason: Refusal::BlockedPart,
            retry_after: Some(block.remaining),
        })
    }
}

/// The error for a request that is refused because of `block`, which is noted.
fn refuse(req: &Request, block: &Block) -> ForwardError {
    req.log.note(block.refused_event());
    ForwardError::retry_later(Refusal::BlockedPart, block.remaining)
}
