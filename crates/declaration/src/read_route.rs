//! Parsing of routes, capacities and callers' limits.

use std::{fmt::Display, str::FromStr, time::Duration};

use crate::{
    Priority,
    keys::Keys,
    route::{BatchCapacity, CallerLimits, Capacity, RepeatPolicy, ResponseKind, Route},
};

/// The kind of section that declares a route.
pub(crate) const ROUTE: &str = "route";
/// The kind of section that declares limits for callers of routes.
pub(crate) const LIMITS: &str = "limits";
/// The only name of a [`LIMITS`] section.
const CALLERS: &str = "callers";

/// Maximum time of any key in milliseconds: one day.
const MAX_MS: u64 = 86_400_000;
const MAX_BYTES: u64 = u32::MAX as u64;
const MAX_COUNT: u64 = 1_000_000;
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
const DEFAULT_KEEP_MS: u64 = 4_000;
const MAX_ITEM_US: u64 = 60_000_000;

/// Reads a route.
pub(crate) fn route(keys: &mut Keys<'_>) -> Route {
    let timeout = millis(keys, "longest_ms", DEFAULT_TIMEOUT_MS, 1);
    let route = Route {
        host: keys.required("host"),
        path_prefix: path_prefix(keys),
        answer: response_kind(keys),
        repeat: repeat_policy(keys),
        objective: millis(keys, "objective_ms", timeout.as_millis() as u64, 0),
        timeout,
        first_event_timeout: optional_millis(keys, "first_event_ms", 1),
        max_pause: optional_millis(keys, "pause_ms", 0),
        priority: Priority(keys.number("priority", 1, 0, u64::from(Priority::MAX)) as u8),
        attempts: keys.number("attempts", 1, 1, MAX_COUNT) as u32,
        public: optional_flag(keys, "public"),
        affinity: optional_flag(keys, "affinity"),
        services: parsed_list(keys, "services"),
        stages: parsed_list(keys, "stages"),
    };
    if route.answer == ResponseKind::Whole && route.repeat == RepeatPolicy::FromLastEvent {
        let what = "only a stream has events; write `never` or `anew`, or `answer = stream`";
        keys.fault("repeat", what.to_owned());
    }
    if route.services.iter().all(|s| s.weight == 0) {
        let what = "no service has a weight; write `SERVICE WEIGHT`, separated by commas";
        keys.fault("services", what.to_owned());
    }
    route
}

/// Reads the limits for callers.
pub(crate) fn limits(keys: &mut Keys<'_>, name: &str) -> CallerLimits {
    if name != CALLERS {
        let what = format!("`{name}` is nothing that has limits; write `[limits {CALLERS}]`");
        keys.fault("", what);
    }
    let default = CallerLimits::default();
    let (head, idle) = (
        default.head_timeout.as_millis() as u64,
        default.idle_timeout.as_millis() as u64,
    );
    let mut bytes = |key, default: u32| keys.number(key, u64::from(default), 1, MAX_BYTES) as u32;
    CallerLimits {
        head_bytes: bytes("head_bytes", default.head_bytes),
        body_bytes: bytes("body_bytes", default.body_bytes),
        head_timeout: millis(keys, "head_ms", head, 1),
        idle_timeout: millis(keys, "idle_ms", idle, 1),
    }
}

/// Highest rate that can be declared, in requests per second.
const MAX_PER_SECOND: f64 = 1e6;

/// Reads the capacity of one endpoint of a service.
pub(crate) fn capacity(keys: &mut Keys<'_>) -> Capacity {
    let count = |keys: &mut Keys<'_>, key| {
        let n = keys.optional_number(key, 1, MAX_COUNT);
        n.map(|n| n as u32)
    };
    Capacity {
        health_path: keys.optional("health_path"),
        connections: count(keys, "connections"),
        slots: count(keys, "slots"),
        queue: keys
            .optional_number("queue", 0, MAX_COUNT)
            .map(|n| n as u32),
        link_mbps: count(keys, "link_mbps"),
        batch: batch(keys),
        memory_tokens: keys.optional_number("memory_tokens", 1, u64::MAX),
        event_tokens: count(keys, "event_tokens"),
        cold_per_second: keys
            .optional_decimal("cold_per_second", MAX_PER_SECOND)
            .filter(|per_second| *per_second > 0.0),
    }
}

