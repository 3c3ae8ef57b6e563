//! Linearizable reads: a quorum confirms the leader before it returns the read index.

use crate::{
    ProposeError,
    core::Shared,
    message::{RequestBody, ResponseBody},
    status::Role,
};

impl Shared {
    /// Returns the index that must be applied before a read, once a quorum confirmed this leader.
    pub(crate) async fn read_index(&self) -> Result<u64, ProposeError> {
        let mut changed = self.changed.subscribe();
        let term = self.core().term;
        let mut confirmation = None;
        loop {
            changed.borrow_and_update();
            let was_started = confirmation.is_some();
            {
                let mut core = self.core();
                if core.is_shut_down() {
                    return Err(ProposeError::Stopped);
                }
                if core.role != Role::Leader || core.term != term {
                    break;
                }
                // The commit index may be stale until an entry of the own term is committed.
                if confirmation.is_none() && core.commit >= core.term_first_index {
                    core.round += 1;
                    confirmation = Some((core.commit, core.round));
                }
                match confirmation {
                    Some((index, _)) if skips_confirmation(self) => return Ok(index),
                    Some((index, round)) if core.is_confirmed(self, round) => return Ok(index),
                    _ => {}
                }
            }
            if !was_started && confirmation.is_some() {
                self.notify_changed();
            }
            if changed.changed().await.is_err() {
                break;
            }
        }
        Err(self.not_leader())
    }

    /// Queries the leader for the index that must be applied before a read.
    pub(crate) async fn request_read_index(&self, leader: String) -> Result<u64, ProposeError> {
        let (term, limit) = (self.core().term, self.cfg.timing.election_max);
        let response = self
            .call(&leader, term, RequestBody::ReadIndex, limit)
            .await;
        match response.map(|a| a.body) {
            Some(ResponseBody::ReadIndex(index)) => Ok(index),
            _ => Err(self.not_leader()),
        }
    }

    pub(crate) fn not_leader(&self) -> ProposeError {
        ProposeError::NotLeader {
            leader: self.core().leader.clone(),
        }
    }
}

#[cfg(any(test, feature = "broken-variants"))]
fn skips_confirmation(shared: &Shared) -> bool {
    shared.cfg.broken_variant == Some(crate::BrokenVariant::UnconfirmedRead)
}

#[cfg(not(any(test, feature = "broken-variants")))]
fn skips_confirmation(_shared: &Shared) -> bool {
    false
}
