//! The network between the project's processes: one proxy for each connected pair.

use std::{net::SocketAddr, sync::Mutex, time::Duration};

use crate::proxy::{Cut, Proxy, Rules};

/// A VM's name and its availability zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct VmId {
    pub(crate) name: String,
    pub(crate) az: String,
}

/// A role that accepts links on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listener {
    Keeper,
    Gate,
}

#[derive(Debug)]
struct ProxyLink {
    from: VmId,
    to: VmId,
    listener: Listener,
    proxy: Proxy,
}

/// Current address of a listener.
#[derive(Debug)]
struct Upstream {
    vm: String,
    listener: Listener,
    address: SocketAddr,
}

/// All proxy links between the processes of a fleet.
#[derive(Debug)]
pub(crate) struct ProxyNetwork {
    links: Mutex<Vec<ProxyLink>>,
    upstreams: Mutex<Vec<Upstream>>,
    az_latency: Duration,
    seed: u64,
}

impl ProxyNetwork {
    pub(crate) fn new(az_latency: Duration, seed: u64) -> Self {
        Self {
            links: Mutex::default(),
            upstreams: Mutex::default(),
            az_latency,
            seed,
        }
    }

    /// Returns the address at which `from` reaches `listener` of `to`, starting a proxy if needed.
    pub(crate) async fn proxy_address(
        &self,
        from: &VmId,
        to: &VmId,
        listener: Listener,
    ) -> eyre::Result<SocketAddr> {
        if let Some(address) = self.find_proxy(from, to, listener) {
            return Ok(address);
        }
        let proxy = Proxy::start(self.seed).await?;
        proxy.set_rules(self.rules(from, to, false));
        if let Some(upstream) = self.upstream(&to.name, listener) {
            proxy.set_upstream(upstream);
        }
        let address = proxy.address();
        self.links().push(ProxyLink {
            from: from.clone(),
            to: to.clone(),
            listener,
            proxy,
        });
        Ok(address)
    }

    fn links(&self) -> std::sync::MutexGuard<'_, Vec<ProxyLink>> {
        self.links.lock().expect("no panic under this lock")
    }

    fn find_proxy(&self, from: &VmId, to: &VmId, listener: Listener) -> Option<SocketAddr> {
        let links = self.links();
        let matches = |l: &&ProxyLink| l.from == *from && l.to == *to && l.listener == listener;
        links.iter().find(matches).map(|l| l.proxy.address())
    }

    fn upstreams(&self) -> std::sync::MutexGuard<'_, Vec<Upstream>> {
        self.upstreams.lock().expect("no panic under this lock")
    }

    fn upstream(&self, vm: &str, listener: Listener) -> Option<SocketAddr> {
        let upstreams = self.upstreams();
        let matches = |u: &&Upstream| u.vm == vm && u.listener == listener;
        upstreams.iter().find(matches).map(|u| u.address)
    }

    fn rules(&self, from: &VmId, to: &VmId, is_cut: bool) -> Rules {
        let mut rules = match from.az == to.az {
            true => Rules::default(),
            false => Rules::delayed(self.az_latency),
        };
        if is_cut {
            rules.cut = Cut::Both;
        }
        rules
    }

    /// Points all links to `listener` of VM `to` at its new address.
    pub(crate) fn set_upstream(&self, to: &str, listener: Listener, address: SocketAddr) {
        let mut upstreams = self.upstreams();
        upstreams.retain(|u| u.vm != to || u.listener != listener);
        upstreams.push(Upstream {
            vm: to.to_owned(),
            listener,
            address,
        });
        drop(upstreams);
        let links = self.links();
        let matches = |l: &&ProxyLink| l.to.name == to && l.listener == listener;
        links
            .iter()
            .filter(matches)
            .for_each(|l| l.proxy.set_upstream(address));
    }

    /// Cuts the links for which `is_cut` returns true and restores all others.
    pub(crate) fn set_cuts(&self, is_cut: impl Fn(&VmId, &VmId) -> bool) {
        for link in self.links().iter() {
            let is_cut = is_cut(&link.from, &link.to);
            link.proxy
                .set_rules(self.rules(&link.from, &link.to, is_cut));
        }
    }
}
