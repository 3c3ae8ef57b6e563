//! The network between our processes: one proxy for each pair that talks.

use std::{net::SocketAddr, sync::Mutex, time::Duration};

use crate::proxy::{Cut, Proxy, Rules};

/// A VM and the availability zone in which it stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VmName {
    pub(crate) name: String,
    pub(crate) az: String,
}

/// What listens on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listener {
    Keeper,
    Gate,
}

#[derive(Debug)]
struct Wire {
    from: VmName,
    to: VmName,
    listener: Listener,
    proxy: Proxy,
}

/// Where something listens now.
#[derive(Debug)]
struct Upstream {
    vm: String,
    listener: Listener,
    address: SocketAddr,
}

/// All wires of a fleet.
#[derive(Debug)]
pub(crate) struct Net {
    wires: Mutex<Vec<Wire>>,
    upstreams: Mutex<Vec<Upstream>>,
    az_distance: Duration,
    seed: u64,
}

impl Net {
    pub(crate) fn new(az_distance: Duration, seed: u64) -> Self {
        Self {
            wires: Mutex::default(),
            upstreams: Mutex::default(),
            az_distance,
            seed,
        }
    }

    /// The address at which `from` reaches `listener` of `to`.
    pub(crate) async fn wire(
        &self,
        from: &VmName,
        to: &VmName,
        listener: Listener,
    ) -> eyre::Result<SocketAddr> {
        if let Some(address) = self.find(from, to, listener) {
            return Ok(address);
        }
        let proxy = Proxy::start(self.seed).await?;
        proxy.set_rules(self.rules(from, to, false));
        if let Some(upstream) = self.upstream(&to.name, listener) {
            proxy.set_upstream(upstream);
        }
        let address = proxy.address();
        self.wires().push(Wire {
            from: from.clone(),
            to: to.clone(),
            listener,
            proxy,
        });
        Ok(address)
    }

    fn wires(&self) -> std::sync::MutexGuard<'_, Vec<Wire>> {
        self.wires.lock().expect("no panic under this lock")
    }

    fn find(&self, from: &VmName, to: &VmName, listener: Listener) -> Option<SocketAddr> {
        let wires = self.wires();
        let is_it = |w: &&Wire| w.from == *from && w.to == *to && w.listener == listener;
        wires.iter().find(is_it).map(|w| w.proxy.address())
    }

    fn upstreams(&self) -> std::sync::MutexGuard<'_, Vec<Upstream>> {
        self.upstreams.lock().expect("no panic under this lock")
    }

    fn upstream(&self, vm: &str, listener: Listener) -> Option<SocketAddr> {
        let upstreams = self.upstreams();
        let is_it = |u: &&Upstream| u.vm == vm && u.listener == listener;
        upstreams.iter().find(is_it).map(|u| u.address)
    }

    fn rules(&self, from: &VmName, to: &VmName, is_cut: bool) -> Rules {
        let mut rules = match from.az == to.az {
            true => Rules::default(),
            false => Rules::delayed(self.az_distance),
        };
        if is_cut {
            rules.cut = Cut::Both;
        }
        rules
    }

    /// Tells all wires to `listener` of VM `to` where it listens now.
    pub(crate) fn set_upstream(&self, to: &str, listener: Listener, address: SocketAddr) {
        let mut upstreams = self.upstreams();
        upstreams.retain(|u| u.vm != to || u.listener != listener);
        upstreams.push(Upstream {
            vm: to.to_owned(),
            listener,
            address,
        });
        drop(upstreams);
        let wires = self.wires();
        let is_it = |w: &&Wire| w.to.name == to && w.listener == listener;
        wires
            .iter()
            .filter(is_it)
            .for_each(|w| w.proxy.set_upstream(address));
    }

    /// Cuts the wires for which `is_cut` holds; all others are whole.
    pub(crate) fn cut(&self, is_cut: impl Fn(&VmName, &VmName) -> bool) {
        for wire in self.wires().iter() {
            let is_cut = is_cut(&wire.from, &wire.to);
            wire.proxy
                .set_rules(self.rules(&wire.from, &wire.to, is_cut));
        }
    }
}
