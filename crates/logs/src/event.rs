//! The kinds of lines.

use derives::{record, token};
use spdlog::Level;

/// How a request ended.
#[token]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// An answer of an endpoint was passed on whole.
    Served,
    /// It never ran; the caller was told so.
    Refused,
    /// It may have run and its answer was lost, or its stream was broken off.
    Lost,
    /// An endpoint's own failure was passed on.
    EndpointFailed,
    /// Its time was over.
    Late,
    /// It named no route or key that there is, or was malformed.
    Rejected,
    /// Its caller left before the end.
    Left,
}

/// A decision, or a change of what a process believes. Times are in milliseconds.
#[record]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Event {
    /// A request was admitted on a route.
    Admitted {
        /// The route.
        route: String,
        /// The workspace, where the route asks for one.
        workspace: Option<String>,
        /// Urgency, 0 first.
        urgency: u8,
        /// Time until its deadline.
        left_ms: u64,
        /// Age of the last confirmation that the declaration in force is the newest.
        confirmed_ms: Option<u64>,
    },
    /// The items of a stage were handed to the gate that collects them.
    StageSent {
        /// The stage's number.
        stage: usize,
        /// The batch pool.
        service: String,
        /// How many items.
        items: u32,
        /// The gate that collects.
        collector: String,
        /// Time in which its results are due for the objective; negative where it is past.
        due_ms: i64,
    },
    /// All results of a stage are there.
    StageMade {
        /// The stage's number.
        stage: usize,
        /// Endpoints that made them.
        endpoints: Vec<String>,
        /// Time since they were handed over.
        took_ms: u64,
    },
    /// A stage has no results.
    StageFailed {
        /// The stage's number.
        stage: usize,
        /// The batch pool.
        service: String,
        /// The gate that collects.
        collector: String,
        /// Why.
        why: String,
        /// Time since it was begun.
        took_ms: u64,
    },
    /// An endpoint was chosen.
    Chosen {
        /// The endpoint.
        endpoint: String,
        /// Its availability zone.
        az: String,
        /// Expected time to the first part of the answer.
        expected_ms: u64,
        /// This gate's calls in flight there.
        in_flight: u32,
        /// Other gates' calls there, as it last reported.
        others: u32,
        /// Age of that report.
        others_ms: Option<u64>,
        /// Tokens to read that it is thought not to keep.
        unread_tokens: u64,
        /// How many times slower than expected it was seen to be, in hundredths.
        slowness_percent: u64,
        /// Endpoints that could have been chosen.
        candidates: usize,
    },
    /// A call to an endpoint gave no answer that can be passed on.
    CallFailed {
        /// The endpoint.
        endpoint: String,
        /// Why.
        why: String,
        /// Whether the request may have run there.
        may_have_run: bool,
        /// Time since it was sent.
        took_ms: u64,
    },
    /// A request that could be tried once more was not.
    NotRepeated {
        /// The service.
        service: String,
        /// Why.
        why: String,
    },
    /// A stream goes on at another endpoint.
    Resumed {
        /// The endpoint.
        endpoint: String,
        /// Number of the last event that the caller has.
        after_event: u64,
    },
    /// A stream was broken off by its endpoint.
    StreamBroken {
        /// The endpoint.
        endpoint: String,
        /// Why.
        why: String,
        /// Number of the last event that the caller has.
        last_event: u64,
    },
    /// A request ended well.
    Served {
        /// The route.
        route: String,
        /// The HTTP status that was passed on.
        status: u16,
        /// The endpoint.
        endpoint: String,
        /// Tries that may have run.
        tries: u32,
        /// Time since its head had come.
        took_ms: u64,
    },
    /// A request ended without a whole answer of an endpoint.
    Failed {
        /// How.
        ending: Ending,
        /// The HTTP status that the caller got; 0 where it got none any more.
        status: u16,
        /// Why.
        why: String,
        /// When the caller may come back.
        retry_after_ms: Option<u64>,
        /// Time since its head had come.
        took_ms: u64,
    },
    /// The items of a stage were refused, or given up, by the gate that collects them.
    ItemsFailed {
        /// The batch pool.
        service: String,
        /// The stage's number.
        stage: usize,
        /// Why.
        why: String,
        /// Items that wait in the line, where they were refused at once.
        waiting: Option<usize>,
        /// Endpoints that the line may call, where they were refused at once.
        endpoints: Option<usize>,
        /// Time left until the request's deadline.
        left_ms: u64,
    },
    /// A batched call gave nothing.
    BatchFailed {
        /// The batch pool.
        service: String,
        /// The endpoint.
        endpoint: String,
        /// Requests whose items it held, the first of them.
        requests: Vec<String>,
        /// How many items.
        items: usize,
        /// Why.
        why: String,
        /// Time that it was expected to take.
        expected_ms: u64,
        /// Time that it took.
        took_ms: u64,
    },
    /// An endpoint's state as keepers tell it has changed.
    EndpointState {
        /// The endpoint.
        endpoint: String,
        /// Its service.
        service: String,
        /// Its availability zone.
        az: String,
        /// What it is now: ready, leaving, suspect, gone and the like.
        state: String,
    },
    /// An endpoint gets no calls for a while, for what its calls showed.
    EndpointEjected {
        /// The endpoint.
        endpoint: String,
        /// Its service.
        service: String,
        /// For how long.
        for_ms: u64,
        /// Endpoints of the service that are left out.
        out: usize,
        /// Endpoints of the service.
        of: usize,
    },
    /// An endpoint that was ejected has answered a call again.
    EndpointBack {
        /// The endpoint.
        endpoint: String,
        /// Its service.
        service: String,
    },
    /// Another endpoint answers at an endpoint's address.
    EndpointMisplaced {
        /// The endpoint.
        endpoint: String,
        /// Its service.
        service: String,
    },
    /// Availability zones that can't be reached, all of them.
    ZonesOut {
        /// The zones.
        zones: Vec<String>,
    },
    /// Another gate collects a service's items.
    Collects {
        /// The batch pool.
        service: String,
        /// The availability zone whose items they are, or `all`.
        az: String,
        /// The gate.
        gate: String,
        /// Gates known.
        of: usize,
    },
    /// A keeper that confirms was lost or found again; and with it whether access keys are taken.
    Confirmation {
        /// Whether the declaration in force is confirmed.
        is_fresh: bool,
        /// Age of the last confirmation.
        age_ms: Option<u64>,
    },
    /// The keepers known.
    Keepers {
        /// Their names.
        names: Vec<String>,
    },
    /// A declaration is in force.
    InForce {
        /// Its revision.
        revision: u64,
    },
    /// What a keeper believes of its group.
    Consensus {
        /// Its role: leader, follower and the like.
        role: String,
        /// The term.
        term: u64,
        /// Who leads, where that is known.
        leader: Option<String>,
        /// The voters.
        voters: Vec<String>,
        /// Members that don't vote.
        learners: Vec<String>,
    },
    /// Lines that were left out since the last such line.
    LeftOut {
        /// Their kind; `queue` where the reader of the log was too slow.
        of: String,
        /// How many.
        count: u64,
    },
}

