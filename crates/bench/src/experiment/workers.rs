//! The endpoints of a fleet: stand-ins, each behind its own proxy.

use std::{collections::BTreeMap, time::Duration};

use declaration::Declaration;
use membership::LoadedModel;

use crate::{
    deployment::{Deployment, ServiceSize, stand_in_kind},
    proxy::Proxy,
    stand_in::{self, EngineConfig, Fault, JournalEntry, StandIn, StandInConfig},
};

/// Time between announcements of an endpoint.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);

/// One endpoint; `stand_in` is `None` while it is down.
#[derive(Debug)]
struct Worker {
    cfg: StandInConfig,
    proxy: Proxy,
    stand_in: Option<StandIn>,
}

/// All endpoints of a fleet.
#[derive(Debug)]
pub(crate) struct Workers {
    workers: Vec<Worker>,
    /// Journal entries of stand-ins that were killed.
    past_entries: Vec<JournalEntry>,
}

impl Workers {
    pub(crate) async fn start(
        deployment: &Deployment,
        declaration: &Declaration,
        gates: &BTreeMap<String, Vec<String>>,
        seed: u64,
    ) -> eyre::Result<Self> {
        let mut workers = Vec::new();
        for size in deployment.services {
            for n in 0..size.workers {
                let az = deployment.az_of(n);
                let mut cfg = config(declaration, size, n, az);
                cfg.seed = seed.wrapping_add(workers.len() as u64);
                cfg.gates = rotate_gates(gates.get(az), n);
                let proxy = Proxy::start(cfg.seed).await?;
                cfg.announced_address = Some(format!("http://{}", proxy.address()));
                let stand_in = stand_in::start(cfg.clone()).await?;
                proxy.set_upstream(stand_in.address());
                workers.push(Worker {
                    cfg,
                    proxy,
                    stand_in: Some(stand_in),
                });
            }
        }
        Ok(Self {
            workers,
            past_entries: Vec::new(),
        })
    }

    fn first_of(&mut self, service: &str) -> Option<&mut Worker> {
        self.workers.iter_mut().find(|w| w.cfg.service == service)
    }

    /// Injects `fault` at the first endpoint of `service`.
    pub(crate) fn set_fault(&mut self, service: &str, fault: Fault) {
        let worker = self.first_of(service);
        if let Some(stand_in) = worker.and_then(|w| w.stand_in.as_ref()) {
            stand_in.set_fault(fault);
        }
    }

    /// Clears the faults of all endpoints.
    pub(crate) fn clear_faults(&self) {
        let all = self.workers.iter().filter_map(|w| w.stand_in.as_ref());
        all.for_each(|s| s.set_fault(Fault::None));
    }

    /// Kills the first endpoint of `service` and starts it again.
    pub(crate) async fn restart(&mut self, service: &str) -> eyre::Result<()> {
        let Some(worker) = self.first_of(service) else {
            return Ok(());
        };
        let journal = worker.stand_in.take().map(|stand_in| {
            let journal = stand_in.journal();
            stand_in.kill();
            journal
        });
        worker.proxy.reset_connections();
        let stand_in = stand_in::start(worker.cfg.clone()).await?;
        worker.proxy.set_upstream(stand_in.address());
        worker.stand_in = Some(stand_in);
        self.past_entries.extend(journal.unwrap_or_default());
        Ok(())
    }

    /// Makes the first endpoint of `service` announce that it is leaving.
    pub(crate) async fn leave(&mut self, service: &str) {
        let worker = self.first_of(service);
        if let Some(stand_in) = worker.and_then(|w| w.stand_in.as_ref()) {
            stand_in.leave().await;
        }
    }

    /// Stops traffic on the open connections to all endpoints.
    pub(crate) fn silence_connections(&self) {
        self.workers
            .iter()
            .for_each(|w| w.proxy.silence_connections());
    }

    /// Sets the gates that endpoints announce to, by availability zone.
    pub(crate) fn set_gates(&mut self, gates: &BTreeMap<String, Vec<String>>) {
        for (n, worker) in self.workers.iter_mut().enumerate() {
            worker.cfg.gates = rotate_gates(gates.get(&worker.cfg.az), n);
            if let Some(stand_in) = &worker.stand_in {
                stand_in.set_gates(worker.cfg.gates.clone());
            }
        }
    }

    /// Returns how many running endpoints of `service` have loaded `version`, and how many run.
    pub(crate) fn count_loaded(&self, service: &str, version: u32) -> (usize, usize) {
        let of_service = self.workers.iter().filter(|w| w.cfg.service == service);
        let stand_ins: Vec<&StandIn> = of_service.filter_map(|w| w.stand_in.as_ref()).collect();
        let has = |s: &&&StandIn| s.models().iter().any(|m| m.version == version);
        (stand_ins.iter().filter(has).count(), stand_ins.len())
    }

    /// Returns the journal entries of all endpoints, in order of time.
    pub(crate) fn journals(&self) -> Vec<JournalEntry> {
        let stand_ins = self.workers.iter().filter_map(|w| w.stand_in.as_ref());
        let mut all: Vec<JournalEntry> = stand_ins.flat_map(StandIn::journal).collect();
        all.extend(self.past_entries.iter().cloned());
        all.sort_by_key(|entry| entry.at_ms);
        all
    }
}

fn rotate_gates(gates: Option<&Vec<String>>, n: usize) -> Vec<String> {
    let mut gates = gates.cloned().unwrap_or_default();
    let offset = n % gates.len().max(1);
    gates.rotate_left(offset);
    gates
}

fn config(declaration: &Declaration, size: &ServiceSize, n: usize, az: &str) -> StandInConfig {
    let kind = stand_in_kind(declaration, size.service);
    let name = format!("{}-{n}", size.service);
    let mut cfg = StandInConfig::new(&name, size.service, az, kind);
    cfg.announce_interval = ANNOUNCE_INTERVAL;
    cfg.service_time = size.service_time;
    cfg.concurrency = size.concurrency;
    cfg.checks_fencing = !n.is_multiple_of(3);
    cfg.engine = EngineConfig {
        decode_step: size.service_time,
        max_batch: size.concurrency,
        ..EngineConfig::default()
    };
    let service = declaration.services.get(size.service);
    let model = service.and_then(|s| Some((s.model.clone()?, s.version?, s.adapters.clone())));
    cfg.models = model.into_iter().map(loaded_model).collect();
    cfg
}

fn loaded_model((model, version, adapters): (String, u32, Vec<String>)) -> LoadedModel {
    LoadedModel {
        model,
        version,
        adapters,
    }
}
