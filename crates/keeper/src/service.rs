//! Answers requests of clients and other keepers: through the log if this keeper leads, else
//! through the leader.

mod blocked;
mod departures;
mod evacuations;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use declaration::AuditRecord;
use link::{
    Channel, Identity, Incoming, LinkConfig, Peer, Role, decode, encode,
    keeper::{KeeperAddress, KeeperReply, KeeperRequest, MAX_AUDIT_RECORDS, MemberAction, Settle},
};
use membership::Table;
use replica::{MemberChange, MemberError, ProposeError, Replica, Status};
use spdlog::{info, warn};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};
use uuid::Uuid;

use crate::{
    clock::{Clock, wall_clock_ms},
    config::Limits,
    entry::{Command, Entry, Stamp},
    held_settlements::HeldSettlements,
    metrics::Metrics,
    requests::{aged, command, kind, prepare, truncate},
    shared_state::SharedState,
};

/// Timeout of one request; below the time that clients give one keeper.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Timeout of a change of members, which waits for a learner to catch up.
const MEMBER_CHANGE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum encoded size of a page of audit records, unless a single one is larger.
const MAX_AUDIT_PAGE_BYTES: usize = 1 << 20;
/// Delay between attempts while no leader is known.
const RETRY_DELAY: Duration = Duration::from_millis(25);
/// Time between synchronizations with the other keepers' clocks.
const CLOCK_SYNC_INTERVAL: Duration = Duration::from_secs(5);
/// Delay before the next synchronization after no majority of clocks responded.
const CLOCK_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Delay between attempts to commit held settlements.
const HELD_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum delay of a reply about endpoints while this keeper's state is not known to be current.
const PUBLISH_WAIT: Duration = Duration::from_millis(400);
const CLOCK_TIMEOUT: Duration = Duration::from_millis(500);

/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A client; forwarded to the leader.
    Client,
    /// Another keeper; not forwarded again.
    Keeper,
}

/// Result of one attempt to handle a request.
enum Attempt {
    Reply(KeeperReply),
    Retry,
}

/// Handles requests to one keeper.
#[derive(Debug)]
pub struct Service {
    replica: Replica,
    state: Arc<SharedState>,
    clock: Clock,
    limits: Limits,
    links: LinkConfig,
    peers: Mutex<HashMap<String, Peer>>,
    metrics: Metrics,
    in_flight: watch::Sender<usize>,
    own_link: SocketAddr,
    table: Option<Table>,
    held: HeldSettlements,
}

/// Receives the running service, or `None` while there is none.
pub type ServiceReceiver = watch::Receiver<Option<Arc<Service>>>;

/// Counts a call as in flight until dropped.
struct InFlight<'a>(&'a watch::Sender<usize>);

impl<'a> InFlight<'a> {
    fn new(counter: &'a watch::Sender<usize>) -> Self {
        counter.send_modify(|n| *n += 1);
        Self(counter)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|n| *n -= 1);
    }
}

impl Service {
    /// Creates a service on `replica` and `state`; `peers` are the links to the other keepers.
    pub fn new(
        replica: Replica,
        state: Arc<SharedState>,
        limits: Limits,
        links: LinkConfig,
        peers: &[Peer],
        own_link: SocketAddr,
        held: HeldSettlements,
    ) -> eyre::Result<Self> {
        let named = |peer: &Peer| (peer.name().to_owned(), peer.clone());
        Ok(Self {
            replica,
            state,
            clock: Clock::default(),
            limits,
            links,
            peers: Mutex::new(peers.iter().map(named).collect()),
            metrics: Metrics::new()?,
            in_flight: watch::Sender::new(0),
            own_link,
            table: None,
            held,
        })
    }

    /// Also answers requests about the endpoint table `table`.
    #[must_use]
    pub fn with_table(mut self, table: Option<Table>) -> Self {
        self.table = table;
        self
    }

    /// Returns the endpoint table, if any.
    pub fn table(&self) -> Option<&Table> {
        self.table.as_ref()
    }

    /// Returns the replicated state.
    pub fn state(&self) -> &SharedState {
        &self.state
    }

    /// Returns the status of the log's replica.
    pub fn status(&self) -> Status {
        self.replica.status()
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        let status = self.status();
        self.state.read(|state| self.metrics.text(&status, state))
    }

    /// Answers a call that came over a link.
    pub async fn answer(&self, call: Incoming) -> Vec<u8> {
        match call.channel {
            Channel::Agreement => self.replica.handle_request(&call.from, call.body).await,
            Channel::Follow => self.state.feed().answer(&call.body).await,
            Channel::Keeper => encode(&self.answer_client(&call.from, &call.body).await),
            // Not handled by a keeper; callers treat an empty reply as no answer.
            Channel::Membership => match &self.table {
                Some(table) => self.answer_membership(table, &call.body).await,
                None => Vec::new(),
            },
            Channel::Calls | Channel::Stages => Vec::new(),
        }
    }

