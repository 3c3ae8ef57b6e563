use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{Grant, PermitRequest};
use crate::{
    fleet::Fleet,
    testing::{mirror, view},
};

/// Guards against a request that ends without an answer after another gate refused permits for an
/// absurd time.
#[tokio::test(start_paused = true)]
async fn refusal_of_permits_for_an_absurd_time_is_limited() {
    let fleet = Fleet::default();
    fleet.update(&mirror([view("i-1", "ice", "a")]), |_| None);
    let target = Arc::clone(&fleet.pool("ice").unwrap().targets[0]);
    let now = Instant::now();
    PermitRequest::new(&target).finish(Grant::Refused(Duration::MAX), now);
    PermitRequest::new(&target).finish(Grant::Permits(u32::MAX), now);
    PermitRequest::new(&target).finish(Grant::Permits(u32::MAX), now);
}
