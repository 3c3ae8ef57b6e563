//! A fault-injecting proxy for TCP and UDP on loopback.

mod control;
mod pump;
mod rules;
mod settings;
mod tcp;
mod udp;

use std::net::SocketAddr;

use eyre::WrapErr;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::watch,
    task::JoinSet,
};

pub use self::{
    rules::{Cut, Direction, Rules},
    settings::run_file,
};

/// What is passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// Streams.
    Tcp,
    /// Datagrams.
    Udp,
}

/// What the owner of a proxy can change while it runs.
#[derive(Clone, Debug)]
pub(crate) struct Switch {
    /// Where connections go; those that come before it is known are reset.
    upstream: watch::Sender<Option<SocketAddr>>,
    /// Connections numbered up to here pass nothing any more.
    silent_to: watch::Sender<u64>,
    /// Connections numbered up to here are reset.
    reset_to: watch::Sender<u64>,
    /// Number of the newest connection.
    newest: watch::Sender<u64>,
}

impl Default for Switch {
    fn default() -> Self {
        Self {
            upstream: watch::Sender::new(None),
            silent_to: watch::Sender::new(0),
            reset_to: watch::Sender::new(0),
            newest: watch::Sender::new(0),
        }
    }
}

/// A running proxy; dropping it ends it and cuts what passes.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    rules: watch::Sender<Rules>,
    switch: Switch,
    _tasks: JoinSet<()>,
}

impl Proxy {
    /// A TCP proxy on a port given by the kernel, without an upstream yet.
    pub async fn start(seed: u64) -> eyre::Result<Self> {
        Self::bind(Protocol::Tcp, SocketAddr::from(([127, 0, 0, 1], 0)), seed).await
    }

    /// A UDP proxy on a port given by the kernel, without an upstream yet.
    pub async fn start_udp(seed: u64) -> eyre::Result<Self> {
        Self::bind(Protocol::Udp, SocketAddr::from(([127, 0, 0, 1], 0)), seed).await
    }

    /// A proxy on `listen`.
    pub async fn bind(protocol: Protocol, listen: SocketAddr, seed: u64) -> eyre::Result<Self> {
        let rules = watch::Sender::new(Rules::default());
        let receiver = rules.subscribe();
        match protocol {
            Protocol::Tcp => {
                let same = move |_| receiver.clone();
                Self::tcp(listen, seed, rules, same).await
            }
            Protocol::Udp => Self::udp(listen, seed, rules, receiver).await,
        }
    }

    /// A TCP proxy whose rules depend on who connects: `rules_for` gets the peer's address.
    pub async fn start_with_peer_rules<F>(seed: u64, rules_for: F) -> eyre::Result<Self>
    where
        F: Fn(SocketAddr) -> watch::Receiver<Rules> + Send + 'static,
    {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::tcp(
            listen,
            seed,
            watch::Sender::new(Rules::default()),
            rules_for,
        )
        .await
    }

    async fn tcp<F>(
        listen: SocketAddr,
        seed: u64,
        rules: watch::Sender<Rules>,
        rules_for: F,
    ) -> eyre::Result<Self>
    where
        F: Fn(SocketAddr) -> watch::Receiver<Rules> + Send + 'static,
    {
        let listener = TcpListener::bind(listen).await;
        let listener = listener.wrap_err_with(|| format!("bind the proxy on {listen}"))?;
        let address = listener.local_addr()?;
        let switch = Switch::default();
        let mut tasks = JoinSet::new();
        tasks.spawn(tcp::accept(listener, switch.clone(), rules_for, seed));
        Ok(Self {
            address,
            rules,
            switch,
            _tasks: tasks,
        })
    }

    async fn udp(
        listen: SocketAddr,
        seed: u64,
        rules: watch::Sender<Rules>,
        receiver: watch::Receiver<Rules>,
    ) -> eyre::Result<Self> {
        let socket = UdpSocket::bind(listen).await;
        let socket = socket.wrap_err_with(|| format!("bind the proxy on {listen}"))?;
        let address = socket.local_addr()?;
        let switch = Switch::default();
        let mut tasks = JoinSet::new();
        tasks.spawn(udp::run(socket, switch.clone(), receiver, seed));
        Ok(Self {
            address,
            rules,
            switch,
            _tasks: tasks,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends new connections to `upstream` from now on.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.switch.upstream.send_replace(Some(upstream));
    }

    /// Puts `rules` in force for old and new connections.
    pub fn set_rules(&self, rules: Rules) {
        self.rules.send_replace(rules);
    }

    /// The rules in force.
    pub fn rules(&self) -> Rules {
        self.rules.borrow().clone()
    }

    /// Connections open now go silent for good, both ends still open; new ones pass.
    pub fn silence_connections(&self) {
        let newest = *self.switch.newest.borrow();
        self.switch.silent_to.send_replace(newest);
    }

    /// Resets the connections open now; new ones pass.
    pub fn reset_connections(&self) {
        let newest = *self.switch.newest.borrow();
        self.switch.reset_to.send_replace(newest);
    }

    /// How many connections came so far.
    pub fn connection_count(&self) -> u64 {
        *self.switch.newest.borrow()
    }
}
