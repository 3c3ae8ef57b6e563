//! Idle connections to endpoints, closed early so that a silent one is rarely met.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tokio::time::{Instant, interval};

use crate::connection::Connection;

/// Bounds of a [`Pool`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolConfig {
    /// Most idle connections to one endpoint.
    pub(crate) idle_per_endpoint: usize,
    /// Longest time that a connection may lie idle.
    pub(crate) idle: Duration,
    /// Bound on connecting.
    pub(crate) connect: Duration,
}

/// Idle connections by address; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    cfg: PoolConfig,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
}

impl Pool {
    /// An empty pool.
    pub(crate) fn new(cfg: PoolConfig) -> Self {
        Self {
            cfg,
            idle: Arc::default(),
        }
    }

    /// The idle connection to `address` that was used last, if one is still good.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(mut connection) = connections.pop() {
            if connection.is_usable() && connection.idle_since.elapsed() < self.cfg.idle {
                return Some(connection);
            }
        }
        None
    }

    /// A new connection to `address`.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Result<Connection, String> {
        Connection::open(address, self.cfg.connect).await
    }

    /// Takes `connection` back after a call that ended well.
    pub(crate) fn put(&self, address: SocketAddr, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < self.cfg.idle_per_endpoint {
            connections.push(connection);
        }
    }

    /// Closes every idle connection to `address`: one of them fell silent, so all are suspect.
    pub(crate) fn suspect(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Closes every idle connection: what made one silent may have made others silent too.
    pub(crate) fn suspect_all(&self) {
        self.lock().clear();
    }

    /// Closes connections that lie idle for too long, until dropped.
    pub(crate) async fn reap(self) {
        let mut tick = interval(self.cfg.idle / 2);
        loop {
            tick.tick().await;
            let limit = self.cfg.idle;
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
