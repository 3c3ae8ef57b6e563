//! Idle connections to endpoints, closed early so that a silent one is rarely met.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tokio::time::{Instant, interval};

use crate::connection::Connection;

/// Share of the time for which the other end keeps a connection in which it is used again.
const KEEP_ALIVE_SHARE: f64 = 0.7;

/// Bounds of a [`Pool`].
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// Most idle connections to one endpoint.
    pub max_idle_per_endpoint: usize,
    /// Longest time that a connection may lie idle.
    pub idle_timeout: Duration,
    /// Bound on connecting.
    pub connect_timeout: Duration,
}

/// Idle connections by address; clones share them.
#[derive(Clone, Debug)]
pub struct Pool {
    cfg: PoolConfig,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
}

impl Pool {
    /// An empty pool.
    pub fn new(cfg: PoolConfig) -> Self {
        Self {
            cfg,
            idle: Arc::default(),
        }
    }

    /// The idle connection to `address` that was used last, if one is still good.
    pub fn checkout(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(mut connection) = connections.pop() {
            if connection.is_usable()
                && connection.idle_since.elapsed() < self.idle_limit(&connection)
            {
                return Some(connection);
            }
        }
        None
    }

    /// Well within the time that the other end keeps it, where that is known.
    fn idle_limit(&self, connection: &Connection) -> Duration {
        let kept = connection
            .keep_alive
            .map(|kept| kept.mul_f64(KEEP_ALIVE_SHARE));
        kept.map_or(self.cfg.idle_timeout, |kept| {
            kept.min(self.cfg.idle_timeout)
        })
    }

    /// A new connection to `address`.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, String> {
        Connection::open(address, self.cfg.connect_timeout).await
    }

    /// Takes `connection` back after a call that ended well.
    pub fn checkin(&self, address: SocketAddr, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < self.cfg.max_idle_per_endpoint {
            connections.push(connection);
        }
    }

    /// Closes every idle connection to `address`: one of them fell silent, so all are suspect.
    pub fn close_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Closes every idle connection: what made one silent may have made others silent too.
    pub fn close_all_idle(&self) {
        self.lock().clear();
    }

    /// Closes connections that lie idle for too long, until dropped.
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

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().expect("no holder of this lock panics")
    }
}
