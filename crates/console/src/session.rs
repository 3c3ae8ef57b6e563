//! Browser sessions and their form tokens.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use rand::distr::{Alphanumeric, SampleString};
use tokio::time::Instant;

/// Maximum number of sessions; beyond it, a new session replaces the oldest.
const MAX_SESSIONS: usize = 1_000;
const SESSION_LIFETIME: Duration = Duration::from_hours(12);
const SECRET_CHARS: usize = 32;

/// One browser's session.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    /// Session id, the value of the cookie.
    pub(crate) id: String,
    /// Token in every form of this session, which proves that the console served the form.
    pub(crate) form_token: String,
    /// Name of the operator, if operators log in.
    pub(crate) operator: Option<String>,
    started_at: Instant,
}

/// All sessions of this process, by id; a restart ends them.
#[derive(Debug, Default)]
pub(crate) struct Sessions(Mutex<HashMap<String, Session>>);

impl Sessions {
    /// Starts a session of `operator`.
    pub(crate) fn create(&self, operator: Option<String>) -> Session {
        let session = Session {
            id: random_secret(),
            form_token: random_secret(),
            operator,
            started_at: Instant::now(),
        };
        let mut sessions = self.lock();
        sessions.retain(|_, s| s.started_at.elapsed() < SESSION_LIFETIME);
        let oldest = sessions
            .values()
            .min_by_key(|s| s.started_at)
            .map(|s| s.id.clone());
        match oldest {
            Some(oldest) if sessions.len() >= MAX_SESSIONS => sessions.remove(&oldest),
            _ => None,
        };
        sessions.insert(session.id.clone(), session.clone());
        session
    }

    /// Returns the session with this id unless it has expired.
    pub(crate) fn find(&self, id: &str) -> Option<Session> {
        let session = self.lock().get(id).cloned()?;
        (session.started_at.elapsed() < SESSION_LIFETIME).then_some(session)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Session>> {
        self.0.lock().expect("no holder of this lock panics")
    }
}

fn random_secret() -> String {
    Alphanumeric.sample_string(&mut rand::rng(), SECRET_CHARS)
}

#[cfg(test)]
mod tests;
