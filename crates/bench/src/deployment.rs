//! The two built-in deployments: declaration, sizes, network latencies and traffic.

use std::time::Duration;

use declaration::{Declaration, ServiceKind};
use derives::token;

use crate::stand_in::Kind;

/// Name of a built-in deployment.
#[token]
#[serde(rename_all = "kebab-case")]
pub enum DeploymentName {
    /// Escort Desk Routing on the Harbor Fleet.
    EscortDesk,
    /// Jujubeferry Fleet for Pre-Owned Watch Trading.
    WatchTrading,
}

impl DeploymentName {
    /// Parses the name used in settings; returns `None` if it is unknown.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "escort-desk" => Some(Self::EscortDesk),
            "watch-trading" => Some(Self::WatchTrading),
            _ => None,
        }
    }

    /// Returns the name used in settings.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::EscortDesk => "escort-desk",
            Self::WatchTrading => "watch-trading",
        }
    }
}

/// Size of an availability zone.
#[derive(Clone, Copy, Debug)]
pub struct AzSize {
    /// Name of the availability zone.
    pub az: &'static str,
    /// Number of entry VMs, each with one gate.
    pub gates: usize,
    /// True if one of its VMs runs a keeper.
    pub has_keeper: bool,
}

/// Size and speed of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSize {
    /// Name of the service.
    pub service: &'static str,
    /// Number of endpoints over all availability zones.
    pub workers: usize,
    /// Mean time of one call or, for an engine, of one decode step.
    pub service_time: Duration,
    /// Concurrent calls of one endpoint or, for an engine, sequences in a batch.
    pub concurrency: usize,
}

/// A kind of request in the load.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Pipeline that is called.
    pub pipeline: &'static str,
    /// Workspace that the request belongs to.
    pub workspace: &'static str,
    /// Relative share of all arrivals.
    pub weight: u32,
    /// Length in bytes of the prompt prefix that requests of one dossier share.
    pub shared_bytes: usize,
    /// Length in bytes of the rest of the prompt, which is not shared.
    pub own_bytes: usize,
    /// True if the caller requests a streamed response.
    pub streams: bool,
}

/// A deployment to run experiments on.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name in settings and results.
    pub name: DeploymentName,
    /// Declaration document.
    pub document: &'static str,
    /// Availability zones with their sizes.
    pub azs: &'static [AzSize],
    /// Services with their sizes.
    pub services: &'static [ServiceSize],
    /// Kinds of requests that callers send.
    pub traffic: &'static [Traffic],
    /// One-way latency between two availability zones.
    pub az_latency: Duration,
    /// One-way latency between callers and an availability zone.
    pub client_latency: Duration,
}

const fn az(az: &'static str, gates: usize, has_keeper: bool) -> AzSize {
    AzSize {
        az,
        gates,
        has_keeper,
    }
}

const fn service(
    service: &'static str,
    workers: usize,
    millis: u64,
    concurrency: usize,
) -> ServiceSize {
    ServiceSize {
        service,
        workers,
        service_time: Duration::from_millis(millis),
        concurrency,
    }
}

const fn traffic(
    pipeline: &'static str,
    workspace: &'static str,
    weight: u32,
    shared_bytes: usize,
    own_bytes: usize,
) -> Traffic {
    Traffic {
        pipeline,
        workspace,
        weight,
        shared_bytes,
        own_bytes,
        streams: false,
    }
}

const fn streamed(traffic: Traffic) -> Traffic {
    Traffic {
        streams: true,
        ..traffic
    }
}

const ESCORT_DESK: Deployment = Deployment {
    name: DeploymentName::EscortDesk,
    document: include_str!("../../../examples/escort-desk/declaration.ini"),
    azs: &[
        az("rockland", 3, true),
        az("bucksport", 2, true),
        az("portland", 2, true),
    ],
    services: &[
        service("plan-model", 10, 5, 6),
        service("booking-desk", 3, 50, 2),
        service("ice-reports", 6, 60, 2),
        service("vessel-roster", 5, 40, 2),
        service("liaison-feed", 5, 60, 2),
    ],
    traffic: &[
        traffic("convoy-plan", "dispatch", 10, 2_048, 256),
        traffic("log-summary", "coast-guard", 10, 1_024, 2_048),
        streamed(traffic("radio-answer", "tug-masters", 25, 1_024, 128)),
        streamed(traffic("radio-answer", "fishing-boats", 10, 512, 128)),
        traffic("escort-booking", "ferries", 15, 0, 128),
        traffic("escort-booking", "dispatch", 15, 0, 128),
        traffic("roster-query", "coast-guard", 15, 0, 64),
    ],
    az_latency: Duration::from_millis(1),
    client_latency: Duration::from_micros(800),
};

const WATCH_TRADING: Deployment = Deployment {
    name: DeploymentName::WatchTrading,
    document: include_str!("../../../examples/watch-trading/declaration.ini"),
    azs: &[
        az("sousse-a", 2, true),
        az("sousse-b", 2, true),
        az("monastir-a", 2, true),
        az("mahdia-a", 2, false),
    ],
    services: &[
        service("appraise-llm", 12, 5, 6),
        service("ledger-desk", 4, 50, 2),
        service("dealer-portal", 5, 30, 2),
        service("photo-vault", 5, 60, 2),
        service("invoice-mill", 5, 40, 2),
    ],
    traffic: &[
        traffic("appraisal", "sousse-dealers", 15, 4_096, 2_048),
        traffic("appraisal", "monastir-dealers", 5, 4_096, 2_048),
        traffic("condition-summary", "sousse-dealers", 15, 512, 512),
        streamed(traffic("question", "monastir-dealers", 20, 256, 128)),
        streamed(traffic("question", "mahdia-dealers", 10, 256, 128)),
        traffic("piece-reservation", "sousse-dealers", 15, 0, 128),
        traffic("deposit-release", "back-office", 10, 0, 128),
        traffic("stock-query", "back-office", 10, 0, 64),
    ],
    az_latency: Duration::from_micros(300),
    client_latency: Duration::from_micros(1_500),
};

impl Deployment {
    /// Returns the deployment with this name.
    pub fn named(name: DeploymentName) -> Self {
        match name {
            DeploymentName::EscortDesk => ESCORT_DESK,
            DeploymentName::WatchTrading => WATCH_TRADING,
        }
    }

    /// Parses the declaration document.
    pub fn declaration(&self) -> eyre::Result<Declaration> {
        let read = Declaration::read(self.name.as_str(), self.document.as_bytes());
        read.map_err(|faults| eyre::eyre!("{faults}"))
    }

    /// Returns the availability zone of a service's `n`-th endpoint; zones are assigned in rotation.
    pub fn az_of(&self, n: usize) -> &'static str {
        self.azs[n % self.azs.len()].az
    }
}

/// Returns the kind of stand-in for a service.
pub fn stand_in_kind(declaration: &Declaration, service: &str) -> Kind {
    match declaration.services.get(service).map(|s| s.kind) {
        Some(ServiceKind::Engine) => Kind::Engine,
        Some(ServiceKind::Plain) | None => Kind::Plain,
        Some(_) => Kind::Pool,
    }
}