    async fn answer_membership(&self, table: &Table, body: &[u8]) -> Vec<u8> {
        match decode::<membership::Request>(body) {
            // Until its state is current this keeper doesn't know which endpoints have departed. The
            // other end treats an empty reply as no answer and asks another keeper.
            Ok(membership::Request::Since { .. })
                if !self.state.wait_published(PUBLISH_WAIT).await =>
            {
                Vec::new()
            }
            Ok(membership::Request::Leaving(leaving)) => {
                encode(&self.note_leaving(table, leaving).await)
            }
            Ok(req) => table.answer_request(req).await,
            Err(e) => encode(&membership::Reply::Malformed(e.to_string())),
        }
    }

    /// Waits until no request is in flight.
    pub async fn drained(&self) {
        let mut in_flight = self.in_flight.subscribe();
        // The sender is not dropped before `self`.
        let _ = in_flight.wait_for(|n| *n == 0).await;
    }

    async fn answer_client(&self, from: &Identity, body: &[u8]) -> KeeperReply {
        let origin = match from.role {
            Role::Keeper => Origin::Keeper,
            _ => Origin::Client,
        };
        match decode::<KeeperRequest>(body) {
            Ok(req) => self.handle(req, origin).await,
            Err(e) => KeeperReply::Invalid(e.to_string()),
        }
    }

    /// Handles `req`; replies `NoQuorum` if no quorum answers in time. Every request is idempotent,
    /// so it is retried while its outcome is unknown.
    pub async fn handle(&self, req: KeeperRequest, origin: Origin) -> KeeperReply {
        let _counted = InFlight::new(&self.in_flight);
        let started = Instant::now();
        let kind = kind(&req);
        let reply = match req {
            KeeperRequest::Lookup(key) => self.lookup(key).await,
            KeeperRequest::Audit { from } => match self.audit(from).await {
                Some(records) => KeeperReply::Audit(records),
                None => KeeperReply::NoQuorum,
            },
            KeeperRequest::Clock => KeeperReply::Clock {
                now_ms: wall_clock_ms(),
            },
            KeeperRequest::Hold(settle) => self.hold(settle).await,
            KeeperRequest::Original => self.original().await,
            KeeperRequest::Confirm => self.confirm().await,
            KeeperRequest::BlockedParts => self.blocked_parts().await,
            KeeperRequest::Departures { since } => self.departures_since(since),
            KeeperRequest::Evacuations => self.evacuations().await,
            req => match prepare(req, self.limits.max_output_bytes) {
                Ok(KeeperRequest::Depart(departures)) => self.depart(departures, origin).await,
                Ok(req) => self.write(&req, origin).await,
                Err(what) => KeeperReply::Invalid(what),
            },
        };
        self.metrics.record_reply(kind, &reply, started.elapsed());
        reply
    }

    async fn write(&self, req: &KeeperRequest, origin: Origin) -> KeeperReply {
        let limit = match req {
            KeeperRequest::Member { .. } => MEMBER_CHANGE_TIMEOUT,
            _ => REQUEST_TIMEOUT,
        };
        let started = Instant::now();
        loop {
            let elapsed = started.elapsed();
            let remaining = limit.saturating_sub(elapsed);
            let req = aged(req, elapsed);
            match timeout(remaining, self.attempt(&req, origin, remaining)).await {
                Ok(Attempt::Reply(reply)) => return reply,
                Ok(Attempt::Retry) if origin == Origin::Client && remaining > RETRY_DELAY => {
                    sleep(RETRY_DELAY).await;
                }
                Ok(Attempt::Retry) | Err(_) => return KeeperReply::NoQuorum,
            }
        }
    }

    async fn attempt(&self, req: &KeeperRequest, origin: Origin, remaining: Duration) -> Attempt {
        let result = match req {
            KeeperRequest::Member { name, action } => self.change_members(name, action).await,
            req => self.propose(req).await,
        };
        match result {
            Ok(reply) => Attempt::Reply(reply),
            Err(ProposeError::NotLeader {
                leader: Some(leader),
            }) if origin == Origin::Client => self.forward(&leader, req, remaining).await,
            // This keeper is stopping; another one may answer.
            Err(ProposeError::Stopped) => Attempt::Reply(KeeperReply::NoQuorum),
            Err(ProposeError::TooLarge) => {
                Attempt::Reply(KeeperReply::Invalid(ProposeError::TooLarge.to_string()))
            }
            Err(_) => Attempt::Retry,
        }
    }

