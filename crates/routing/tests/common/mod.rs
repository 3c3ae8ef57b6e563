//! Endpoints, tables and routers for tests.

use std::{collections::BTreeMap, time::Duration};

use membership::{Announcement, Load, LoadedModel, Readiness, StageRole, Table, TableConfig};
use routing::{CallOutcome, CallRequirements, Observation, Router, RouterConfig};
use uuid::Uuid;

pub const SERVICE: &str = "plan-model";
pub const AZ: &str = "rockland";

/// A ready endpoint of [`SERVICE`] in `az`.
pub fn announcement(endpoint: &str, az: &str, seq: u64) -> Announcement {
    Announcement {
        endpoint: endpoint.to_owned(),
        service: SERVICE.to_owned(),
        az: az.to_owned(),
        address: "http://127.0.0.1:9000".to_owned(),
        incarnation: Uuid::from_u128(7),
        seq,
        state: Readiness::Ready,
        models: vec![LoadedModel {
            model: "planner".to_owned(),
            version: 3,
            adapters: vec!["ice".to_owned()],
        }],
        role: StageRole::Both,
        checks_fencing: true,
        slots: None,
        load: Load::default(),
    }
}

/// How many of `calls` with one cached prompt go to the endpoint that holds it, of `endpoints`.
pub fn drawn_by_cache(endpoints: usize, calls: usize) -> usize {
    let table = table(endpoints);
    let router = router(&table);
    let prompt = vec![b'x'; 1_024];
    let asked = CallRequirements {
        prompt: Some(&prompt),
        ..requirements()
    };
    router.pick(&asked).unwrap().finish(answered(10));
    let picks: Vec<_> = (0..calls).map(|_| router.pick(&asked).unwrap()).collect();
    picks.iter().filter(|p| p.cached_share() > 0.5).count()
}

/// A table of a gate in [`AZ`] that knows `endpoints` of it.
pub fn table(endpoints: usize) -> Table {
    let table = Table::new(TableConfig::new("g0", AZ));
    for at in 0..endpoints {
        table
            .announce(announcement(&format!("e{at:04}"), AZ, 1))
            .unwrap();
    }
    table
}

/// A router of the only gate of [`AZ`].
pub fn router(table: &Table) -> Router {
    Router::new(RouterConfig::new("g0", AZ, Vec::new()), table.clone())
}

/// Needs nothing but an endpoint of [`SERVICE`].
pub fn requirements() -> CallRequirements<'static> {
    CallRequirements {
        service: SERVICE,
        ..CallRequirements::default()
    }
}

/// A call that was answered after `ms`.
pub fn answered(ms: u64) -> Observation {
    Observation::new(CallOutcome::Answered, Duration::from_millis(ms))
}

/// Picks `count` calls that stay in flight; how many each endpoint got.
pub fn spread(router: &Router, count: usize) -> BTreeMap<String, u32> {
    let picks: Vec<_> = (0..count)
        .map(|_| router.pick(&requirements()).unwrap())
        .collect();
    let mut got = BTreeMap::new();
    for pick in &picks {
        *got.entry(pick.name().to_owned()).or_default() += 1;
    }
    got
}
