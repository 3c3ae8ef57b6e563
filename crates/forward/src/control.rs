//! What a gate gets from the keepers: the declaration, its confirmation, endpoints and other gates.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use link::{
    Channel, LinkConfig, Peer,
    follower::{Follower, FollowerConfig},
    keeper::{KeeperAddress, KeeperReply, KeeperRequest},
};
use logs::Event;
use membership::{
    Announcement, Load, Mirror, Readiness, Request as TableRequest, StageRole, mirror,
};
use spdlog::warn;
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    blocked_parts::BlockedParts,
    fleet::{Fleet, GATE_SERVICE},
    freshness::{Freshness, boot_time},
    rules::Rules,
};

/// Time between requests to confirm that the declaration is the latest one.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(700);
/// Timeout of one confirmation request.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay after a round in which no keeper confirmed.
const CONFIRM_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Consecutive failed rounds after which the keepers of the settings are contacted as well.
const SEED_FALLBACK_FAILURES: u32 = 10;
/// How long this gate may take to apply a confirmed revision.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);

/// What a gate needs to follow the keepers and to announce itself to them.
#[derive(Debug)]
pub(crate) struct KeeperSync {
    pub(crate) links: LinkConfig,
    pub(crate) seeds: watch::Receiver<Vec<SocketAddr>>,
    pub(crate) own_link: SocketAddr,
    pub(crate) freshness: Freshness,
    pub(crate) blocked_parts: BlockedParts,
    pub(crate) fleet: Fleet,
    pub(crate) draining: watch::Receiver<bool>,
    /// True if nothing is sent until keepers have confirmed which zones are evacuated.
    pub(crate) awaits_evacuations: bool,
}

/// State received from the keepers. Dropping it stops the tasks that update it.
#[derive(Debug)]
pub(crate) struct KeeperFeed {
    pub(crate) follower: Follower,
    pub(crate) rules: watch::Receiver<Arc<Rules>>,
    pub(crate) mirror: watch::Receiver<Mirror>,
    /// The known keepers, those of the own availability zone first.
    pub(crate) keepers: watch::Receiver<Vec<Peer>>,
    pub(crate) _tasks: JoinSet<()>,
}

impl KeeperSync {
    /// Starts the tasks that follow the keepers.
    pub(crate) fn start(self) -> KeeperFeed {
        if self.awaits_evacuations {
            self.fleet.await_evacuations();
        }
        let (keepers, known) = watch::channel(self.with_seeds(&[]));
        let follower = Follower::start_with_updates(known.clone(), FollowerConfig::default());
        let (mirror_tx, mirror) = watch::channel(Mirror::default());
        let (rules_tx, rules) = watch::channel(Arc::new(Rules::default()));
        let mut tasks = JoinSet::new();
        tasks.spawn(mirror::follow(known.clone(), mirror_tx));
        tasks.spawn(update_rules(follower.clone(), rules_tx));
        tasks.spawn(self.run_confirmations(follower.clone(), keepers));
        KeeperFeed {
            follower,
            rules,
            mirror,
            keepers: known,
            _tasks: tasks,
        }
    }

    /// Periodically confirms that the declaration in force is the latest one, and announces this
    /// gate.
    async fn run_confirmations(mut self, follower: Follower, keepers: watch::Sender<Vec<Peer>>) {
        let mut preferred: Option<SocketAddr> = None;
        let mut seq = 0;
        let mut was_fresh = false;
        let mut failures = 0;
        loop {
            let known = keepers.borrow().clone();
            let confirmed = self.confirm(&known, preferred, &follower).await;
            let is_confirmed = confirmed.is_some();
            failures = if is_confirmed { 0 } else { failures + 1 };
            if failures == SEED_FALLBACK_FAILURES {
                let peers = self.with_seeds(&known);
                if peers.len() > known.len() {
                    keepers.send_replace(peers);
                }
                failures = 0;
            }
            if let Some((peer, addresses)) = confirmed {
                preferred = Some(peer.address());
                seq += 1;
                self.announce(&peer, seq).await;
                self.update_keepers(&keepers, addresses);
            }
            let is_fresh = self.freshness.is_fresh();
            if is_fresh != was_fresh {
                let age_ms = self.freshness.age().map(|age| age.as_millis() as u64);
                logs::write(None, &Event::Confirmation { is_fresh, age_ms });
                was_fresh = is_fresh;
            }
            let pause = if is_confirmed {
                CONFIRM_INTERVAL
            } else {
                CONFIRM_RETRY_DELAY
            };
            tokio::select! {
                () = sleep(pause) => {}
                // Announces at once that this gate is leaving.
                _ = self.draining.changed() => {}
            }
        }
    }

    /// Returns the known keepers and those of the settings.
    fn with_seeds(&self, known: &[Peer]) -> Vec<Peer> {
        let mut peers = known.to_vec();
        let seeds = self.seeds.borrow().clone();
        // Spreads the load of gates that start at the same time over the seeds.
        let offset = xxh3_64(self.links.identity.vm.as_bytes()) as usize % seeds.len().max(1);
        for address in seeds.iter().cycle().skip(offset).take(seeds.len()) {
            if !peers.iter().any(|peer| peer.address() == *address) {
                peers.push(Peer::start(&address.to_string(), *address, &self.links));
            }
        }
        peers
    }