    async fn propose(&self, req: &KeeperRequest) -> Result<KeeperReply, ProposeError> {
        let Some(command) = command(req, &self.state) else {
            return Ok(KeeperReply::Invalid("not a request for the log".to_owned()));
        };
        self.propose_command(command).await
    }

    async fn propose_command(&self, command: Command) -> Result<KeeperReply, ProposeError> {
        // Entries can't be stamped without a synchronized clock; the first quorum sets it.
        let Some(stamp) = self.stamp() else {
            return Err(ProposeError::NotLeader { leader: None });
        };
        let entry = encode(&Entry { stamp, command });
        let applied = self.replica.propose(entry).await?;
        let reply = decode(&applied.reply);
        Ok(reply.unwrap_or_else(|e| KeeperReply::Invalid(e.to_string())))
    }

    async fn change_members(
        &self,
        name: &str,
        action: &MemberAction,
    ) -> Result<KeeperReply, ProposeError> {
        let name = name.to_owned();
        let change = match action {
            MemberAction::Add { address } => MemberChange::AddLearner {
                name,
                address: address.to_string(),
            },
            MemberAction::Promote => MemberChange::Promote { name },
            MemberAction::Remove { force: false } => MemberChange::Remove { name },
            MemberAction::Remove { force: true } => MemberChange::RemoveUnsafely { name },
        };
        match self.replica.change_members(change).await {
            Ok(()) => Ok(KeeperReply::MemberChanged),
            Err(MemberError::Refused(why)) => Ok(KeeperReply::Invalid(why)),
            Err(MemberError::NotLeader { leader }) => Err(ProposeError::NotLeader { leader }),
            Err(MemberError::Lost) => Err(ProposeError::Lost),
            Err(MemberError::Stopped) => Err(ProposeError::Stopped),
        }
    }

    /// Forwards `req` to the leader, which does not forward it again.
    async fn forward(&self, leader: &str, req: &KeeperRequest, remaining: Duration) -> Attempt {
        let Some(peer) = self.peer(leader) else {
            return Attempt::Retry;
        };
        match peer.call(Channel::Keeper, req, remaining).await {
            Ok(KeeperReply::NoQuorum) | Err(_) => Attempt::Retry,
            Ok(reply) => Attempt::Reply(reply),
        }
    }

    /// Returns the link to the keeper `name`, connecting to members that joined later.
    pub fn peer(&self, name: &str) -> Option<Peer> {
        let members = self.replica.status().members;
        let mut members = members.voters.iter().chain(&members.learners);
        let member = members.find(|member| member.name == name);
        let member = member.and_then(|member| member.link_address().parse().ok());
        let mut peers = self.peers.lock().expect("no holder of this lock panics");
        match (peers.get(name), member) {
            (Some(peer), None) => Some(peer.clone()),
            (Some(peer), Some(address)) if peer.address() == address => Some(peer.clone()),
            (None, None) => None,
            (_, Some(address)) => {
                let peer = Peer::start(name, address, &self.links);
                peers.insert(name.to_owned(), peer.clone());
                Some(peer)
            }
        }
    }

    async fn lookup(&self, key: Uuid) -> KeeperReply {
        if !self.is_current().await {
            return KeeperReply::NoQuorum;
        }
        let (now, grace) = (self.clock.now_ms(), millis(self.limits.grace));
        let now = now.unwrap_or_default();
        let entry = self.state.read(|state| {
            let now = now.max(state.clock_ms());
            state.ledger.lookup(now, grace, key)
        });
        KeeperReply::Lookup(entry)
    }

    /// Returns one page of the audit trail from revision `from` on; `None` without a quorum.
    pub async fn audit(&self, from: u64) -> Option<Vec<AuditRecord>> {
        if !self.is_current().await {
            return None;
        }
        Some(self.state.read(|state| {
            let declaration = &state.declaration;
            declaration.audit_page(from, MAX_AUDIT_RECORDS, MAX_AUDIT_PAGE_BYTES)
        }))
    }

