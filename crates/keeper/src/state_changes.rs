//! Logs changes of a keeper's view of its consensus group.

use logs::Event;
use replica::{Replica, Status};
use tokio::time::{Duration, sleep};

/// Time between checks of the replica's status.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Logs each change of role, term, leader or members; runs until dropped.
pub(crate) async fn log_state_changes(replica: Replica) {
    let mut logged = None;
    loop {
        let current = event(replica.status());
        if logged.as_ref() != Some(&current) {
            logs::write(None, &current);
            logged = Some(current);
        }
        sleep(POLL_INTERVAL).await;
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
