//! The two sample deployments in miniature.

use bench::stand_in::Kind;

/// Endpoints of each service in the miniature.
pub const ENDPOINTS_EACH: usize = 2;

/// One deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Its declaration, INI.
    pub declaration: &'static str,
    /// The availability zone in which the miniature runs.
    pub az: &'static str,
    /// Its services with the kind of stand-in that plays their endpoints.
    pub services: [(&'static str, Kind); 5],
    /// What its callers ask.
    pub questions: [Question; 3],
}

/// One request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Question {
    /// The pipeline called.
    pub pipeline: &'static str,
    /// On whose behalf.
    pub workspace: &'static str,
    /// The input, JSON.
    pub input: &'static str,
    /// How it is asked.
    pub manner: Manner,
}

/// How a request is asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    /// The answer comes whole.
    Whole,
    /// The answer is streamed.
    Streamed,
    /// With an idempotency key, and sent twice.
    Booking,
}

/// The service that takes requests passed on whole, beside a deployment's own.
pub const BOARD: &str = "notice-board";
/// The access key of those who ask it.
pub const KEY: &str = "demo-key";
/// The path below which it is asked.
pub const NOTICES: &str = "/notices/today";

/// What is declared of it.
pub fn board() -> String {
    let key = forward::key_digest(KEY);
    format!(
        "
[service {BOARD}]
kind = plain
repeatable = yes
[route notices]
host = 127.0.0.1
path_prefix = /notices/
repeat = anew
attempts = 2
services = {BOARD} 1
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
    questions: [
        Question {
            pipeline: "convoy-plan",
            workspace: "dispatch",
            input: r#"{"day":"2026-12-04","vessels":["Juniper","Ocean Bounty"]}"#,
            manner: Manner::Whole,
        },
        Question {
            pipeline: "radio-answer",
            workspace: "tug-masters",
            input: r#""Is the channel open above Bucksport?""#,
            manner: Manner::Streamed,
        },
        Question {
            pipeline: "escort-booking",
            workspace: "ferries",
            input: r#"{"vessel":"Island Queen","from":"Rockland","at":"06:30"}"#,
            manner: Manner::Booking,
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
    questions: [
        Question {
            pipeline: "appraisal",
            workspace: "sousse-dealers",
            input: r#"{"reference":"SP-1963","papers":true,"serviced":[1998,2014]}"#,
            manner: Manner::Whole,
        },
        Question {
            pipeline: "question",
            workspace: "sousse-dealers",
            input: r#""Which years had the gilt dial?""#,
            manner: Manner::Streamed,
        },
        Question {
            pipeline: "piece-reservation",
            workspace: "sousse-dealers",
            input: r#"{"piece":"SP-1963/7","dealer":"Medina Sousse"}"#,
            manner: Manner::Booking,
        },
    ],
};
