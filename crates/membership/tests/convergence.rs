//! Tables of several gates converge despite lost, delayed and repeated messages and restarts.

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
        generation: u8,
        seq: u64,
    },
    Push {
        from: usize,
        to: usize,
    },
    PushDirectly {
        from: usize,
        to: usize,
    },
    DeliverDelayed {
        to: usize,
        index: usize,
    },
    Exchange {
        from: usize,
        to: usize,
    },
    Restart {
        gate: usize,
    },
    AdvanceTime {
        ms: u64,
    },
}

fn op() -> impl Strategy<Value = Op> {
    let gate = || 0..GATES;
    prop_oneof![
        4 => (gate(), 0..4_u8, 0..3_u8, 1..9_u64).prop_map(|(gate, endpoint, generation, seq)| {
            Op::Announce { gate, endpoint, generation, seq }
        }),
        2 => (gate(), gate()).prop_map(|(from, to)| Op::Push { from, to }),
        2 => (gate(), gate()).prop_map(|(from, to)| Op::PushDirectly { from, to }),
        2 => (gate(), any::<usize>()).prop_map(|(to, index)| Op::DeliverDelayed { to, index }),
        1 => (gate(), gate()).prop_map(|(from, to)| Op::Exchange { from, to }),
        1 => gate().prop_map(|gate| Op::Restart { gate }),
        1 => (0..1_000_u64).prop_map(|ms| Op::AdvanceTime { ms }),
    ]
}

/// Returns an announcement that depends only on endpoint, generation and sequence number.
fn announcement_of(endpoint: u8, generation: u8, seq: u64) -> Announcement {
    let mut a = announcement(&format!("e{endpoint}"), generation, seq);
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

/// Returns the name of an endpoint whose state at a gate became older than before.
fn regressed(before: &Known, after: &Known) -> Option<String> {
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
    let mut in_transit: Vec<Vec<u8>> = Vec::new();
    for op in ops {
        let before: Vec<Known> = tables.iter().map(known).collect();
        let mut restarted = None;
        match op {
            Op::Announce {
                gate,
                endpoint,
                generation,
                seq,
            } => {
                // A stale announcement is refused and must change nothing.
                let _ = tables[gate].announce(announcement_of(endpoint, generation, seq));
                let latest = latest.entry(format!("e{endpoint}")).or_default();
                *latest = (*latest).max((generation, seq));
            }
            Op::Push { from, to } => {
                let (_, deltas) = tables[from].unsent(0, &format!("g{to}"), 0);
                let (from, reach) = (format!("g{from}"), 1);
                in_transit.push(link::encode(&Request::push(from, reach, deltas)));
            }
            Op::PushDirectly { from, to } => {
                let call = |req| call(&tables[to], req);
                tables[from]
                    .push_unsent(0, &format!("g{to}"), 0, call)
                    .await;
            }
            Op::DeliverDelayed { to, index } if !in_transit.is_empty() => {
                let body = &in_transit[index % in_transit.len()];
                tables[to].answer(body).await;
            }
            Op::DeliverDelayed { .. } => {}
            Op::Exchange { from, to } => exchange(&tables[from], &tables[to]).await,
            Op::Restart { .. } if !with_restarts => {}
            Op::Restart { gate } => {
                tables[gate] = table(&format!("g{gate}"));
                restarted = Some(gate);
            }
            Op::AdvanceTime { ms } => tokio::time::advance(Duration::from_millis(ms)).await,
        }
        for gate in (0..GATES).filter(|gate| Some(*gate) != restarted) {
            prop_assert_eq!(regressed(&before[gate], &known(&tables[gate])), None);
        }
    }
    converge(&tables, &latest, with_restarts).await
}

/// Runs exchanges around the ring, then checks that all tables are equal and contain the last
/// announcements.
async fn converge(
    tables: &[Table],
    latest: &BTreeMap<String, (u8, u64)>,
    with_restarts: bool,
) -> Result<(), TestCaseError> {
    for _ in 0..2 {
        for index in 0..GATES {
            exchange(&tables[index], &tables[(index + 1) % GATES]).await;
        }
    }
    let first = known(&tables[0]);
    for table in tables {
        prop_assert_eq!(&known(table), &first);
        for (name, (_, _, state, version)) in known(table) {
            // Announcements that only a restarted gate had received may be lost.
            if !with_restarts {
                let (generation, seq) = latest[&name];
                let last = announcement_of(name[1..].parse().unwrap(), generation, seq);
                prop_assert_eq!((last.state, last.models[0].version), (state, version));
            }
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn tables_converge_and_never_regress(ops in prop::collection::vec(op(), 1..80), with_restarts: bool) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(run(ops, with_restarts))?;
    }
}

#[test]
fn regression_check_detects_older_state() {
    let table_with = |generation: u8, seq| {
        let incarnation = common::incarnation(generation);
        Known::from([("e0".to_owned(), (incarnation, seq, Readiness::Ready, 0))])
    };
    assert_eq!(
        regressed(&table_with(1, 3), &table_with(1, 2)),
        Some("e0".to_owned())
    );
    assert_eq!(
        regressed(&table_with(2, 1), &table_with(1, 9)),
        Some("e0".to_owned())
    );
    assert_eq!(regressed(&table_with(1, 9), &table_with(2, 1)), None);
}
