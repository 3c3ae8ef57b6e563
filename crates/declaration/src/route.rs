//! Routes, which forward requests by host and path, and the stages that precede them.

use std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
    time::Duration,
};

use derives::{record, token};

use crate::Priority;

/// Kind of response of a route's endpoints.
#[token]
#[serde(rename_all = "lowercase")]
pub enum ResponseKind {
    /// A single body.
    Whole,
    /// A stream of events with increasing ids.
    Stream,
}

/// Policy for repeating a request that may already have run.
#[token]
pub enum RepeatPolicy {
    /// The request must not be repeated.
    Never,
    /// The request may be repeated from its start.
    #[serde(rename = "Anew")]
    FromStart,
    /// A stream may be resumed at another endpoint after the last event that the caller received.
    FromLastEvent,
}

/// Forwarding of the requests for one host below one path.
#[record]
pub struct Route {
    /// Host name in the request.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash. The longest matching prefix wins.
    pub path_prefix: String,
    /// Kind of response of the endpoints.
    pub answer: ResponseKind,
    /// Policy for repeating a request that may already have run.
    pub repeat: RepeatPolicy,
    /// Time within which a response, or a stream's first event, has its full value.
    pub objective: Duration,
    /// Maximum time for which a caller waits.
    #[serde(rename = "longest")]
    pub timeout: Duration,
    /// Maximum wait for a stream's first event, if shorter than `timeout`.
    #[serde(rename = "first_event")]
    pub first_event_timeout: Option<Duration>,
    /// Maximum time between two events of a stream.
    #[serde(rename = "pause")]
    pub max_pause: Option<Duration>,
    /// Priority relative to other routes.
    pub priority: Priority,
    /// Maximum number of endpoints that one request is sent to.
    pub attempts: u32,
    /// True if requests need no access key.
    pub public: bool,
    /// True if requests share prompt prefixes that endpoints cache.
    pub affinity: bool,
    /// The services that requests are distributed to by weight.
    pub services: Vec<WeightedService>,
    /// Stages that run before the request.
    pub stages: Vec<RouteStage>,
}

/// A service's share of a route.
#[record]
#[derive(Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share relative to the weights of the other services.
    pub weight: u32,
}

/// One stage that runs before a route's requests.
#[record]
#[derive(Eq)]
pub struct RouteStage {
    /// Name of the batch pool that runs the stage.
    pub service: String,
    /// Approximate size of one result in bytes.
    pub result_bytes: u64,
    /// Indexes of the stages whose results it needs, starting at 0.
    pub after: Vec<usize>,
}

impl Route {
    /// Returns the indexes of the stages that no other stage depends on; their results are inputs of
    /// the request.
    pub fn last_stages(&self) -> impl Iterator<Item = usize> {
        let is_followed = |n: &usize| self.stages.iter().any(|s| s.after.contains(n));
        (0..self.stages.len()).filter(move |n| !is_followed(n))
    }

    /// Returns true if `other` has the same host and path prefix.
    pub fn matches_same_requests(&self, other: &Self) -> bool {
        self.host == other.host && self.path_prefix == other.path_prefix
    }
}

impl Display for WeightedService {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.service, self.weight)
    }
}

impl FromStr for WeightedService {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut words = text.split_whitespace();
        let service = words.next().unwrap_or_default().to_owned();
        let weight = words.next().map_or(Ok(1), str::parse);
        match (weight, words.next()) {
            (Ok(weight), None) if !service.is_empty() => Ok(Self { service, weight }),
            _ => Err(format!(
                "`{text}` is no weighted service; write `SERVICE WEIGHT`, such as `chat 90`"
            )),
        }
    }
}

impl Display for RouteStage {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.service, self.result_bytes)?;
        if !self.after.is_empty() {
            let after: Vec<String> = self.after.iter().map(ToString::to_string).collect();
            write!(f, " after {}", after.join("+"))?;
        }
        Ok(())
    }
}

impl FromStr for RouteStage {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let error = || {
            format!(
                "`{text}` is no stage; write `SERVICE BYTES`, or `SERVICE BYTES after 0+1` with the \
                 numbers of the stages that it needs"
            )
        };
        let words: Vec<&str> = text.split_whitespace().collect();
        let (service, bytes, after) = match words.as_slice() {
            [service, bytes] => (service, bytes, ""),
            [service, bytes, "after", after] => (service, bytes, *after),
            _ => return Err(error()),
        };
        let numbers = after.split('+').filter(|n| !n.is_empty()).map(str::parse);
        Ok(Self {
            service: (*service).to_owned(),
            result_bytes: bytes.parse().map_err(|_| error())?,
            after: numbers.collect::<Result<_, _>>().map_err(|_| error())?,
        })
    }
}

/// Limits on the size and duration of callers' requests to routes.
#[record]
#[derive(Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: u32,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u32,
    /// Maximum time for receiving a request's head.
    #[serde(rename = "head")]
    pub head_timeout: Duration,
    /// Maximum time for which a connection may be idle.
    #[serde(rename = "idle")]
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Capacity of one endpoint of a service, as far as declared.
#[record]
#[derive(Default)]
pub struct Capacity {
    /// Path of the health check.
    pub health_path: Option<String>,
    /// Maximum number of connections from all callers together.
    pub connections: Option<u32>,
    /// Number of calls that run at once.
    pub slots: Option<u32>,
    /// Number of calls that may wait.
    pub queue: Option<u32>,
    /// Bandwidth of the endpoint's network link, in Mbit/s.
    pub link_mbps: Option<u32>,
    /// Capacity for batched calls, for a batch pool.
    pub batch: Option<BatchCapacity>,
    /// Number of tokens that fit into its memory, for a hosted engine.
    pub memory_tokens: Option<u64>,
    /// Number of tokens in one event of a stream, for a hosted engine.
    pub event_tokens: Option<u32>,
    /// Requests per second that an endpoint can handle while it is cold; `None` for no bound.
    pub cold_per_second: Option<f64>,
}

/// Limits and cost of calls with several items at an endpoint of a batch pool.
#[record]
#[derive(Eq)]
pub struct BatchCapacity {
    /// Maximum number of items in one call.
    #[serde(rename = "items")]
    pub max_items: u32,
    /// Time of a call in addition to that of its items.
    #[serde(rename = "call")]
    pub call_overhead: Duration,
    /// Approximate time of one item.
    #[serde(rename = "item")]
    pub item_duration: Duration,
    /// Size of the results that an endpoint can store, in bytes.
    #[serde(rename = "room_bytes")]
    pub result_capacity_bytes: u64,
    /// Time for which a result is stored.
    #[serde(rename = "keep")]
    pub result_retention: Duration,
}

#[cfg(test)]
mod tests;
