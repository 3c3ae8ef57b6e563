//! Names of headers.

use hyper::header::HeaderName;

/// Identifies a request; answers echo it.
pub(crate) const REQUEST: HeaderName = HeaderName::from_static("jujube-request");
/// Identifies a call at an endpoint; its answer echoes it.
pub(crate) const CALL: HeaderName = HeaderName::from_static("jujube-call");
/// Milliseconds that are left.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("jujube-deadline-ms");
/// The endpoint that is meant.
pub(crate) const ENDPOINT: HeaderName = HeaderName::from_static("jujube-endpoint");
/// The workspace.
pub(crate) const WORKSPACE: HeaderName = HeaderName::from_static("jujube-workspace");
/// Priority, 9 the most urgent.
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("jujube-priority");
/// Handles of results that the request needs, separated by commas.
pub(crate) const INPUTS: HeaderName = HeaderName::from_static("jujube-inputs");
/// `not_run`: the endpoint's word that it did not run the call.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("jujube-outcome");
/// `RUNNING,WAITING,SLOTS`: calls at the endpoint.
pub(crate) const LOAD: HeaderName = HeaderName::from_static("jujube-load");
/// `1`: the endpoint is leaving and takes no new work.
pub(crate) const LEAVING: HeaderName = HeaderName::from_static("jujube-leaving");
/// The model of a prompt.
pub(crate) const MODEL: HeaderName = HeaderName::from_static("jujube-model");
/// `READ,GENERATE`: tokens of a prompt, and most tokens of its answer.
pub(crate) const TOKENS: HeaderName = HeaderName::from_static("jujube-tokens");
/// `ID:TOKENS,…`: parts of a prompt, from its start.
pub(crate) const PARTS: HeaderName = HeaderName::from_static("jujube-prompt-parts");
/// `N,N,…`: items of each stage of the route.
pub(crate) const ITEMS: HeaderName = HeaderName::from_static("jujube-items");
/// What items without inputs are made of.
pub(crate) const ITEM_KEY: HeaderName = HeaderName::from_static("jujube-item-key");
/// The last event that a caller has.
pub(crate) const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// Headers that only the gate sets at an endpoint.
pub(crate) const OURS: [HeaderName; 7] = [
    CALL, ENDPOINT, WORKSPACE, PRIORITY, INPUTS, DEADLINE, REQUEST,
];