    /// Returns the first keeper that confirms, and the keepers that it lists.
    async fn confirm(
        &self,
        known: &[Peer],
        preferred: Option<SocketAddr>,
        follower: &Follower,
    ) -> Option<(Peer, Vec<KeeperAddress>)> {
        let mut order: Vec<&Peer> = known.iter().filter(|peer| peer.is_connected()).collect();
        order.sort_by_key(|peer| Some(peer.address()) != preferred);
        for peer in order {
            let (requested_at, table_requested_at) = (boot_time(), Instant::now());
            let reply = peer.call(Channel::Keeper, &KeeperRequest::Confirm, CONFIRM_TIMEOUT);
            let Ok(KeeperReply::Confirmed {
                revision,
                keepers,
                blocked_version,
                departures_version,
                evacuations_version,
                evacuated_zones,
            }) = reply.await
            else {
                continue;
            };
            let fleet = &self.fleet;
            fleet.set_evacuated(evacuations_version, evacuated_zones);
            fleet.record_table_contact(table_requested_at);
            follower.note_revision(peer.address(), revision);
            let mut in_force = follower.in_force();
            let has_caught_up =
                in_force.wait_for(|f| f.as_ref().is_some_and(|f| f.revision >= revision));
            let has_caught_up = timeout(CATCH_UP_TIMEOUT, has_caught_up)
                .await
                .is_ok_and(|f| f.is_ok());
            let has_blocked_parts = self.has_blocked_parts(peer, blocked_version).await;
            if has_blocked_parts {
                self.blocked_parts.set_loaded();
            }
            let has_departures = self.has_departures(peer, departures_version).await;
            if has_caught_up && has_blocked_parts && has_departures {
                self.freshness.confirm(requested_at);
            }
            return Some((peer.clone(), keepers));
        }
        None
    }

    /// Reads the keepers' list of blocked parts unless this gate has its `version`. Returns false if
    /// it can't be read.
    async fn has_blocked_parts(&self, peer: &Peer, version: u64) -> bool {
        if version == self.blocked_parts.version() {
            return true;
        }
        let requested_at = Instant::now();
        let req = KeeperRequest::BlockedParts;
        let reply = peer.call(Channel::Keeper, &req, CONFIRM_TIMEOUT).await;
        match reply {
            Ok(KeeperReply::BlockedParts { version, parts }) => {
                let blocked_parts = &self.blocked_parts;
                blocked_parts.apply_keepers_list(version, parts, requested_at);
                true
            }
            reply => {
                warn!("failed to read the blocked parts", kv: {
                    keeper = peer.name(), reply = format!("{reply:?}")
                });
                false
            }
        }
    }

    /// Reads the keepers' departures unless this gate has those up to `version`. Returns false if they
    /// can't be read.
    async fn has_departures(&self, peer: &Peer, version: u64) -> bool {
        let mut known = self.fleet.departures_version();
        while known != version {
            let req = KeeperRequest::Departures { since: known };
            let reply = peer.call(Channel::Keeper, &req, CONFIRM_TIMEOUT).await;
            let Ok(KeeperReply::Departures {
                version: read,
                departures,
            }) = reply
            else {
                warn!("failed to read the departures", kv: {
                    keeper = peer.name(), reply = format!("{reply:?}")
                });
                return false;
            };
            self.fleet.record_departures(read, departures, peer.name());
            if read >= version || read == known {
                return read >= version;
            }
            known = read;
        }
        true
    }

    async fn announce(&self, keeper: &Peer, seq: u64) {
        let identity = &self.links.identity;
        let announcement = Announcement {
            endpoint: identity.vm.clone(),
            service: GATE_SERVICE.to_owned(),
            az: identity.az.clone(),
            address: format!("http://{}", self.own_link),
            incarnation: identity.incarnation,
            seq,
            state: match *self.draining.borrow() {
                true => Readiness::Leaving,
                false => Readiness::Ready,
            },
            models: Vec::new(),
            role: StageRole::Both,
            checks_fencing: false,
            slots: None,
            cold_left_ms: 0,
            load: Load::default(),
        };
        let req = TableRequest::Announce(Box::new(announcement));
        // A lost announcement is replaced by the next one.
        let reply = keeper
            .call::<_, membership::Reply>(Channel::Membership, &req, CONFIRM_TIMEOUT)
            .await;
        if !matches!(reply, Ok(membership::Reply::Acknowledged)) {
            warn!("keeper did not accept the announcement", kv: {
                keeper = keeper.name(), reply = format!("{reply:?}")
            });
        }
    }

    /// Keeps links to the listed keepers, those of the own availability zone first.
    fn update_keepers(&self, keepers: &watch::Sender<Vec<Peer>>, mut listed: Vec<KeeperAddress>) {
        let own_az = &self.links.identity.az;
        listed.sort_by_key(|keeper| keeper.az.as_ref() != Some(own_az));
        let known = keepers.borrow().clone();
        let is_same = known.len() == listed.len()
            && known
                .iter()
                .zip(&listed)
                .all(|(peer, keeper)| peer.address() == keeper.address);
        if is_same || listed.is_empty() {
            return;
        }
        let peers = listed.iter().map(|keeper| {
            let old = known.iter().find(|peer| peer.address() == keeper.address);
            old.cloned()
                .unwrap_or_else(|| Peer::start(&keeper.name, keeper.address, &self.links))
        });
        let peers: Vec<Peer> = peers.collect();
        let known = peers.iter().map(|peer| peer.name().to_owned()).collect();
        logs::write(None, &Event::Keepers { names: known });
        keepers.send_replace(peers);
    }
}

/// Updates the rules whenever the declaration in force changes.
async fn update_rules(follower: Follower, rules: watch::Sender<Arc<Rules>>) {
    let mut in_force = follower.in_force();
    loop {
        let current = in_force.borrow_and_update().clone();
        if let Some(f) = current.filter(|f| f.revision > 0) {
            let next = Rules::new(&f.declaration);
            rules.send_replace(Arc::new(next));
        }
        if in_force.changed().await.is_err() {
            return;
        }
    }
}
