//! The kinds of lines.

use derives::{record, token};

use crate::kind::Kind;

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
        /// Tokens to read that it is thought not to keep, where they are counted.
        unread_tokens: Option<u64>,
        /// The share of the prompt that it is thought to keep, in hundredths, where tokens aren't
        /// counted.
        cached_percent: Option<u64>,
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
        /// What the caller has: the number of the last event, or the length of the text in bytes
        /// where it is put together by offset.
        after: u64,
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
    /// The keepers' word on the idempotency key of a stage that may not be repeated.
    Ledger {
        /// The service.
        service: String,
        /// The key.
        key: String,
        /// Granted, in progress, settled and the like; or why no quorum answered.
        said: String,
        /// Time that it took.
        took_ms: u64,
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
        /// Time to the first part of the answer.
        #[serde(default)]
        first_ms: u64,
        /// Longest pause between two parts of a stream.
        #[serde(default)]
        pause_ms: u64,
        /// Whether it missed its objective, by its first part or by a pause.
        #[serde(default)]
        is_late: bool,
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
    /// Who tells what is declared, or that nobody does any more.
    Follows {
        /// A keeper or gate.
        source: Option<String>,
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
    /// What a controller holds of its availability zone's lease.
    Lease {
        /// The fencing number under which orders go out; `None` where none may.
        fencing: Option<u64>,
        /// Why none was granted or renewed.
        why: Option<String>,
    },
    /// A controller's order to an endpoint was answered, or lost.
    Order {
        /// Its id.
        order: String,
        /// The endpoint.
        endpoint: String,
        /// What is ordered.
        action: String,
        /// The model version that it is about.
        version: u32,
        /// Why it was not taken; `None` where it was.
        why: Option<String>,
    },
    /// A rollout was halted, since fewer requests met their objective with the new version.
    RolloutHalted {
        /// The service.
        service: String,
        /// The new version.
        version: u32,
        /// What was compared.
        why: String,
    },
    /// An endpoint said in an answer that it is leaving.
    EndpointLeaving {
        /// The endpoint.
        endpoint: String,
        /// The gate that had the answer.
        source: String,
        /// How long ago that was.
        age_ms: u64,
    },
    /// An endpoint asked this gate for a pause.
    EndpointPaused {
        /// The endpoint.
        endpoint: String,
        /// Its service.
        service: String,
        /// How long it lasts.
        for_ms: u64,
    },
    /// No connection to an endpoint was made; more in a row are not told.
    EndpointUnreached {
        /// The endpoint.
        endpoint: String,
        /// Its service.
        service: String,
        /// Why.
        why: String,
    },
    /// Lines that were left out since the last such line.
    LeftOut {
        /// Their kind; `queue` where the reader of the log was too slow.
        of: String,
        /// How many.
        count: u64,
    },
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
            Self::Ledger { .. } => Kind::Ledger,
            Self::Served { is_late: true, .. } => Kind::ServedLate,
            Self::Served { .. } => Kind::Served,
            Self::Failed { .. } => Kind::Failed,
            Self::ItemsFailed { .. } => Kind::ItemsFailed,
            Self::BatchFailed { .. } => Kind::BatchFailed,
            Self::EndpointState { .. } => Kind::EndpointState,
            Self::EndpointEjected { .. } => Kind::EndpointEjected,
            Self::EndpointBack { .. } => Kind::EndpointBack,
            Self::EndpointMisplaced { .. } => Kind::EndpointMisplaced,
            Self::EndpointLeaving { .. } => Kind::EndpointLeaving,
            Self::EndpointPaused { .. } => Kind::EndpointPaused,
            Self::EndpointUnreached { .. } => Kind::EndpointUnreached,
            Self::ZonesOut { .. } => Kind::ZonesOut,
            Self::Collects { .. } => Kind::Collects,
            Self::Confirmation { .. } => Kind::Confirmation,
            Self::Keepers { .. } => Kind::Keepers,
            Self::Follows { .. } => Kind::Follows,
            Self::InForce { .. } => Kind::InForce,
            Self::Consensus { .. } => Kind::Consensus,
            Self::Lease { .. } => Kind::Lease,
            Self::Order { .. } => Kind::Order,
            Self::RolloutHalted { .. } => Kind::RolloutHalted,
            Self::LeftOut { .. } => Kind::LeftOut,
        }
    }
}
