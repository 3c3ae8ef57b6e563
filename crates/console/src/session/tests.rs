use std::time::Duration;

use tokio::time::advance;

use super::{LIFETIME, MAX_SESSIONS, Sessions};

#[tokio::test(start_paused = true)]
async fn a_session_ends_with_its_lifetime() {
    let sessions = Sessions::default();
    let id = sessions.begin(None).id;
    assert!(sessions.find(&id).is_some());
    advance(LIFETIME).await;
    assert!(sessions.find(&id).is_none());
}

#[tokio::test(start_paused = true)]
async fn the_oldest_session_makes_room() {
    let sessions = Sessions::default();
    let first = sessions.begin(None).id;
    for _ in 0..MAX_SESSIONS {
        advance(Duration::from_millis(1)).await;
        sessions.begin(None);
    }
    assert!(sessions.find(&first).is_none());
    assert_eq!(sessions.lock().len(), MAX_SESSIONS);
}
