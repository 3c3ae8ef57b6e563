//! Tables of several gates become equal under loss, late and repeated messages, and restarts.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{announcement, table};
use membership::{Announcement, Readiness, Reply, Request, Table};
use proptest::prelude::*;
use uuid::Uuid;

const GATES: usize = 4;

#[derive(Clone, Debug)]
enum Op {
    Announce {
        gate: usize,
        endpoint: u8,
        life: u8,
        seq: u64,
    },
    Push {
        from: usize,
        to: usize,
    },
    PushAtOnce {
        from: usize,
        to: usize,
    },
    DeliverLate {
        to: usize,
        at: usize,
    },
    Exchange {
        from: usize,
        to: usize,
    },
    Restart {
        gate: usize,
    },
    Pass {
        ms: u64,
    },
}

fn op() -> impl Strategy<Value = Op> {
    let gate = || 0..GATES;
    prop_oneof![
        4 => (gate(), 0..4_u8, 0..3_u8, 1..9_u64).prop_map(|(gate, endpoint, life, seq)| {
            Op::Announce { gate, endpoint, life, seq }
        }),
        2 => (gate(), gate()).prop_map(|(from, to)| Op::Push { from, to }),
        2 => (gate(), gate()).prop_map(|(from, to)| Op::PushAtOnce { from, to }),
        2 => (gate(), any::<usize>()).prop_map(|(to, at)| Op::DeliverLate { to, at }),
        1 => (gate(), gate()).prop_map(|(from, to)| Op::Exchange { from, to }),
        1 => gate().prop_map(|gate| Op::Restart { gate }),
        1 => (0..1_000_u64).prop_map(|ms| Op::Pass { ms }),
    ]
}

/// An endpoint's announcement is always the same under one number.
fn said(endpoint: u8, life: u8, seq: u64) -> Announcement {
    let mut a = announcement(&format!("e{endpoint}"), life, seq);
    a.models[0].version = (seq / 3) as u32;
    if seq.is_multiple_of(4) {
        a.state = Readiness::Leaving;
    }
    a
}

type Known = BTreeMap<String, (Uuid, u64, Readiness, u32)>;

fn known(table: &Table) -> Known {
    let service = table.service("appraise-llm").unwrap_or_default();
    let endpoints = service.endpoints.iter().map(|endpoint| {
        let a = &endpoint.announced;
        let content = (a.incarnation, a.seq, a.state, a.models[0].version);
        (a.endpoint.clone(), content)
    });
    endpoints.collect()
}

async fn call(to: &Table, req: Request) -> Result<Reply, link::LinkError> {
    let answer = to.answer(&link::encode(&req)).await;
    link::decode(&answer)
}

async fn exchange(from: &Table, to: &Table) {
    from.exchange(|req| call(to, req)).await.unwrap();
}

/// Names an endpoint of which a gate believes something older than before.
fn gone_back(before: &Known, after: &Known) -> Option<String> {
    let is_older = |(name, old): &(&String, &(Uuid, u64, Readiness, u32))| {
        after
            .get(*name)
            .is_none_or(|new| (new.0, new.1) < (old.0, old.1))
    };
    before.iter().find(is_older).map(|(name, _)| name.clone())
}

async fn run(ops: Vec<Op>, with_restarts: bool) -> Result<(), TestCaseError> {
    let mut latest: BTreeMap<String, (u8, u64)> = BTreeMap::new();
    let mut tables: Vec<Table> = (0..GATES).map(|at| table(&format!("g{at}"))).collect();
    let mut on_the_way: Vec<Vec<u8>> = Vec::new();
    for op in ops {
        let before: Vec<Known> = tables.iter().map(known).collect();
        let mut restarted = None;
        match op {
            Op::Announce {
                gate,
                endpoint,
                life,
                seq,
            } => {
                // An old one is refused, and must change nothing.
                let _ = tables[gate].announce(said(endpoint, life, seq));
                let latest = latest.entry(format!("e{endpoint}")).or_default();
                *latest = (*latest).max((life, seq));
            }
            Op::Push { from, to } => {
                let (_, deltas) = tables[from].unsent(0, &format!("g{to}"), 0);
                let (from, reach) = (format!("g{from}"), 1);
                on_the_way.push(link::encode(&Request::Deltas {
                    from,
                    reach,
                    deltas,
                }));
            }
            Op::PushAtOnce { from, to } => {
                let call = |req| call(&tables[to], req);
                tables[from]
                    .push_unsent(0, &format!("g{to}"), 0, call)
                    .await;
            }
            Op::DeliverLate { to, at } if !on_the_way.is_empty() => {
                let body = &on_the_way[at % on_the_way.len()];
                tables[to].answer(body).await;
            }
            Op::DeliverLate { .. } => {}
            Op::Exchange { from, to } => exchange(&tables[from], &tables[to]).await,
            Op::Restart { .. } if !with_restarts => {}
            Op::Restart { gate } => {
                tables[gate] = table(&format!("g{gate}"));
                restarted = Some(gate);
            }
            Op::Pass { ms } => tokio::time::advance(Duration::from_millis(ms)).await,
        }
        for gate in (0..GATES).filter(|gate| Some(*gate) != restarted) {
            prop_assert_eq!(gone_back(&before[gate], &known(&tables[gate])), None);
        }
    }
    converge(&tables, &latest, with_restarts).await
}

/// Lets the gates exchange around the ring, and checks that all tables are equal and hold what was
/// announced last.
async fn converge(
    tables: &[Table],
    latest: &BTreeMap<String, (u8, u64)>,
    with_restarts: bool,
) -> Result<(), TestCaseError> {
    for _ in 0..2 {
        for at in 0..GATES {
            exchange(&tables[at], &tables[(at + 1) % GATES]).await;
        }
    }
    let first = known(&tables[0]);
    for table in tables {
        prop_assert_eq!(&known(table), &first);
        for (name, (_, _, state, version)) in known(table) {
            // What only a restarted gate had heard may be lost.
            if !with_restarts {
                let (life, seq) = latest[&name];
                let last = said(name[1..].parse().unwrap(), life, seq);
                prop_assert_eq!((last.state, last.models[0].version), (state, version));
            }
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn tables_become_equal_and_never_go_back(ops in prop::collection::vec(op(), 1..80), with_restarts: bool) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(run(ops, with_restarts))?;
    }
}

#[test]
fn the_check_sees_a_table_that_goes_back() {
    let at = |life: u8, seq| {
        let incarnation = common::incarnation(life);
        Known::from([("e0".to_owned(), (incarnation, seq, Readiness::Ready, 0))])
    };
    assert_eq!(gone_back(&at(1, 3), &at(1, 2)), Some("e0".to_owned()));
    assert_eq!(gone_back(&at(2, 1), &at(1, 9)), Some("e0".to_owned()));
    assert_eq!(gone_back(&at(1, 9), &at(2, 1)), None);
}
