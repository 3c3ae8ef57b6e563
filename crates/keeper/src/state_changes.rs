//! What a keeper believes of its group, written whenever it changes.

use logs::Event;
use replica::{Replica, Status};
use tokio::time::{Duration, sleep};

/// Time between looks.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Writes each change; runs until dropped.
pub(crate) async fn log_state_changes(replica: Replica) {
    let mut told = None;
    loop {
        let now = event(replica.status());
        if told.as_ref() != Some(&now) {
            logs::write(None, &now);
            told = Some(now);
        }
        sleep(LOOK_EVERY).await;
    }
}

fn event(status: Status) -> Event {
    Event::Consensus {
        role: format!("{:?}", status.role).to_lowercase(),
        term: status.term,
        leader: status.leader,
        voters: status.voters,
        learners: status.learners,
    }
}
