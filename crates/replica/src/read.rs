//! Reads that see everything committed before them: a quorum confirms the leader first.

use crate::{
    ProposeError,
    core::Shared,
    message::{Ask, Tell},
    status::Role,
};

impl Shared {
    /// The index that a read must have applied, once a quorum confirmed this leader.
    pub(crate) async fn read_index(&self) -> Result<u64, ProposeError> {
        let mut changed = self.changed.subscribe();
        let term = self.core().term;
        let mut asked = None;
        loop {
            changed.borrow_and_update();
            let has_asked = asked.is_some();
            {
                let mut core = self.core();
                if core.is_ended() {
                    return Err(ProposeError::Stopped);
                }
                if core.role != Role::Leader || core.term != term {
                    break;
                }
                // Before an entry of the own term is committed, the commit index may be behind.
                if asked.is_none() && core.commit >= core.own_first {
                    core.round += 1;
                    asked = Some((core.commit, core.round));
                }
                match asked {
                    Some((index, _)) if reads_unconfirmed(self) => return Ok(index),
                    Some((index, round)) if core.is_confirmed(self, round) => return Ok(index),
                    _ => {}
                }
            }
            if !has_asked && asked.is_some() {
                self.wake();
            }
            if changed.changed().await.is_err() {
                break;
            }
        }
        Err(self.not_leader())
    }

    /// Asks the leader for the index that a read here must have applied.
    pub(crate) async fn ask_read_index(&self, leader: String) -> Result<u64, ProposeError> {
        let (term, limit) = (self.core().term, self.cfg.timing.election_max);
        let answer = self.ask(&leader, term, Ask::ReadIndex, limit).await;
        match answer.map(|a| a.tell) {
            Some(Tell::ReadIndex(index)) => Ok(index),
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
fn reads_unconfirmed(shared: &Shared) -> bool {
    shared.cfg.broken_variant == Some(crate::BrokenVariant::UnconfirmedRead)
}

#[cfg(not(any(test, feature = "broken-variants")))]
fn reads_unconfirmed(_shared: &Shared) -> bool {
    false
}
