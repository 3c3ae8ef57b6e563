//! Typed events.

use derives::{record, token};

use crate::kind::Kind;

/// How a request ended.
#[token]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// A complete response of an endpoint was forwarded.
    Served,
    /// It did not run, and the caller got a response that says so.
    Refused,
    /// It may have run, and its response was lost or its stream was interrupted.
    Lost,
    /// An error response of an endpoint was forwarded.
    EndpointFailed,
    /// The deadline passed.
    Late,
    /// The route or key is unknown, or the request is malformed.
    Rejected,
    /// The caller disconnected before the end.
    Left,
}

/// What became of a response whose endpoint fell silent.
#[token]
#[serde(rename_all = "snake_case")]
pub enum SilenceOutcome {
    /// It is kept, since no other endpoint can take over.
    Kept,
    /// Another endpoint's response replaced it.
    Overtaken,
    /// The endpoint stayed silent until the deadline.
    Deadline,
}

impl SilenceOutcome {
    /// Label for metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Kept => "kept",
            Self::Overtaken => "overtaken",
            Self::Deadline => "deadline",
        }
    }
}

/// A decision, or a change of a process's state. Times are in milliseconds.
#[record]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Event {
    /// A request was admitted on a route.
    Admitted {
        /// The route.
        route: String,
        /// The workspace, if the route requires one.
        workspace: Option<String>,
        /// Urgency; 0 is the most urgent.
        urgency: u8,
        /// Time to the deadline.
        left_ms: u64,
        /// Age of the last confirmation that the declaration in force is the latest.
        confirmed_ms: Option<u64>,
    },
    /// The items of a stage were sent to the gate that collects them.
    StageSent {
        /// The stage's number.
        stage: usize,
        /// The batch pool.
        service: String,
        /// Number of items.
        items: u32,
        /// The gate that collects.
        collector: String,
        /// Time until the results are due to meet the objective; negative if that is past.
        due_ms: i64,
    },
    /// All results of a stage were received.
    StageMade {
        /// The stage's number.
        stage: usize,
        /// Endpoints that produced the results.
        endpoints: Vec<String>,
        /// Time since the items were sent.
        took_ms: u64,
    },
    /// A stage produced no results.
    StageFailed {
        /// The stage's number.
        stage: usize,
        /// The batch pool.
        service: String,
        /// The gate that collects.
        collector: String,
        /// The reason.
        why: String,
        /// Time since the stage was started.
        took_ms: u64,
    },
    /// An endpoint was chosen for a call.
    Chosen {
        /// The endpoint.
        endpoint: String,
        /// Availability zone of the endpoint.
        az: String,
        /// Expected time to the first part of the response.
        expected_ms: u64,
        /// This gate's calls in flight to the endpoint.
        in_flight: u32,
        /// Other gates' calls in flight to the endpoint, as it last reported.
        others: u32,
        /// Age of that report.
        others_ms: Option<u64>,
        /// Estimated prompt tokens that the endpoint does not have cached, if tokens are counted.
        unread_tokens: Option<u64>,
        /// Estimated share of the prompt that the endpoint has cached, in percent, if tokens are not
        /// counted.
        cached_percent: Option<u64>,
        /// Ratio of the endpoint's observed latency to the expected one, in percent.
        slowness_percent: u64,
        /// Number of endpoints to choose from.
        candidates: usize,
    },
    /// A call to an endpoint produced no response that can be forwarded.
    CallFailed {
        /// The endpoint.
        endpoint: String,
        /// The reason.
        why: String,
        /// True if the request may have run at the endpoint.
        may_have_run: bool,
        /// Time since the call was sent.
        took_ms: u64,
    },
    /// A request that could have been retried was not.
    NotRepeated {
        /// The service.
        service: String,
        /// The reason.
        why: String,
    },
    /// A stream was resumed at another endpoint.
    Resumed {
        /// The endpoint.
        endpoint: String,
        /// What the caller has received: the number of the last event, or the length of the text in
        /// bytes if it is assembled by offset.
        after: u64,
    },
    /// A stream was interrupted by its endpoint.
    StreamBroken {
        /// The endpoint.
        endpoint: String,
        /// The reason.
        why: String,
        /// Number of the last event that the caller received.
        last_event: u64,
    },
    /// An endpoint fell silent before the end of its response.
    Silent {
        /// The endpoint.
        endpoint: String,
        /// What became of its response.
        outcome: SilenceOutcome,
        /// The reason.
        why: String,
        /// Duration of the silence so far.
        silent_ms: u64,
    },
    /// The keepers' reply about the idempotency key of a stage that must not be repeated.
    Ledger {
        /// The service.
        service: String,
        /// The key.
        key: String,
        /// The reply, such as granted, in progress or settled, or the reason why no quorum replied.
        said: String,
        /// Time until the reply.
        took_ms: u64,
    },
    /// A request was served.
    Served {
        /// The route.
        route: String,
        /// The HTTP status that was forwarded.
        status: u16,
        /// The endpoint.
        endpoint: String,
        /// Attempts that may have run.
        tries: u32,
        /// Time since the request head was received.
        took_ms: u64,
        /// Time to the first part of the response.
        #[serde(default)]
        first_ms: u64,
        /// Longest pause between two parts of a stream.
        #[serde(default)]
        pause_ms: u64,
        /// True if the first part or a pause missed the objective.
        #[serde(default)]
        is_late: bool,
    },
    /// A request ended without a complete response from an endpoint.
    Failed {
        /// How it ended.
        ending: Ending,
        /// The HTTP status sent to the caller; 0 if none could be sent.
        status: u16,
        /// The reason.
        why: String,
        /// Time after which the caller may retry.
        retry_after_ms: Option<u64>,
        /// Time since the request head was received.
        took_ms: u64,
    },
    /// The items of a stage were refused or dropped by the gate that collects them.
    ItemsFailed {
        /// The batch pool.
        service: String,
        /// The stage's number.
        stage: usize,
        /// The reason.
        why: String,
        /// Items in the queue, if the items were refused at once.
        waiting: Option<usize>,
        /// Endpoints available to the queue, if the items were refused at once.
        endpoints: Option<usize>,
        /// Time remaining until the request's deadline.
        left_ms: u64,
    },
    /// A batched call produced no results.
    BatchFailed {
        /// The batch pool.
        service: String,
        /// The endpoint.
        endpoint: String,
        /// The first requests with items in the batch.
        requests: Vec<String>,
        /// Number of items.
        items: usize,
        /// The reason.
        why: String,
        /// Expected duration of the call.
        expected_ms: u64,
        /// Duration of the call.
        took_ms: u64,
    },
    /// The state of an endpoint changed, as reported by keepers.
    EndpointState {
        /// The endpoint.
        endpoint: String,
        /// Service of the endpoint.
        service: String,
        /// Availability zone of the endpoint.
        az: String,
        /// The new state, such as ready, leaving, suspect or gone.
        state: String,
    },
    /// An endpoint was ejected because of the outcomes of its calls.
    EndpointEjected {
        /// The endpoint.
        endpoint: String,
        /// Service of the endpoint.
        service: String,
        /// Duration of the ejection.
        for_ms: u64,
        /// Number of ejected endpoints of the service.
        out: usize,
        /// Number of endpoints of the service.
        of: usize,
    },
    /// An ejected endpoint answered a call again.
    EndpointBack {
        /// The endpoint.
        endpoint: String,
        /// Service of the endpoint.
        service: String,
    },
    /// Another endpoint responds at an endpoint's address.
    EndpointMisplaced {
        /// The endpoint.
        endpoint: String,
        /// Service of the endpoint.
        service: String,
    },
    /// The set of unreachable availability zones changed.
    ZonesOut {
        /// All zones that are unreachable now.
        zones: Vec<String>,
    },
    /// An operator's order about an availability zone was committed.
    ZoneOrdered {
        /// The zone.
        zone: String,
        /// True if nothing more may be sent to its endpoints, false if the order was withdrawn.
        is_evacuated: bool,
        /// Version of the evacuations.
        version: u64,
        /// Name of the operator.
        author: String,
        /// Why the order was given.
        reason: String,
    },
    /// The evacuated availability zones that this gate obeys changed.
    ZonesEvacuated {
        /// Version of the evacuations.
        version: u64,
        /// All zones that are evacuated now.
        zones: Vec<String>,
    },
    /// The gate that collects the items of a service changed.
    Collects {
        /// The batch pool.
        service: String,
        /// The availability zone whose items are collected, or `all`.
        az: String,
        /// The gate.
        gate: String,
        /// Number of known gates.
        of: usize,
    },
    /// Confirmation by a keeper was lost or regained. Access keys are accepted only while the
    /// declaration is confirmed.
    Confirmation {
        /// True if the declaration in force is confirmed.
        is_fresh: bool,
        /// Age of the last confirmation.
        age_ms: Option<u64>,
    },
    /// The set of known keepers changed.
    Keepers {
        /// Their names.
        names: Vec<String>,
    },
    /// The source of declarations changed or was lost.
    Follows {
        /// A keeper or gate; `None` if there is no source.
        source: Option<String>,
    },
    /// A declaration came into force.
    InForce {
        /// Revision of the declaration.
        revision: u64,
    },
    /// The consensus state of a keeper changed.
    Consensus {
        /// The keeper's role, such as leader or follower.
        role: String,
        /// The term.
        term: u64,
        /// The leader, if known.
        leader: Option<String>,
        /// The voters.
        voters: Vec<String>,
        /// The non-voting members.
        learners: Vec<String>,
    },
    /// The state of a controller's lease on its availability zone changed.
    Lease {
        /// The fencing token sent with orders; `None` if the controller may not send any.
        fencing: Option<u64>,
        /// Why the lease was not granted or renewed.
        why: Option<String>,
    },
    /// The keepers blocked a part of prompts, or a block ended.
    PartBlockChanged {
        /// Hash of the part's id as 16 hexadecimal digits.
        part: String,
        /// True if gates refuse requests with the part from now on.
        is_blocked: bool,
        /// Service whose endpoints crashed; `None` if the part was not blocked before an unblock.
        service: Option<String>,
        /// VM of the gate that decided to block, or the operator; `None` if the keepers ended the
        /// block by themselves.
        author: Option<String>,
        /// The crashes, the operator's reason, or why the block ended.
        why: String,
    },
    /// A controller's order to an endpoint was answered or lost.
    Order {
        /// Id of the order.
        order: String,
        /// The endpoint.
        endpoint: String,
        /// The ordered action.
        action: String,
        /// The model version that the action applies to.
        version: u32,
        /// Why the order was not accepted; `None` if it was.
        why: Option<String>,
    },
    /// A rollout was halted because fewer requests met their objective with the new version.
    RolloutHalted {
        /// The service.
        service: String,
        /// The new version.
        version: u32,
        /// The comparison that halted it.
        why: String,
    },
    /// An endpoint reported in a response that it is leaving.
    EndpointLeaving {
        /// The endpoint.
        endpoint: String,
        /// The gate that received the response.
        source: String,
        /// Time since the response.
        age_ms: u64,
    },
    /// An endpoint requested a pause of this gate's calls.
    EndpointPaused {
        /// The endpoint.
        endpoint: String,
        /// Service of the endpoint.
        service: String,
        /// Duration of the pause.
        for_ms: u64,
    },
    /// The request rate that an endpoint takes from all gates together changed.
    EndpointLimited {
        /// The endpoint.
        endpoint: String,
        /// Service of the endpoint.
        service: String,
        /// Requests per second; `None` if the limit ended.
        per_second: Option<f64>,
        /// The gate that received the response.
        source: String,
    },
    /// An endpoint became cold: calls to it need permits until it is warm.
    EndpointCold {
        /// The endpoint.
        endpoint: String,
        /// Service of the endpoint.
        service: String,
        /// Time until it is warm, in milliseconds.
        left_ms: u64,
        /// True if the endpoint did not announce it: this gate has no contact with the keepers and saw
        /// signs of a restart, or another gate told it.
        is_assumed: bool,
    },
    /// An endpoint is no longer cold.
    EndpointWarm {
        /// The endpoint.
        endpoint: String,
        /// Service of the endpoint.
        service: String,
    },
    /// Connecting to an endpoint failed. Consecutive failures are not logged.
    EndpointUnreached {
        /// The endpoint.
        endpoint: String,
        /// Service of the endpoint.
        service: String,
        /// The reason.
        why: String,
    },
    /// An endpoint broke off its calls and refuses connections.
    EndpointCrashed {
        /// The endpoint.
        endpoint: String,
        /// Service of the endpoint.
        service: String,
        /// Ids of some of the requests whose calls broke off.
        requests: Vec<String>,
        /// Number of calls whose response had begun.
        answering: usize,
        /// Number of different parts of these requests' prompts, without the last of each.
        parts: usize,
    },
    /// A request is not repeated because endpoints crashed under a part of its prompt.
    PartSuspected {
        /// Hash of the part's id, in hexadecimal.
        part: String,
        /// Service of the request.
        service: String,
    },
    /// Requests with a part of prompts are refused from now on because endpoints crashed under them.
    PartBlocked {
        /// Hash of the part's id, in hexadecimal.
        part: String,
        /// Service of the endpoints.
        service: String,
        /// Number of crashes known at the decision.
        crashes: u32,
        /// Some of the endpoints.
        endpoints: Vec<String>,
        /// Ids of some of the requests.
        requests: Vec<String>,
        /// The gate that decided.
        source: String,
    },
    /// Requests with a part of prompts are no longer refused.
    PartUnblocked {
        /// Hash of the part's id, in hexadecimal.
        part: String,
        /// Why the block ended.
        why: String,
    },
    /// A request was refused because of a blocked part of its prompt.
    PartRefused {
        /// Hash of the part's id, in hexadecimal.
        part: String,
        /// Time until the block ends.
        left_ms: u64,
    },
    /// Lines were left out since the last event of this kind.
    LeftOut {
        /// Kind of the lines; `queue` if they were dropped because the queue was full.
        of: String,
        /// Number of lines.
        count: u64,
    },
}

