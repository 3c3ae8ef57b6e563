//! Followers over real loopback links: start, switch of sources, relays, never backwards.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use declaration::{Document, SectionChange, SectionId, SectionText};
use link::{
    Channel, Identity, Incoming, LinkConfig, Peer, Role,
    follow::{FollowReply, Revision},
    follower::{ActiveDeclaration, Feed, Follower, FollowerConfig},
    serve,
};
use proptest::{collection::vec, prelude::*};
use tokio::{net::TcpListener, task::JoinHandle, time::timeout};
use uuid::Uuid;

const LIMIT: Duration = Duration::from_secs(10);

fn link_config(vm: &str, role: Role) -> LinkConfig {
    LinkConfig::new(Identity {
        vm: vm.to_owned(),
        az: "sousse-a".to_owned(),
        role,
        incarnation: Uuid::new_v4(),
    })
}

fn section(name: &str, region: &str) -> SectionChange {
    let entries = [("region".to_owned(), region.to_owned())].into();
    SectionChange {
        id: SectionId {
            kind: "availability-zone".to_owned(),
            name: name.to_owned(),
        },
        after: Some(SectionText {
            entries,
            comments: Vec::new(),
        }),
    }
}

fn revision(n: u64) -> Revision {
    Revision {
        revision: n,
        sections: vec![section(&format!("az-{}", n % 7), &format!("r{n}"))],
    }
}

/// A keeper's following side alone.
struct Source {
    feed: Arc<Feed>,
    address: SocketAddr,
    task: JoinHandle<()>,
    /// Bytes that it sent.
    sent: Arc<AtomicUsize>,
}

impl Source {
    async fn start(upto: Option<u64>) -> Self {
        let feed = Arc::new(Feed::new());
        if let Some(upto) = upto {
            feed.replace(0, Document::default()).unwrap();
            feed.advance((1..=upto).map(revision).collect()).unwrap();
        }
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let sent = Arc::new(AtomicUsize::new(0));
        let (served, counter) = (Arc::clone(&feed), Arc::clone(&sent));
        let handler = move |call: Incoming| {
            let (feed, counter) = (Arc::clone(&served), Arc::clone(&counter));
            async move {
                let answer = feed.answer(&call.body).await;
                counter.fetch_add(answer.len(), Ordering::Relaxed);
                answer
            }
        };
        let cfg = link_config("source", Role::Keeper);
        let task = tokio::spawn(serve(listener, cfg, handler));
        Self {
            feed,
            address,
            task,
            sent,
        }
    }

    fn peer(&self) -> Peer {
        let name = self.address.to_string();
        Peer::start(&name, self.address, &link_config("gate", Role::Gate))
    }
}

fn quick() -> FollowerConfig {
    FollowerConfig {
        poll_wait: Duration::from_secs(2),
        revision_timeout: Duration::from_millis(500),
        probe_interval: Duration::from_millis(200),
        gather_window: Duration::from_millis(100),
        ..FollowerConfig::default()
    }
}

async fn reach(follower: &Follower, n: u64) -> Arc<ActiveDeclaration> {
    let mut rx = follower.in_force();
    let reached = rx.wait_for(|f| f.as_ref().is_some_and(|f| f.revision >= n));
    let f = timeout(LIMIT, reached).await.expect("in force in time");
    Arc::clone(f.unwrap().as_ref().unwrap())
}

#[tokio::test]
async fn the_empty_declaration_is_in_force_at_revision_0() {
    let source = Source::start(Some(0)).await;
    let follower = Follower::start(vec![source.peer()], quick());
    let f = reach(&follower, 0).await;
    assert_eq!((f.revision, f.document.sections.len()), (0, 0));
    source.feed.advance(vec![revision(1)]).unwrap();
    assert_eq!(reach(&follower, 1).await.document.sections.len(), 1);
}

#[tokio::test]
async fn a_source_that_does_not_know_yet_puts_nothing_in_force() {
    let source = Source::start(None).await;
    let follower = Follower::start(vec![source.peer()], quick());
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(follower.in_force().borrow().is_none());
    source.feed.replace(7, Document::default()).unwrap();
    reach(&follower, 7).await;
}

#[tokio::test]
async fn a_follower_hundreds_of_changes_behind_gets_a_snapshot() {
    let source = Source::start(Some(2_000)).await;
    let follower = Follower::start(vec![source.peer()], quick());
    let f = reach(&follower, 2_000).await;
    assert_eq!(Some(&f.document), document_of(&source).as_ref());
}

fn document_of(source: &Source) -> Option<Document> {
    let f = source.feed.in_force();
    let f = f.borrow();
    f.as_ref().map(|f| f.document.clone())
}

#[tokio::test]
async fn at_the_start_the_source_that_is_furthest_counts() {
    let (stale, fresh) = (Source::start(Some(3)).await, Source::start(Some(9)).await);
    let follower = Follower::start(vec![stale.peer(), fresh.peer()], quick());
    let mut rx = follower.in_force();
    let first = timeout(LIMIT, rx.wait_for(Option::is_some)).await.unwrap();
    assert_eq!(first.unwrap().as_ref().unwrap().revision, 9);
}

