//! The two sample deployments in miniature.

use bench::stand_in::Kind;

/// Number of endpoints started for each service.
pub const ENDPOINTS_PER_SERVICE: usize = 2;

/// A sample deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name, also of its folder below `examples`.
    pub name: &'static str,
    /// Declaration, as INI.
    pub declaration: &'static str,
    /// Availability zone in which all of its processes run.
    pub az: &'static str,
    /// Services, each with the kind of stand-in that runs as its endpoints.
    pub services: [(&'static str, Kind); 5],
    /// Requests that callers send in each round.
    pub requests: [SampleRequest; 3],
}

/// One request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct SampleRequest {
    /// Pipeline to call.
    pub pipeline: &'static str,
    /// Workspace that the request belongs to.
    pub workspace: &'static str,
    /// Input, as JSON.
    pub input: &'static str,
    /// How the request is made.
    pub mode: CallMode,
}

/// How a request is made; the variant's name in lower case is printed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallMode {
    /// The response comes as a whole.
    Whole,
    /// The response is a stream of events.
    Streamed,
    /// The request has an idempotency key and is sent twice.
    Booking,
}

/// Service behind the sample route, added to each deployment's own services.
pub const NOTICE_BOARD: &str = "notice-board";
/// Access key of the route's callers.
pub const ROUTE_KEY: &str = "demo-key";
/// Path requested, which is below the route's prefix.
pub const NOTICES_PATH: &str = "/notices/today";

/// Returns the sections, as INI, that declare the service, its route and its callers.
pub fn notice_board_sections() -> String {
    let key = forward::key_digest(ROUTE_KEY);
    format!(
        "
[service {NOTICE_BOARD}]
kind = plain
repeatable = yes
[route notices]
host = 127.0.0.1
path_prefix = /notices/
repeat = anew
attempts = 2
services = {NOTICE_BOARD} 1
[workspace demo-callers]
keys = {key}
"
    )
}

/// Both deployments.
pub const DEPLOYMENTS: [Deployment; 2] = [ESCORT_DESK, WATCH_TRADING];

const ESCORT_DESK: Deployment = Deployment {
    name: "escort-desk",
    declaration: include_str!("../../../examples/escort-desk/declaration.ini"),
    az: "rockland",
    services: [
        ("plan-model", Kind::Engine),
        ("booking-desk", Kind::Plain),
        ("ice-reports", Kind::Pool),
        ("vessel-roster", Kind::Plain),
        ("liaison-feed", Kind::Pool),
    ],
    requests: [
        SampleRequest {
            pipeline: "convoy-plan",
            workspace: "dispatch",
            input: r#"{"day":"2026-12-04","vessels":["Juniper","Ocean Bounty"]}"#,
            mode: CallMode::Whole,
        },
        SampleRequest {
            pipeline: "radio-answer",
            workspace: "tug-masters",
            input: r#""Is the channel open above Bucksport?""#,
            mode: CallMode::Streamed,
        },
        SampleRequest {
            pipeline: "escort-booking",
            workspace: "ferries",
            input: r#"{"vessel":"Island Queen","from":"Rockland","at":"06:30"}"#,
            mode: CallMode::Booking,
        },
    ],
};

const WATCH_TRADING: Deployment = Deployment {
    name: "watch-trading",
    declaration: include_str!("../../../examples/watch-trading/declaration.ini"),
    az: "sousse-a",
    services: [
        ("appraise-llm", Kind::Engine),
        ("ledger-desk", Kind::Plain),
        ("dealer-portal", Kind::Plain),
        ("photo-vault", Kind::Pool),
        ("invoice-mill", Kind::Plain),
    ],
    requests: [
        SampleRequest {
            pipeline: "appraisal",
            workspace: "sousse-dealers",
            input: r#"{"reference":"SP-1963","papers":true,"serviced":[1998,2014]}"#,
            mode: CallMode::Whole,
        },
        SampleRequest {
            pipeline: "question",
            workspace: "sousse-dealers",
            input: r#""Which years had the gilt dial?""#,
            mode: CallMode::Streamed,
        },
        SampleRequest {
            pipeline: "piece-reservation",
            workspace: "sousse-dealers",
            input: r#"{"piece":"SP-1963/7","dealer":"Medina Sousse"}"#,
            mode: CallMode::Booking,
        },
    ],
};
