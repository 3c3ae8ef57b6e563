//! Who is logged in, and the token that proves that a form came from here.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use rand::distr::{Alphanumeric, SampleString};
use tokio::time::Instant;

/// Most sessions kept; the oldest goes first.
const MAX_SESSIONS: usize = 1_000;
const LIFETIME: Duration = Duration::from_hours(12);
const SECRET_CHARS: usize = 32;

/// One browser's session.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    /// The cookie's value.
    pub(crate) id: String,
    /// What every form of this session carries.
    pub(crate) form_token: String,
    /// The operator's name, where operators log in.
    pub(crate) operator: Option<String>,
    began: Instant,
}

/// All sessions of this process; a restart ends them.
#[derive(Debug, Default)]
pub(crate) struct Sessions(Mutex<HashMap<String, Session>>);

impl Sessions {
    /// Begins a session of `operator`.
    pub(crate) fn begin(&self, operator: Option<String>) -> Session {
        let session = Session {
            id: secret(),
            form_token: secret(),
            operator,
            began: Instant::now(),
        };
        let mut sessions = self.lock();
        sessions.retain(|_, s| s.began.elapsed() < LIFETIME);
        let oldest = sessions
            .values()
            .min_by_key(|s| s.began)
            .map(|s| s.id.clone());
        match oldest {
            Some(oldest) if sessions.len() >= MAX_SESSIONS => sessions.remove(&oldest),
            _ => None,
        };
        sessions.insert(session.id.clone(), session.clone());
        session
    }

    /// The live session with this id.
    pub(crate) fn find(&self, id: &str) -> Option<Session> {
        let session = self.lock().get(id).cloned()?;
        (session.began.elapsed() < LIFETIME).then_some(session)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Session>> {
        self.0.lock().expect("no holder of this lock panics")
    }
}

fn secret() -> String {
    Alphanumeric.sample_string(&mut rand::rng(), SECRET_CHARS)
}

#[cfg(test)]
mod tests;
