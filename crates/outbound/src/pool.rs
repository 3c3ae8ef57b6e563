//! Pool of idle connections to endpoints. Closes them early, so that calls rarely get one whose
//! peer has gone silent.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tokio::time::{Instant, interval};

use crate::connection::Connection;

/// Share of the peer's keep-alive time during which an idle connection is reused.
const KEEP_ALIVE_SHARE: f64 = 0.7;

/// Limits of a [`Pool`].
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// Most idle connections to one endpoint.
    pub max_idle_per_endpoint: usize,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
    /// Timeout of connecting.
    pub connect_timeout: Duration,
}

/// Connections to one address for calls of one kind.
type Key = (u8, SocketAddr);

/// Pool of idle connections by address. Clones share it.
#[derive(Clone, Debug)]
pub struct Pool {
    cfg: PoolConfig,
    /// Kind of the calls that the connections carry.
    kind: u8,
    idle: Arc<Mutex<HashMap<Key, Vec<Connection>>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(cfg: PoolConfig) -> Self {
        Self {
            cfg,
            kind: 0,
            idle: Arc::default(),
        }
    }

    /// Returns the same pool for another kind of calls, whose connections carry no calls of this kind.
    #[must_use]
    pub fn separate(&self) -> Self {
        Self {
            kind: self.kind + 1,
            ..self.clone()
        }
    }

    /// Removes and returns the most recently used idle connection to `address` that is still usable.
    pub fn checkout(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&(self.kind, address))?;
        while let Some(mut connection) = connections.pop() {
            if connection.is_usable()
                && connection.idle_since.elapsed() < self.idle_limit(&connection)
            {
                return Some(connection);
            }
        }
        None
    }

    /// Returns the idle timeout, shortened to [`KEEP_ALIVE_SHARE`] of the peer's keep-alive time if
    /// that is known.
    fn idle_limit(&self, connection: &Connection) -> Duration {
        let keep_alive = connection
            .keep_alive
            .map(|time| time.mul_f64(KEEP_ALIVE_SHARE));
        keep_alive.map_or(self.cfg.idle_timeout, |time| {
            time.min(self.cfg.idle_timeout)
        })
    }

    /// Opens a new connection to `address`.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, String> {
        Connection::open(address, self.cfg.connect_timeout).await
    }

    /// Returns `connection` to the pool after a complete response, or closes it if it is for a single
    /// call.
    pub fn checkin(&self, address: SocketAddr, mut connection: Connection) {
        if connection.is_single_use {
            return;
        }
        connection.idle_since = Instant::now();
        let mut idle = self.lock();
        let connections = idle.entry((self.kind, address)).or_default();
        if connections.len() < self.cfg.max_idle_per_endpoint {
            connections.push(connection);
        }
    }

    /// Closes all idle connections to `address`, for use when one of them has gone silent.
    pub fn close_idle(&self, address: SocketAddr) {
        self.lock().retain(|(_, other), _| *other != address);
    }

    /// Closes all idle connections, since the cause that silenced one may affect the others.
    pub fn close_all_idle(&self) {
        self.lock().clear();
    }

    /// Removes the idle connections that their peers closed; returns the peers' addresses.
    pub fn remove_closed(&self) -> BTreeSet<SocketAddr> {
        let mut closed = BTreeSet::new();
        self.lock().retain(|(_, address), connections| {
            let count = connections.len();
            connections.retain_mut(Connection::is_usable);
            if connections.len() < count {
                closed.insert(*address);
            }
            !connections.is_empty()
        });
        closed
    }

    /// Closes connections that exceed the idle timeout, until the future is dropped.
    pub async fn reap(self) {
        let mut tick = interval(self.cfg.idle_timeout / 2);
        loop {
            tick.tick().await;
            let limit = self.cfg.idle_timeout;
            self.lock().retain(|_, connections| {
                connections.retain(|c| c.idle_since.elapsed() < limit);
                !connections.is_empty()
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Key, Vec<Connection>>> {
        self.idle.lock().expect("no holder of this lock panics")
    }
}
