//! Followers over loopback links: start, switching sources, relays, and non-decreasing revisions.

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
    follow::{FollowReply, FollowRequest, Revision},
    follower::{ActiveDeclaration, Feed, Follower, FollowerConfig},
    serve,
};
use proptest::{collection::vec, prelude::*};
use tokio::{net::TcpListener, task::JoinHandle, time::timeout};
use uuid::Uuid;

const TIMEOUT: Duration = Duration::from_secs(10);

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

/// The part of a keeper that serves followers.
struct Source {
    feed: Arc<Feed>,
    address: SocketAddr,
    task: JoinHandle<()>,
    /// Number of reply bytes sent.
    sent: Arc<AtomicUsize>,
}

impl Source {
    async fn start(through: Option<u64>) -> Self {
        let feed = Arc::new(Feed::new());
        if let Some(through) = through {
            feed.replace(0, Document::default()).unwrap();
            feed.advance((1..=through).map(revision).collect()).unwrap();
        }
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let sent = Arc::new(AtomicUsize::new(0));
        let (served_feed, counter) = (Arc::clone(&feed), Arc::clone(&sent));
        let handler = move |call: Incoming| {
            let (feed, counter) = (Arc::clone(&served_feed), Arc::clone(&counter));
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

fn short_timeouts() -> FollowerConfig {
    FollowerConfig {
        poll_wait: Duration::from_secs(2),
        revision_timeout: Duration::from_millis(500),
        probe_interval: Duration::from_millis(200),
        gather_window: Duration::from_millis(100),
        ..FollowerConfig::default()
    }
}

async fn wait_for_revision(follower: &Follower, n: u64) -> Arc<ActiveDeclaration> {
    let mut rx = follower.in_force();
    let is_reached = rx.wait_for(|f| f.as_ref().is_some_and(|f| f.revision >= n));
    let f = timeout(TIMEOUT, is_reached)
        .await
        .expect("the revision is in force in time");
    Arc::clone(f.unwrap().as_ref().unwrap())
}

#[tokio::test]
async fn empty_declaration_is_in_force_at_revision_0() {
    let source = Source::start(Some(0)).await;
    let follower = Follower::start(vec![source.peer()], short_timeouts());
    let f = wait_for_revision(&follower, 0).await;
    assert_eq!((f.revision, f.document.sections.len()), (0, 0));
    source.feed.advance(vec![revision(1)]).unwrap();
    assert_eq!(
        wait_for_revision(&follower, 1)
            .await
            .document
            .sections
            .len(),
        1
    );
}

#[tokio::test]
async fn source_without_declaration_puts_nothing_in_force() {
    let source = Source::start(None).await;
    let follower = Follower::start(vec![source.peer()], short_timeouts());
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(follower.in_force().borrow().is_none());
    source.feed.replace(7, Document::default()).unwrap();
    wait_for_revision(&follower, 7).await;
}

#[tokio::test]
async fn follower_2000_changes_behind_gets_a_snapshot() {
    let source = Source::start(Some(2_000)).await;
    let follower = Follower::start(vec![source.peer()], short_timeouts());
    let f = wait_for_revision(&follower, 2_000).await;
    assert_eq!(Some(&f.document), document_of(&source).as_ref());
}

fn document_of(source: &Source) -> Option<Document> {
    let f = source.feed.in_force();
    let f = f.borrow();
    f.as_ref().map(|f| f.document.clone())
}

#[tokio::test]
async fn follower_starts_from_the_most_recent_source() {
    let (stale, fresh) = (Source::start(Some(3)).await, Source::start(Some(9)).await);
    let follower = Follower::start(vec![stale.peer(), fresh.peer()], short_timeouts());
    let mut rx = follower.in_force();
    let first = timeout(TIMEOUT, rx.wait_for(Option::is_some))
        .await
        .unwrap();
    assert_eq!(first.unwrap().as_ref().unwrap().revision, 9);
}

/// On a link of 10 Mbit/s, documents from all sources at once take longer than the timeouts, so that
/// a restarted gate would retry forever and never serve.
#[tokio::test]
async fn follower_start_gets_the_document_from_one_source_only() {
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
    let follower = Follower::start(peers, short_timeouts());
    assert_eq!(wait_for_revision(&follower, 9).await.document, document);
    let sent = sources.iter().map(|s| s.sent.load(Ordering::Relaxed));
    let senders = sent.filter(|bytes| *bytes > SECTIONS).count();
    assert_eq!(senders, 1);
}

#[tokio::test]
async fn follower_leaves_a_failed_source_and_never_reverts_to_a_stale_one() {
    let (first, second) = (Source::start(Some(5)).await, Source::start(Some(2)).await);
    let follower = Follower::start(vec![first.peer(), second.peer()], short_timeouts());
    wait_for_revision(&follower, 5).await;
    first.task.abort();
    let mut rx = follower.in_force();
    for n in 3..=6 {
        second.feed.advance(vec![revision(n)]).unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(rx.borrow_and_update().as_ref().unwrap().revision >= 5);
    }
    wait_for_revision(&follower, 6).await;
}

#[tokio::test]
async fn probes_detect_a_stalled_source() {
    let (stalled, current) = (Source::start(Some(4)).await, Source::start(Some(4)).await);
    let cfg = FollowerConfig {
        poll_wait: Duration::from_mins(1),
        ..short_timeouts()
    };
    let follower = Follower::start(vec![stalled.peer(), current.peer()], cfg);
    wait_for_revision(&follower, 4).await;
    current.feed.advance(vec![revision(5)]).unwrap();
    wait_for_revision(&follower, 5).await;
}

/// Guards against a declaration that stays old while its source is cut off and another one is known to
/// have a later revision.
#[tokio::test(flavor = "multi_thread")]
async fn follower_leaves_a_source_that_is_known_to_be_behind() {
    let cfg = FollowerConfig {
        probe_interval: TIMEOUT * 10,
        poll_wait: TIMEOUT * 10,
        ..short_timeouts()
    };
    let (behind, ahead) = (Source::start(Some(3)).await, Source::start(Some(3)).await);
    let follower = Follower::start(vec![behind.peer(), ahead.peer()], cfg);
    wait_for_revision(&follower, 3).await;
    ahead.feed.advance(vec![revision(4)]).unwrap();
    follower.note_revision(ahead.address, 4);
    wait_for_revision(&follower, 4).await;
    // What is in force already is no reason to change the source.
    follower.note_revision(behind.address, 4);
    ahead.feed.advance(vec![revision(5)]).unwrap();
    wait_for_revision(&follower, 5).await;
}

#[tokio::test]
async fn relay_serves_its_declaration_in_force() {
    let source = Source::start(Some(1)).await;
    let relay = Follower::start(vec![source.peer()], short_timeouts());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let shared_relay = relay.clone();
    let task = tokio::spawn(serve(
        listener,
        link_config("relay", Role::Gate),
        move |call: Incoming| {
            assert_eq!(call.channel, Channel::Follow);
            shared_relay.answer(&call.body)
        },
    ));
    let peer = Peer::start("relay", address, &link_config("gate", Role::Gate));
    let follower = Follower::start(vec![peer], short_timeouts());
    wait_for_revision(&follower, 1).await;
    source.feed.advance(vec![revision(2)]).unwrap();
    wait_for_revision(&follower, 2).await;
    task.abort();
}

/// Any sequence of replies from sources at any revision.
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

/// Returns a description of the first decrease of the revision in `applied`, or of a document that
/// does not match its revision.
fn first_fault(applied: &[Arc<ActiveDeclaration>]) -> Option<String> {
    let decrease = applied.windows(2).find(|w| w[1].revision < w[0].revision);
    let mismatch = applied
        .iter()
        .find(|f| f.document != document_at(f.revision));
    match (decrease, mismatch) {
        (Some(w), _) => Some(format!("{} after {}", w[1].revision, w[0].revision)),
        (None, Some(f)) => Some(format!("wrong document at {}", f.revision)),
        (None, None) => None,
    }
}

proptest! {
    #[test]
    fn revision_never_decreases(answers in answers()) {
        let feed = Feed::new();
        let mut applied = Vec::new();
        for answer in answers {
            let _ = feed.apply(answer);
            applied.extend(feed.in_force().borrow().clone());
        }
        prop_assert_eq!(first_fault(&applied), None);
    }
}

/// The check must detect a follower that applies older snapshots.
#[test]
fn check_detects_older_snapshots() {
    let feeds = [9, 4].map(|n| {
        let feed = Feed::new();
        feed.replace(n, document_at(n)).unwrap();
        feed.in_force().borrow().clone().unwrap()
    });
    assert!(first_fault(&feeds).is_some());
}

/// Guards against followers' changes that outgrow the document: one that lacks many large changes gets
/// a snapshot.
#[tokio::test]
async fn changes_larger_than_the_document_are_not_kept() {
    const REVISIONS: u64 = 40;
    let feed = Feed::new();
    feed.replace(0, Document::default()).unwrap();
    for n in 1..=REVISIONS {
        let mut large = revision(1);
        large.revision = n;
        for section in &mut large.sections {
            let text = section.after.as_mut().unwrap();
            text.comments = vec![format!("{n}{}", "c".repeat(20_000))];
        }
        feed.advance(vec![large]).unwrap();
    }
    let reply = async |after| {
        let wait = Duration::ZERO;
        let body = feed
            .answer(&link::encode(&FollowRequest { after, wait }))
            .await;
        link::decode::<FollowReply>(&body).unwrap()
    };
    assert!(matches!(
        reply(0).await,
        FollowReply::Snapshot {
            revision: REVISIONS,
            ..
        }
    ));
    let FollowReply::Changes(changes) = reply(REVISIONS - 1).await else {
        panic!("the last change is kept");
    };
    assert_eq!(changes.len(), 1);
}