/// Reads the capacity of a batch pool; its keys except `keep_ms` must all be declared, or none.
fn batch(keys: &mut Keys<'_>) -> Option<BatchCapacity> {
    let items = keys.optional_number("batch_items", 1, MAX_COUNT);
    let call = keys.optional_number("batch_call_ms", 0, MAX_MS);
    let item = keys.optional_number("batch_item_us", 0, MAX_ITEM_US);
    let room = keys.optional_number("room_bytes", 1, u64::MAX);
    let keep = keys.optional_number("keep_ms", 1, MAX_MS);
    match (items, call, item, room) {
        (None, None, None, None) => None,
        (Some(items), Some(call), Some(item), Some(result_capacity_bytes)) => Some(BatchCapacity {
            max_items: items as u32,
            call_overhead: Duration::from_millis(call),
            item_duration: Duration::from_micros(item),
            result_capacity_bytes,
            result_retention: Duration::from_millis(keep.unwrap_or(DEFAULT_KEEP_MS)),
        }),
        _ => {
            let what = "incomplete; a batch pool needs `batch_items`, `batch_call_ms`, \
                        `batch_item_us` and `room_bytes`";
            keys.fault("batch_items", what.to_owned());
            None
        }
    }
}

fn path_prefix(keys: &mut Keys<'_>) -> String {
    let prefix = keys.required("path_prefix");
    let is_bounded = prefix.starts_with('/') && prefix.ends_with('/');
    if !prefix.is_empty() && !is_bounded {
        let what = format!("`{prefix}` is no prefix; begin and end it with a slash");
        keys.fault("path_prefix", what);
    }
    prefix
}

fn response_kind(keys: &mut Keys<'_>) -> ResponseKind {
    match keys.optional("answer").as_deref() {
        None | Some("whole") => ResponseKind::Whole,
        Some("stream") => ResponseKind::Stream,
        Some(other) => {
            let what = format!("`{other}` is no kind of answer; write `whole` or `stream`");
            keys.fault("answer", what);
            ResponseKind::Whole
        }
    }
}

fn repeat_policy(keys: &mut Keys<'_>) -> RepeatPolicy {
    match keys.required("repeat").as_str() {
        "never" | "" => RepeatPolicy::Never,
        "anew" => RepeatPolicy::FromStart,
        "from-last-event" => RepeatPolicy::FromLastEvent,
        other => {
            let what = format!("`{other}` is unknown; write `never`, `anew` or `from-last-event`");
            keys.fault("repeat", what);
            RepeatPolicy::Never
        }
    }
}

fn optional_flag(keys: &mut Keys<'_>, key: &str) -> bool {
    match keys.optional(key).as_deref() {
        None | Some("no") => false,
        Some("yes") => true,
        Some(other) => {
            let what = format!("`{other}` is neither yes nor no; write `yes` or `no`");
            keys.fault(key, what);
            false
        }
    }
}

fn optional_millis(keys: &mut Keys<'_>, key: &str, low: u64) -> Option<Duration> {
    let ms = keys.optional_number(key, low, MAX_MS);
    ms.map(Duration::from_millis)
}

fn millis(keys: &mut Keys<'_>, key: &str, default: u64, low: u64) -> Duration {
    Duration::from_millis(keys.number(key, default, low, MAX_MS))
}

/// Parses each item of a list.
fn parsed_list<T: FromStr<Err: Display>>(keys: &mut Keys<'_>, key: &str) -> Vec<T> {
    let mut items = Vec::new();
    for text in keys.list(key).iter().filter(|text| !text.is_empty()) {
        match text.parse::<T>() {
            Ok(item) => items.push(item),
            Err(what) => keys.fault(key, what.to_string()),
        }
    }
    items
}
