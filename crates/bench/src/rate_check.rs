//! Checks arrivals at an endpoint against the request rate that it names.

use std::time::Duration;

use tokio::time::Instant;

/// Period in which arrivals are counted.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Time after an endpoint first names a rate from which all gates together have to keep it.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Returns the most requests that an endpoint may get in [`WINDOW`].
pub fn allowed(per_second: f64) -> usize {
    (1.5 * per_second * WINDOW.as_secs_f64()) as usize + 5
}

/// Returns the most of `arrivals` within [`WINDOW`], of those between `since` and `until`.
pub fn most_in_window(arrivals: &[Instant], since: Instant, until: Instant) -> usize {
    let counted: Vec<Instant> = arrivals
        .iter()
        .copied()
        .filter(|at| *at >= since && *at < until)
        .collect();
    let in_window = |(n, from): (usize, &Instant)| {
        let is_in = |at: &&Instant| **at < *from + WINDOW;
        counted[n..].iter().take_while(is_in).count()
    };
    counted.iter().enumerate().map(in_window).max().unwrap_or(0)
}
