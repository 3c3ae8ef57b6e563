//! The keeper's part in departures of endpoints: they are committed before they are acknowledged, and
//! applied to the endpoint table of every keeper.

use link::{
    decode,
    keeper::{Departure, KeeperReply, KeeperRequest, MAX_DEPARTURES_PER_MESSAGE},
};
use membership::{LeavingNotice, Reply, Table};
use spdlog::warn;
use uuid::Uuid;

use super::{Origin, Service};
use crate::entry::{Command, Entry};

impl Service {
    /// Records that `incarnation` of `endpoint` is leaving. Returns true once a quorum has it, so
    /// that it may be acknowledged.
    pub async fn record_departure(&self, endpoint: &str, incarnation: Uuid) -> bool {
        let departure = Departure {
            endpoint: endpoint.to_owned(),
            incarnation,
        };
        self.record_departures(vec![departure]).await
    }

    async fn record_departures(&self, departures: Vec<Departure>) -> bool {
        for departures in departures.chunks(MAX_DEPARTURES_PER_MESSAGE) {
            let req = KeeperRequest::Depart(departures.to_vec());
            let reply = self.handle(req, Origin::Client).await;
            if reply != KeeperReply::Departed {
                let names: Vec<&str> = departures.iter().map(|d| d.endpoint.as_str()).collect();
                warn!("departures are not stored; their endpoints are told to repeat them", kv: {
                    endpoints = names.join(" "), reply = format!("{reply:?}")
                });
                return false;
            }
        }
        true
    }

    /// Commits those of `departures` that are not committed yet.
    pub(super) async fn depart(&self, departures: Vec<Departure>, origin: Origin) -> KeeperReply {
        let unknown = self.state.read(|state| {
            let departures = departures.into_iter();
            let unknown = departures.filter(|departure| !state.departures.covers(departure));
            unknown.collect::<Vec<_>>()
        });
        if unknown.is_empty() {
            return KeeperReply::Departed;
        }
        self.write(&KeeperRequest::Depart(unknown), origin).await
    }

    /// Applies reports that endpoints are leaving to `table`, and replies once a quorum has them.
    pub(super) async fn note_leaving(&self, table: &Table, leaving: Vec<LeavingNotice>) -> Reply {
        for notice in &leaving {
            table.note_leaving(&notice.endpoint, notice.incarnation);
        }
        let departures = leaving.into_iter().map(|notice| Departure {
            endpoint: notice.endpoint,
            incarnation: notice.incarnation,
        });
        match self.record_departures(departures.collect()).await {
            true => Reply::Acknowledged,
            false => Reply::Malformed("no quorum of keepers stores the departures".to_owned()),
        }
    }

    /// Returns the departures that this keeper knows to be committed after version `since`.
    pub(super) fn departures_since(&self, since: u64) -> KeeperReply {
        self.state.read(|state| {
            let new = state.departures.since(since);
            let new: Vec<(u64, &Departure)> = new.take(MAX_DEPARTURES_PER_MESSAGE).collect();
            let version = match new.last() {
                Some((version, _)) if new.len() == MAX_DEPARTURES_PER_MESSAGE => *version,
                _ => state.departures.version(),
            };
            KeeperReply::Departures {
                version,
                departures: new.into_iter().map(|(_, d)| d.clone()).collect(),
            }
        })
    }

    /// Applies the departures in the log of this keeper to the endpoint table, also those that are
    /// not known to be committed: their endpoints said so, and others may have been told.
    pub(crate) fn apply_stored_departures(&self) {
        let Some(table) = &self.table else {
            return;
        };
        self.apply_departures(table, 0);
        let entries = self.replica.unapplied();
        let entries = entries
            .iter()
            .filter_map(|bytes| decode::<Entry>(bytes).ok());
        for entry in entries {
            if let Command::Depart(departures) = entry.command {
                let departures = departures.iter();
                table.depart(departures.map(|d| (d.endpoint.as_str(), d.incarnation)));
            }
        }
    }

    /// Applies departures to the endpoint table as they are committed; runs until dropped.
    pub(crate) async fn follow_departures(&self) {
        let Some(table) = &self.table else {
            return;
        };
        let mut applied = self.replica.watch_applied();
        let mut version = 0;
        loop {
            version = self.apply_departures(table, version);
            if applied.changed().await.is_err() {
                return;
            }
        }
    }

    /// Applies the departures that were committed after `version` to `table`; returns the last
    /// version.
    fn apply_departures(&self, table: &Table, version: u64) -> u64 {
        let (current, new) = self.state.read(|state| {
            let new = state.departures.since(version);
            let new: Vec<Departure> = new.map(|(_, departure)| departure.clone()).collect();
            (state.departures.version(), new)
        });
        if !new.is_empty() {
            table.depart(new.iter().map(|d| (d.endpoint.as_str(), d.incarnation)));
        }
        current
    }
}
