//! What answers of endpoints, and other gates, say of those that leave or pause.

use std::{
    collections::BTreeMap,
    sync::{MutexGuard, PoisonError},
};

use logs::Event;
use membership::{EndpointState, LeavingNotice, Mirror};
use outbound::Notice;
use tokio::{sync::watch, time::Instant};

use super::{Fleet, Target};
use crate::absence::Left;

/// Endpoints that are remembered as leaving; the oldest ones are forgotten.
const MAX_LEFT: usize = 4_096;

impl Fleet {
    /// Endpoints that are leaving, by name.
    pub(super) fn left(&self) -> MutexGuard<'_, BTreeMap<String, Left>> {
        self.left.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes what an answer of `target` said of it to the gate `vm`.
    pub(crate) fn take_notice(&self, target: &Target, notice: Notice, vm: &str) {
        let now = Instant::now();
        target.stats().absences.reach();
        if notice.is_leaving {
            let left = Left {
                incarnation: target.incarnation,
                source: vm.to_owned(),
                since: now,
            };
            if self.note_left(&target.name, left) {
                self.left_news.send_modify(|news| *news += 1);
            }
        }
        let pause = notice
            .pause
            .and_then(|pause| target.stats().absences.pause(pause, now));
        if let Some(pause) = pause {
            logs::write(
                None,
                &Event::EndpointPaused {
                    endpoint: target.name.clone(),
                    service: target.service.clone(),
                    for_ms: pause.as_millis() as u64,
                },
            );
        }
    }

    /// Takes another gate's word that an endpoint is leaving.
    pub(crate) fn learn_left(&self, leaving: LeavingNotice) {
        let left = Left {
            incarnation: leaving.incarnation,
            source: leaving.source,
            since: Instant::now()
                .checked_sub(leaving.age)
                .unwrap_or_else(Instant::now),
        };
        self.note_left(&leaving.endpoint, left);
    }

    /// Notes that an incarnation is leaving; whether that is news.
    fn note_left(&self, endpoint: &str, news: Left) -> bool {
        let now = Instant::now();
        let mut left = self.left();
        if left
            .get(endpoint)
            .is_some_and(|left| left.binds(news.incarnation))
        {
            return false;
        }
        logs::write(None, &news.event(endpoint, now));
        if left.len() >= MAX_LEFT {
            let oldest = left.iter().min_by_key(|(_, left)| left.since);
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.and_then(|name| left.remove(&name));
        }
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        let targets = pools.values().flat_map(|pool| &pool.targets);
        for target in targets.filter(|t| t.name == endpoint && news.binds(t.incarnation)) {
            target.stats().absences.leave();
        }
        left.insert(endpoint.to_owned(), news);
        true
    }

    /// What changed of the endpoints that said to this gate that they are leaving.
    pub(crate) fn left_news(&self) -> watch::Receiver<u64> {
        self.left_news.subscribe()
    }

    /// Endpoints that are leaving by their answers although keepers tell that they are ready.
    pub(crate) fn left_unconfirmed(&self, mirror: &Mirror) -> Vec<LeavingNotice> {
        let now = Instant::now();
        let left = self.left();
        let unconfirmed = left.iter().filter(|(name, left)| {
            let view = mirror.endpoints.get(*name);
            view.is_some_and(|v| v.state == EndpointState::Ready && left.binds(v.incarnation))
        });
        let leaving = unconfirmed.map(|(name, left)| LeavingNotice {
            endpoint: name.clone(),
            incarnation: left.incarnation,
            source: left.source.clone(),
            age: now.saturating_duration_since(left.since),
        });
        leaving.collect()
    }
}
