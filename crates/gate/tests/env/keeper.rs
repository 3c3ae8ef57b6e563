//! A fake keeper: a declaration and an in-memory ledger with injected faults.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use declaration::Document;
use link::{
    Channel, Identity, LinkConfig, Role,
    follow::FollowReply,
    follower::Feed,
    keeper::{
        Intent, IntentReply, KeeperReply, KeeperRequest, LedgerEntry, OrderedZone, Settle,
        Settlement, ZoneOrder,
    },
};
use tokio::{net::TcpListener, task::JoinHandle, time::sleep};
use uuid::Uuid;

use super::TEST_TIMEOUT;

#[derive(Clone, Debug)]
struct Entry {
    digest: Vec<u8>,
    attempt: Uuid,
    settlement: Option<Settlement>,
}

/// Fault that the keeper simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// Records nothing and reports that there is no quorum.
    NoQuorum,
    /// Records intents but never replies to them.
    LostReplies,
    /// Rejects settlements as if there were no quorum.
    NoSettlements,
}

#[derive(Debug, Default)]
pub struct State {
    entries: HashMap<Uuid, Entry>,
    pub fault: Fault,
    pub intents: usize,
    pub settled: Vec<Settle>,
    /// Delay of each reply to an intent.
    pub reply_delay: Duration,
    /// The last orders about availability zones.
    pub zones: Vec<OrderedZone>,
}

pub struct FakeKeeper {
    pub address: SocketAddr,
    pub state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

impl Drop for FakeKeeper {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FakeKeeper {
    pub async fn start(declaration: &str) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let document = Document::read("test", declaration.as_bytes()).unwrap();
        let feed = Arc::new(Feed::new());
        let revision = 1;
        feed.apply(FollowReply::Snapshot { revision, document })
            .unwrap();
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = Arc::clone(&state);
        let cfg = LinkConfig::new(Identity {
            vm: "k".to_owned(),
            az: "z".to_owned(),
            role: Role::Keeper,
            incarnation: Uuid::now_v7(),
        });
        let answer = move |call: link::Incoming| {
            let (feed, state) = (Arc::clone(&feed), Arc::clone(&shared));
            async move {
                match call.channel {
                    Channel::Follow => feed.answer(&call.body).await,
                    _ => link::encode(&reply(&state, link::decode(&call.body).unwrap()).await),
                }
            }
        };
        let task = tokio::spawn(link::serve(listener, cfg, answer));
        Self {
            address,
            state,
            task,
        }
    }

    /// Evacuates `zones`, and returns to all others.
    pub fn evacuate(&self, zones: &[&str]) {
        let order = |zone: &&str| ZoneOrder {
            zone: (*zone).to_owned(),
            is_evacuated: true,
            author: "o".to_owned(),
            reason: "r".to_owned(),
        };
        let orders = zones.iter().map(order);
        let zones = orders.map(|order| OrderedZone { order, at_ms: 0 });
        self.state.lock().unwrap().zones = zones.collect();
    }

    pub fn set_fault(&self, fault: Fault) {
        self.state.lock().unwrap().fault = fault;
    }

    /// Waits until the ledger has received `n` settlements.
    pub async fn wait_for_settlements(&self, n: usize) -> Vec<Settlement> {
        let start = tokio::time::Instant::now();
        loop {
            let settled: Vec<_> = {
                let state = self.state.lock().unwrap();
                state.settled.iter().map(|s| s.settlement.clone()).collect()
            };
            if settled.len() >= n {
                return settled;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "settled only {settled:?}");
            sleep(Duration::from_millis(5)).await;
        }
    }

    pub async fn wait_for_intents(&self, n: usize) {
        let start = tokio::time::Instant::now();
        while self.state.lock().unwrap().intents < n {
            assert!(start.elapsed() < TEST_TIMEOUT, "no intent came");
            sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn reply(state: &Mutex<State>, req: KeeperRequest) -> KeeperReply {
    let (fault, reply_delay) = {
        let state = state.lock().unwrap();
        (state.fault, state.reply_delay)
    };
    match (req, fault) {
        (_, Fault::NoQuorum) | (KeeperRequest::Settle(_), Fault::NoSettlements) => {
            KeeperReply::NoQuorum
        }
        (KeeperRequest::Intent(intent), _) => {
            let reply = state.lock().unwrap().handle_intent(&intent);
            if fault == Fault::LostReplies {
                return std::future::pending().await;
            }
            sleep(reply_delay).await;
            KeeperReply::Intent(reply)
        }
        (KeeperRequest::Settle(settle), _) => {
            state.lock().unwrap().settle(settle);
            KeeperReply::Settled
        }
        (KeeperRequest::Lookup(key), _) => {
            let state = state.lock().unwrap();
            KeeperReply::Lookup(match state.entries.get(&key) {
                None => LedgerEntry::Absent,
                Some(entry) => match &entry.settlement {
                    None => LedgerEntry::InProgress,
                    Some(settlement) => LedgerEntry::Settled(settlement.clone()),
                },
            })
        }
        (KeeperRequest::Evacuations, _) => KeeperReply::Evacuations {
            version: 1,
            zones: state.lock().unwrap().zones.clone(),
        },
        _ => KeeperReply::Invalid("not served by the fake".to_owned()),
    }
}

impl State {
    fn handle_intent(&mut self, intent: &Intent) -> IntentReply {
        self.intents += 1;
        match self.entries.get(&intent.key) {
            Some(entry) if entry.digest != intent.digest => IntentReply::Conflict,
            Some(entry) if entry.settlement.is_some() => {
                IntentReply::Settled(entry.settlement.clone().unwrap())
            }
            Some(entry) if entry.attempt != intent.attempt => IntentReply::InProgress,
            _ => {
                let entry = Entry {
                    digest: intent.digest.clone(),
                    attempt: intent.attempt,
                    settlement: None,
                };
                self.entries.insert(intent.key, entry);
                IntentReply::Granted
            }
        }
    }

    fn settle(&mut self, settle: Settle) {
        let is_pending_attempt =
            |e: &&mut Entry| e.attempt == settle.attempt && e.settlement.is_none();
        if let Some(entry) = self.entries.get_mut(&settle.key).filter(is_pending_attempt) {
            match &settle.settlement {
                Settlement::Released => drop(self.entries.remove(&settle.key)),
                other => entry.settlement = Some(other.clone()),
            }
        }
        self.settled.push(settle);
    }
}
