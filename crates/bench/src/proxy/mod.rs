//! Fault-injecting proxy for TCP and UDP on loopback.

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

/// Transport protocol of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// TCP streams.
    Tcp,
    /// UDP datagrams.
    Udp,
}

/// Settings shared with the tasks of a running proxy. Connections are numbered from 1 as they come.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionControl {
    /// Address of the upstream; TCP connections accepted before it is set are reset.
    upstream: watch::Sender<Option<SocketAddr>>,
    /// Connections with this number or a lower one are silent for good.
    silenced_up_to: watch::Sender<u64>,
    /// TCP connections with this number or a lower one are reset.
    reset_up_to: watch::Sender<u64>,
    /// Number of the last connection.
    last_number: watch::Sender<u64>,
}

impl Default for ConnectionControl {
    fn default() -> Self {
        Self {
            upstream: watch::Sender::new(None),
            silenced_up_to: watch::Sender::new(0),
            reset_up_to: watch::Sender::new(0),
            last_number: watch::Sender::new(0),
        }
    }
}

/// A running proxy; dropping it stops it and closes its connections.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    rules: watch::Sender<Rules>,
    control: ConnectionControl,
    _tasks: JoinSet<()>,
}

impl Proxy {
    /// Starts a TCP proxy on a free loopback port, without an upstream.
    pub async fn start(seed: u64) -> eyre::Result<Self> {
        Self::bind(Protocol::Tcp, SocketAddr::from(([127, 0, 0, 1], 0)), seed).await
    }

    /// Starts a UDP proxy on a free loopback port, without an upstream.
    pub async fn start_udp(seed: u64) -> eyre::Result<Self> {
        Self::bind(Protocol::Udp, SocketAddr::from(([127, 0, 0, 1], 0)), seed).await
    }

    /// Starts a proxy on `listen`, without an upstream; fails if the address cannot be bound.
    pub async fn bind(protocol: Protocol, listen: SocketAddr, seed: u64) -> eyre::Result<Self> {
        let rules = watch::Sender::new(Rules::default());
        let receiver = rules.subscribe();
        match protocol {
            Protocol::Tcp => {
                let shared_rules = move |_| receiver.clone();
                Self::bind_tcp(listen, seed, rules, shared_rules).await
            }
            Protocol::Udp => Self::bind_udp(listen, seed, rules, receiver).await,
        }
    }

    /// Starts a TCP proxy whose rules depend on the peer: `rules_for` maps its address to its rules.
    /// `set_rules` has no effect on this proxy.
    pub async fn start_with_peer_rules<F>(seed: u64, rules_for: F) -> eyre::Result<Self>
    where
        F: Fn(SocketAddr) -> watch::Receiver<Rules> + Send + 'static,
    {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::bind_tcp(
            listen,
            seed,
            watch::Sender::new(Rules::default()),
            rules_for,
        )
        .await
    }

    async fn bind_tcp<F>(
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
        let control = ConnectionControl::default();
        let mut tasks = JoinSet::new();
        tasks.spawn(tcp::accept(listener, control.clone(), rules_for, seed));
        Ok(Self {
            address,
            rules,
            control,
            _tasks: tasks,
        })
    }

    async fn bind_udp(
        listen: SocketAddr,
        seed: u64,
        rules: watch::Sender<Rules>,
        receiver: watch::Receiver<Rules>,
    ) -> eyre::Result<Self> {
        let socket = UdpSocket::bind(listen).await;
        let socket = socket.wrap_err_with(|| format!("bind the proxy on {listen}"))?;
        let address = socket.local_addr()?;
        let control = ConnectionControl::default();
        let mut tasks = JoinSet::new();
        tasks.spawn(udp::run(socket, control.clone(), receiver, seed));
        Ok(Self {
            address,
            rules,
            control,
            _tasks: tasks,
        })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the upstream of new connections.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.control.upstream.send_replace(Some(upstream));
    }

    /// Replaces the rules, for existing and new connections.
    pub fn set_rules(&self, rules: Rules) {
        self.rules.send_replace(rules);
    }

    /// Returns the current rules.
    pub fn rules(&self) -> Rules {
        self.rules.borrow().clone()
    }

    /// Stops passing anything on the current connections, which stay open; new ones are not affected.
    pub fn silence_connections(&self) {
        let last_number = *self.control.last_number.borrow();
        self.control.silenced_up_to.send_replace(last_number);
    }

    /// Resets the current TCP connections; new ones are not affected.
    pub fn reset_connections(&self) {
        let last_number = *self.control.last_number.borrow();
        self.control.reset_up_to.send_replace(last_number);
    }

    /// Returns the number of connections so far; for UDP, of known client addresses.
    pub fn connection_count(&self) -> u64 {
        *self.control.last_number.borrow()
    }
}
