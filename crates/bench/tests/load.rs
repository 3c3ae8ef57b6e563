//! Generated arrivals and the built-in deployments.

use std::{collections::BTreeMap, time::Duration};

use bench::{
    deployment::{Deployment, DeploymentName},
    load::{Arrival, Burst, LoadPlan, generate_arrivals},
};

fn plan(seed: u64) -> LoadPlan {
    LoadPlan {
        rate: 200.0,
        duration: Duration::from_secs(30),
        bursts: vec![Burst {
            start: Duration::from_secs(10),
            duration: Duration::from_secs(10),
            factor: 3.0,
        }],
        seed,
    }
}

fn generate_all(seed: u64) -> Vec<Arrival> {
    let deployment = Deployment::named(DeploymentName::EscortDesk);
    generate_arrivals(&deployment, &BTreeMap::new(), &plan(seed))
}

#[test]
fn the_same_seed_gives_the_same_arrivals() {
    let key = |a: &Arrival| (a.at, a.subject.clone(), a.input.to_string());
    let one: Vec<_> = generate_all(1).iter().map(key).collect();
    let again: Vec<_> = generate_all(1).iter().map(key).collect();
    let other: Vec<_> = generate_all(2).iter().map(key).collect();
    assert_eq!(one, again);
    assert_ne!(one, other);
}

#[test]
fn a_burst_multiplies_the_arrival_rate() {
    let arrivals = generate_all(1);
    let within = |from: u64, to: u64| {
        let is_in = |a: &&Arrival| (from..to).contains(&a.at.as_secs());
        arrivals.iter().filter(is_in).count() as f64
    };
    let factor = within(10, 20) / within(0, 10);
    assert!((2.7..3.3).contains(&factor), "{factor}");
}

#[test]
fn every_input_contains_its_subject() {
    for arrival in generate_all(1) {
        let text = arrival.input.to_string();
        assert_eq!(
            bench::output::find_subject(&text),
            Some(arrival.subject.as_str())
        );
    }
}

#[test]
fn both_deployments_have_the_specified_sizes() {
    for (name, gates, workers) in [
        (DeploymentName::EscortDesk, 7, 29),
        (DeploymentName::WatchTrading, 8, 31),
    ] {
        let deployment = Deployment::named(name);
        let declaration = deployment.declaration().unwrap();
        assert_eq!(
            deployment.azs.iter().map(|az| az.gates).sum::<usize>(),
            gates
        );
        assert_eq!(
            deployment.services.iter().map(|s| s.workers).sum::<usize>(),
            workers
        );
        assert_eq!(declaration.workspaces.len(), 5);
        for traffic in deployment.traffic {
            let workspace = &declaration.workspaces[traffic.workspace];
            assert!(
                workspace.pipelines.iter().any(|p| p == traffic.pipeline),
                "{traffic:?}"
            );
        }
        for size in deployment.services {
            assert!(declaration.services.contains_key(size.service), "{size:?}");
        }
    }
}