/// Small VMs share 10 Mbit/s: a document from every source at once fills the link for longer than
/// any of them is waited for, again and again, and a gate that restarted never serves.
#[tokio::test]
async fn a_start_takes_the_whole_document_from_one_source_alone() {
    const SECTIONS: usize = 2_000;
    let mut document = Document::default();
    let sections = (0..SECTIONS).map(|n| section(&format!("az-{n}"), "r"));
    document.apply(&sections.collect::<Vec<_>>());
    let mut sources = Vec::new();
    for _ in 0..3 {
        let source = Source::start(None).await;
        source.feed.replace(9, document.clone()).unwrap();
        sources.push(source);
    }
    let peers = sources.iter().map(Source::peer).collect();
    let follower = Follower::start(peers, quick());
    assert_eq!(reach(&follower, 9).await.document, document);
    let sent = sources.iter().map(|s| s.sent.load(Ordering::Relaxed));
    let senders = sent.filter(|bytes| *bytes > SECTIONS).count();
    assert_eq!(senders, 1);
}

#[tokio::test]
async fn a_dead_source_is_left_and_a_stale_one_never_turns_the_follower_back() {
    let (first, second) = (Source::start(Some(5)).await, Source::start(Some(2)).await);
    let follower = Follower::start(vec![first.peer(), second.peer()], quick());
    reach(&follower, 5).await;
    first.task.abort();
    let mut rx = follower.in_force();
    for n in 3..=6 {
        second.feed.advance(vec![revision(n)]).unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(rx.borrow_and_update().as_ref().unwrap().revision >= 5);
    }
    reach(&follower, 6).await;
}

#[tokio::test]
async fn a_source_that_stands_still_is_found_out_by_the_checks() {
    let (stuck, live) = (Source::start(Some(4)).await, Source::start(Some(4)).await);
    let cfg = FollowerConfig {
        poll_wait: Duration::from_mins(1),
        ..quick()
    };
    let follower = Follower::start(vec![stuck.peer(), live.peer()], cfg);
    reach(&follower, 4).await;
    live.feed.advance(vec![revision(5)]).unwrap();
    reach(&follower, 5).await;
}

#[tokio::test]
async fn a_relay_passes_on_what_is_in_force_at_it() {
    let source = Source::start(Some(1)).await;
    let relay = Follower::start(vec![source.peer()], quick());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answering = relay.clone();
    let task = tokio::spawn(serve(
        listener,
        link_config("relay", Role::Gate),
        move |call: Incoming| {
            assert_eq!(call.channel, Channel::Follow);
            answering.answer(&call.body)
        },
    ));
    let peer = Peer::start("relay", address, &link_config("gate", Role::Gate));
    let follower = Follower::start(vec![peer], quick());
    reach(&follower, 1).await;
    source.feed.advance(vec![revision(2)]).unwrap();
    reach(&follower, 2).await;
    task.abort();
}

/// Any answer that a source of any age may give.
fn answers() -> impl Strategy<Value = Vec<FollowReply>> {
    let one = prop_oneof![
        (0..30_u64, 1..6_u64).prop_map(|(from, n)| {
            FollowReply::Changes((from + 1..=from + n).map(revision).collect())
        }),
        (0..30_u64).prop_map(|n| FollowReply::Snapshot {
            revision: n,
            document: document_at(n),
        }),
        (0..30_u64).prop_map(|revision| FollowReply::Unchanged { revision }),
        Just(FollowReply::Unavailable),
    ];
    vec(one, 1..40)
}

fn document_at(n: u64) -> Document {
    let mut document = Document::default();
    for i in 1..=n {
        document.apply(&revision(i).sections);
    }
    document
}

/// Whether `taken` ever falls or shows another document than its revision's.
fn first_fault(taken: &[Arc<ActiveDeclaration>]) -> Option<String> {
    let fell = taken.windows(2).find(|w| w[1].revision < w[0].revision);
    let wrong = taken.iter().find(|f| f.document != document_at(f.revision));
    match (fell, wrong) {
        (Some(w), _) => Some(format!("{} after {}", w[1].revision, w[0].revision)),
        (None, Some(f)) => Some(format!("wrong document at {}", f.revision)),
        (None, None) => None,
    }
}

proptest! {
    #[test]
    fn whatever_sources_answer_the_revision_never_falls(answers in answers()) {
        let feed = Feed::new();
        let mut taken = Vec::new();
        for answer in answers {
            let _ = feed.apply(answer);
            taken.extend(feed.in_force().borrow().clone());
        }
        prop_assert_eq!(first_fault(&taken), None);
    }
}

/// A follower that takes every snapshot must be caught.
#[test]
fn the_check_catches_a_follower_that_takes_older_snapshots() {
    let feeds = [9, 4].map(|n| {
        let feed = Feed::new();
        feed.replace(n, document_at(n)).unwrap();
        feed.in_force().borrow().clone().unwrap()
    });
    assert!(first_fault(&feeds).is_some());
}