    /// Returns true if a quorum confirms that everything committed before the call is applied here.
    pub async fn is_current(&self) -> bool {
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match timeout(remaining, self.replica.read_barrier()).await {
                Ok(Ok(_)) => return true,
                Ok(Err(ProposeError::Stopped)) => return false,
                Ok(Err(_)) if remaining > RETRY_DELAY => sleep(RETRY_DELAY).await,
                Ok(Err(_)) | Err(_) => return false,
            }
        }
    }

    async fn hold(&self, settle: Settle) -> KeeperReply {
        let settle = truncate(settle, self.limits.max_output_bytes);
        match self.held.insert(settle).await {
            Ok(()) => KeeperReply::Held,
            Err(e) => KeeperReply::Invalid(e.to_string()),
        }
    }

    /// Commits held settlements as soon as there is a quorum; runs until dropped.
    pub(crate) async fn settle_held(&self) {
        loop {
            self.held.wait_not_empty().await;
            for settle in self.held.all() {
                let req = KeeperRequest::Settle(settle.clone());
                match self.handle(req, Origin::Client).await {
                    KeeperReply::NoQuorum => break,
                    KeeperReply::Invalid(why) => {
                        warn!("held settlement refused", kv: { key = settle.key.to_string(), why });
                        self.held.remove(&settle).await;
                    }
                    _ => {
                        info!("held settlement committed", kv: { key = settle.key.to_string() });
                        self.held.remove(&settle).await;
                    }
                }
            }
            sleep(HELD_RETRY_DELAY).await;
        }
    }

    async fn original(&self) -> KeeperReply {
        match self.is_current().await {
            false => KeeperReply::NoQuorum,
            true => KeeperReply::Original(self.state.read(|state| {
                let replaced = state.last_replacement.as_ref();
                replaced.map(|r| r.original.clone())
            })),
        }
    }

    async fn confirm(&self) -> KeeperReply {
        match self.is_current().await {
            false => KeeperReply::NoQuorum,
            true => {
                let keepers = self.keepers();
                self.state.read(|state| KeeperReply::Confirmed {
                    revision: state.declaration_revision(),
                    keepers,
                    departures_version: state.departures.version(),
                    blocked_version: state.blocked_parts.version(),
                    evacuations_version: state.evacuations.version(),
                    evacuated_zones: state.evacuations.evacuated().cloned().collect(),
                })
            }
        }
    }

    /// Returns the members whose addresses are known, voters first.
    pub fn keepers(&self) -> Vec<KeeperAddress> {
        let members = self.replica.status().members;
        let all = members.voters.iter().chain(&members.learners);
        let known = all.filter_map(|member| {
            let is_self = self.links.identity.vm == member.name;
            let linked = || self.peer(&member.name).map(|peer| peer.address());
            let address = match is_self {
                true => Some(self.own_link),
                false => member.link_address().parse().ok().or_else(linked),
            };
            let az = match is_self {
                true => Some(self.links.identity.az.clone()),
                false => self
                    .peer(&member.name)
                    .and_then(|peer| Some(peer.identity()?.az)),
            };
            address.map(|address| KeeperAddress {
                name: member.name.clone(),
                address,
                az,
            })
        });
        known.collect()
    }

    fn stamp(&self) -> Option<Stamp> {
        Some(Stamp {
            now_ms: self.clock.now_ms()?,
            retention_ms: millis(self.limits.retention),
            skew_ms: millis(self.limits.skew),
            grace_ms: millis(self.limits.grace),
            max_keys: self.limits.max_keys,
            max_total_output_bytes: self.limits.max_total_output_bytes,
            max_history_bytes: self.limits.max_history_bytes,
        })
    }

    /// Keeps the clock synchronized with the other voters' clocks; runs until dropped.
    pub async fn sync_clock(&self) {
        loop {
            let offsets = self.clock_offsets().await;
            let voters = self.replica.status().voters.len();
            let pause = match self.clock.synchronize(&offsets, voters) {
                true => CLOCK_SYNC_INTERVAL,
                false => CLOCK_RETRY_DELAY,
            };
            sleep(pause).await;
        }
    }

    /// Measures the offset of each reachable voter's clock from this one, in milliseconds.
    async fn clock_offsets(&self) -> Vec<i64> {
        let voters = self.replica.status().voters;
        let own_name = &self.links.identity.vm;
        let others = voters.iter().filter(|name| *name != own_name);
        let mut calls = JoinSet::new();
        for peer in others.filter_map(|name| self.peer(name)) {
            calls.spawn(async move {
                let start = Instant::now();
                let reply = peer.call(Channel::Keeper, &KeeperRequest::Clock, CLOCK_TIMEOUT);
                match reply.await {
                    Ok(KeeperReply::Clock { now_ms }) => {
                        let peer_now_ms = now_ms + millis(start.elapsed() / 2);
                        Some(peer_now_ms as i64 - wall_clock_ms() as i64)
                    }
                    _ => None,
                }
            });
        }
        calls.join_all().await.into_iter().flatten().collect()
    }
}

pub(crate) fn millis(d: Duration) -> u64 {
    d.as_millis() as u64
}
