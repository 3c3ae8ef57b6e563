use std::time::Duration;

use tokio::time::advance;

use super::{MAX_SESSIONS, SESSION_LIFETIME, Sessions};

#[tokio::test(start_paused = true)]
async fn a_session_expires_after_its_lifetime() {
    let sessions = Sessions::default();
    let id = sessions.create(None).id;
    assert!(sessions.find(&id).is_some());
    advance(SESSION_LIFETIME).await;
    assert!(sessions.find(&id).is_none());
}

#[tokio::test(start_paused = true)]
async fn a_new_session_evicts_the_oldest_at_the_limit() {
    let sessions = Sessions::default();
    let first = sessions.create(None).id;
    for _ in 0..MAX_SESSIONS {
        advance(Duration::from_millis(1)).await;
        sessions.create(None);
    }
    assert!(sessions.find(&first).is_none());
    assert_eq!(sessions.lock().len(), MAX_SESSIONS);
}
