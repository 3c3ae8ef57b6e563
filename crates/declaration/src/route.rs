//! Routes: requests that are passed on whole, by host and path, and the work that goes before them.

use std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
    time::Duration,
};

use derives::{record, token};

use crate::Priority;

/// How a route's endpoints answer.
#[token]
#[serde(rename_all = "lowercase")]
pub enum ResponseKind {
    /// One body.
    Whole,
    /// A series of events with rising numbers.
    Stream,
}

/// Whether a request may run again after it may have run.
#[token]
pub enum RepeatPolicy {
    /// It may not.
    Never,
    /// From its start.
    #[serde(rename = "Anew")]
    FromStart,
    /// A stream may go on elsewhere after the last event that its caller has.
    FromLastEvent,
}

/// Requests of one host below one path, and where they go.
#[record]
pub struct Route {
    /// The host that callers name.
    pub host: String,
    /// The path's first part; begins and ends with a slash. The longest that fits is taken.
    pub path_prefix: String,
    /// How endpoints answer.
    pub answer: ResponseKind,
    /// Whether a request may run again after it may have run.
    pub repeat: RepeatPolicy,
    /// Time within which an answer, or a stream's first event, has its full worth.
    pub objective: Duration,
    /// Longest time that a caller is kept waiting.
    #[serde(rename = "longest")]
    pub timeout: Duration,
    /// Longest time that callers wait for a stream's first event, where it is shorter than `timeout`.
    #[serde(rename = "first_event")]
    pub first_event_timeout: Option<Duration>,
    /// Longest pause between two events of a stream.
    #[serde(rename = "pause")]
    pub max_pause: Option<Duration>,
    /// Priority against other routes.
    pub priority: Priority,
    /// Most endpoints to which one request may be sent.
    pub attempts: u32,
    /// Whether requests need no access key.
    pub public: bool,
    /// Whether requests share prompt prefixes that endpoints keep.
    pub affinity: bool,
    /// The services that take the requests, by weight.
    pub services: Vec<WeightedService>,
    /// Stages that are done before a request can run.
    pub stages: Vec<RouteStage>,
}

/// A service's share of a route.
#[record]
#[derive(Eq)]
pub struct WeightedService {
    /// The service.
    pub service: String,
    /// Its share against the others' weights.
    pub weight: u32,
}

/// One stage before a route's requests.
#[record]
#[derive(Eq)]
pub struct RouteStage {
    /// The batch pool that does it.
    pub service: String,
    /// Size of one result in bytes, about.
    pub result_bytes: u64,
    /// Numbers of the stages whose results it needs, counted from 0.
    pub after: Vec<usize>,
}

impl Route {
    /// Numbers of the stages that no other stage follows; their results go to the request.
    pub fn last_stages(&self) -> impl Iterator<Item = usize> {
        let is_followed = |n: &usize| self.stages.iter().any(|s| s.after.contains(n));
        (0..self.stages.len()).filter(move |n| !is_followed(n))
    }

    /// Whether `other` takes the same requests.
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
        let wrong = || {
            format!(
                "`{text}` is no stage; write `SERVICE BYTES`, or `SERVICE BYTES after 0+1` with the \
                 numbers of the stages that it needs"
            )
        };
        let words: Vec<&str> = text.split_whitespace().collect();
        let (service, bytes, after) = match words.as_slice() {
            [service, bytes] => (service, bytes, ""),
            [service, bytes, "after", after] => (service, bytes, *after),
            _ => return Err(wrong()),
        };
        let numbers = after.split('+').filter(|n| !n.is_empty()).map(str::parse);
        Ok(Self {
            service: (*service).to_owned(),
            result_bytes: bytes.parse().map_err(|_| wrong())?,
            after: numbers.collect::<Result<_, _>>().map_err(|_| wrong())?,
        })
    }
}

/// What callers of routes may send, and how long they may take.
#[record]
#[derive(Eq)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub head_bytes: u32,
    /// Most bytes of a request's body.
    pub body_bytes: u32,
    /// Longest time for a request's head.
    #[serde(rename = "head")]
    pub head_timeout: Duration,
    /// Longest time that a connection may lie idle.
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

/// What one endpoint of a service can carry, as far as it is declared.
#[record]
#[derive(Default)]
pub struct Capacity {
    /// Path of the health check.
    pub health_path: Option<String>,
    /// Most connections of all callers together.
    pub connections: Option<u32>,
    /// Calls that run at once.
    pub slots: Option<u32>,
    /// Calls that may wait.
    pub queue: Option<u32>,
    /// Speed of its link in Mbit/s.
    pub link_mbps: Option<u32>,
    /// Cost of batched calls, for a batch pool.
    pub batch: Option<BatchCapacity>,
    /// Tokens that its memory holds, for a hosted engine.
    pub memory_tokens: Option<u64>,
    /// Tokens in one event of a stream, for a hosted engine.
    pub event_tokens: Option<u32>,
}

/// What calls of several items cost at an endpoint of a batch pool.
#[record]
#[derive(Eq)]
pub struct BatchCapacity {
    /// Most items of one call.
    #[serde(rename = "items")]
    pub max_items: u32,
    /// Time of a call beside its items.
    #[serde(rename = "call")]
    pub call_overhead: Duration,
    /// Time of one item, about.
    #[serde(rename = "item")]
    pub item_duration: Duration,
    /// Bytes of results that an endpoint keeps.
    #[serde(rename = "room_bytes")]
    pub result_capacity_bytes: u64,
    /// How long a result is kept.
    #[serde(rename = "keep")]
    pub result_retention: Duration,
}

#[cfg(test)]
mod tests;