impl Event {
    /// Returns the kind of the event.
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
            Self::Silent { .. } => Kind::Silent,
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
            Self::EndpointLimited { .. } => Kind::EndpointLimited,
            Self::EndpointCold { .. } => Kind::EndpointCold,
            Self::EndpointWarm { .. } => Kind::EndpointWarm,
            Self::EndpointUnreached { .. } => Kind::EndpointUnreached,
            Self::EndpointCrashed { .. } => Kind::EndpointCrashed,
            Self::PartSuspected { .. } => Kind::PartSuspected,
            Self::PartBlocked { .. } => Kind::PartBlocked,
            Self::PartUnblocked { .. } => Kind::PartUnblocked,
            Self::PartRefused { .. } => Kind::PartRefused,
            Self::ZonesOut { .. } => Kind::ZonesOut,
            Self::ZoneOrdered { .. } => Kind::ZoneOrdered,
            Self::ZonesEvacuated { .. } => Kind::ZonesEvacuated,
            Self::Collects { .. } => Kind::Collects,
            Self::Confirmation { .. } => Kind::Confirmation,
            Self::Keepers { .. } => Kind::Keepers,
            Self::Follows { .. } => Kind::Follows,
            Self::InForce { .. } => Kind::InForce,
            Self::Consensus { .. } => Kind::Consensus,
            Self::Lease { .. } => Kind::Lease,
            Self::PartBlockChanged { .. } => Kind::PartBlockChanged,
            Self::Order { .. } => Kind::Order,
            Self::RolloutHalted { .. } => Kind::RolloutHalted,
            Self::LeftOut { .. } => Kind::LeftOut,
        }
    }
}
