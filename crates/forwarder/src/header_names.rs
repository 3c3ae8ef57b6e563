//! Names of HTTP headers.

use hyper::header::HeaderName;

/// Id of a caller's request; the response echoes it.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("jujube-request");
/// Id of a call to an endpoint; the endpoint's response must echo it.
pub(crate) const CALL_ID: HeaderName = HeaderName::from_static("jujube-call");
/// Remaining time in milliseconds.
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("jujube-deadline-ms");
/// Name of the endpoint that the call is for.
pub(crate) const ENDPOINT: HeaderName = HeaderName::from_static("jujube-endpoint");
/// Workspace of the caller.
pub(crate) const WORKSPACE: HeaderName = HeaderName::from_static("jujube-workspace");
/// Priority of the call, from 0 to 9; 9 is the most urgent.
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("jujube-priority");
/// Handles of the stage results that the request needs, separated by commas.
pub(crate) const INPUTS: HeaderName = HeaderName::from_static("jujube-inputs");
/// `not_run`: the endpoint did not run the call.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("jujube-outcome");
/// `RUNNING,WAITING,SLOTS`: load of the endpoint, in calls.
pub(crate) const LOAD: HeaderName = HeaderName::from_static("jujube-load");
/// `1`: the endpoint is leaving and takes no new work.
pub(crate) const LEAVING: HeaderName = HeaderName::from_static("jujube-leaving");
/// Requests per second that the endpoint takes from all gates together.
pub(crate) const LIMIT: HeaderName = HeaderName::from_static("jujube-limit");
/// Model that a prompt is for.
pub(crate) const MODEL: HeaderName = HeaderName::from_static("jujube-model");
/// `READ,GENERATE`: tokens of the prompt and the maximum to generate.
pub(crate) const TOKENS: HeaderName = HeaderName::from_static("jujube-tokens");
/// `ID:TOKENS,…`: parts of the prompt, in order.
pub(crate) const PROMPT_PARTS: HeaderName = HeaderName::from_static("jujube-prompt-parts");
/// `N,N,…`: number of items of each stage of the route.
pub(crate) const ITEMS: HeaderName = HeaderName::from_static("jujube-items");
/// Key from which items without inputs are produced.
pub(crate) const ITEM_KEY: HeaderName = HeaderName::from_static("jujube-item-key");
/// Id of the last event that the caller received.
pub(crate) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Headers of a caller's request that are not forwarded, since only the gate sets them.
pub(crate) const RESERVED: [HeaderName; 7] = [
    CALL_ID,
    ENDPOINT,
    WORKSPACE,
    PRIORITY,
    INPUTS,
    DEADLINE_MS,
    REQUEST_ID,
];