/// The kind of a line, which its budget counts by.
#[token]
#[expect(
    missing_docs,
    reason = "each is the event of the same name; Text is a line without an event"
)]
pub enum Kind {
    Admitted,
    StageSent,
    StageMade,
    StageFailed,
    Chosen,
    CallFailed,
    NotRepeated,
    Resumed,
    StreamBroken,
    Served,
    Failed,
    ItemsFailed,
    BatchFailed,
    EndpointState,
    EndpointEjected,
    EndpointBack,
    EndpointMisplaced,
    ZonesOut,
    Collects,
    Confirmation,
    Keepers,
    InForce,
    Consensus,
    LeftOut,
    Text,
}

/// Lines a second of kinds that tell of failures and of decisions before them.
const FAILURES: u32 = 40;
/// Lines a second of kinds that tell of what went well.
const SUCCESSES: u32 = 4;
/// Lines a second of kinds that change what is believed.
const BELIEFS: u32 = 60;

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 25] = [
        Self::Admitted,
        Self::StageSent,
        Self::StageMade,
        Self::StageFailed,
        Self::Chosen,
        Self::CallFailed,
        Self::NotRepeated,
        Self::Resumed,
        Self::StreamBroken,
        Self::Served,
        Self::Failed,
        Self::ItemsFailed,
        Self::BatchFailed,
        Self::EndpointState,
        Self::EndpointEjected,
        Self::EndpointBack,
        Self::EndpointMisplaced,
        Self::ZonesOut,
        Self::Collects,
        Self::Confirmation,
        Self::Keepers,
        Self::InForce,
        Self::Consensus,
        Self::LeftOut,
        Self::Text,
    ];

    /// Its word in lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Admitted => "admitted",
            Self::StageSent => "stage_sent",
            Self::StageMade => "stage_made",
            Self::StageFailed => "stage_failed",
            Self::Chosen => "chosen",
            Self::CallFailed => "call_failed",
            Self::NotRepeated => "not_repeated",
            Self::Resumed => "resumed",
            Self::StreamBroken => "stream_broken",
            Self::Served => "served",
            Self::Failed => "failed",
            Self::ItemsFailed => "items_failed",
            Self::BatchFailed => "batch_failed",
            Self::EndpointState => "endpoint_state",
            Self::EndpointEjected => "endpoint_ejected",
            Self::EndpointBack => "endpoint_back",
            Self::EndpointMisplaced => "endpoint_misplaced",
            Self::ZonesOut => "zones_out",
            Self::Collects => "collects",
            Self::Confirmation => "confirmation",
            Self::Keepers => "keepers",
            Self::InForce => "in_force",
            Self::Consensus => "consensus",
            Self::LeftOut => "left_out",
            Self::Text => "text",
        }
    }

    /// Most lines of it in a second.
    pub fn per_second(self) -> u32 {
        match self {
            Self::Served => SUCCESSES,
            Self::Admitted
            | Self::StageSent
            | Self::StageMade
            | Self::StageFailed
            | Self::Chosen
            | Self::CallFailed
            | Self::NotRepeated
            | Self::Resumed
            | Self::StreamBroken
            | Self::Failed
            | Self::ItemsFailed
            | Self::BatchFailed => FAILURES,
            Self::EndpointState
            | Self::EndpointEjected
            | Self::EndpointBack
            | Self::EndpointMisplaced
            | Self::ZonesOut
            | Self::Collects
            | Self::Confirmation
            | Self::Keepers
            | Self::InForce
            | Self::Consensus
            | Self::Text => BELIEFS,
            Self::LeftOut => u32::MAX,
        }
    }

    pub(crate) fn level(self) -> Level {
        match self {
            Self::EndpointEjected | Self::ZonesOut | Self::LeftOut => Level::Warn,
            _ => Level::Info,
        }
    }

    /// Whether it is given up first where the reader is slow.
    pub(crate) fn is_success(self) -> bool {
        self == Self::Served
    }
}

impl Event {
    /// Its kind.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Admitted { .. } => Kind::Admitted,
            Self::StageSent { .. } => Kind::StageSent,
            Self::StageMade { .. } => Kind::StageMade,
            Self::StageFailed { .. } => Kind::StageFailed,
            Self::Chosen { .. } => Kind::Chosen,
            Self::CallFailed { .. } => Kind::CallFailed,
            Self::NotRepeated { .. } => Kind::NotRepeated,
            Self::Resumed { .. } => Kind::Resumed,
            Self::StreamBroken { .. } => Kind::StreamBroken,
            Self::Served { .. } => Kind::Served,
            Self::Failed { .. } => Kind::Failed,
            Self::ItemsFailed { .. } => Kind::ItemsFailed,
            Self::BatchFailed { .. } => Kind::BatchFailed,
            Self::EndpointState { .. } => Kind::EndpointState,
            Self::EndpointEjected { .. } => Kind::EndpointEjected,
            Self::EndpointBack { .. } => Kind::EndpointBack,
            Self::EndpointMisplaced { .. } => Kind::EndpointMisplaced,
            Self::ZonesOut { .. } => Kind::ZonesOut,
            Self::Collects { .. } => Kind::Collects,
            Self::Confirmation { .. } => Kind::Confirmation,
            Self::Keepers { .. } => Kind::Keepers,
            Self::InForce { .. } => Kind::InForce,
            Self::Consensus { .. } => Kind::Consensus,
            Self::LeftOut { .. } => Kind::LeftOut,
        }
    }
}
