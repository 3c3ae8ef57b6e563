//! A group of keepers that forms and mends itself: founders are named once, later keepers join by
//! asking those that they know, and the leader replaces voters that are gone.

use std::{
    collections::BTreeSet,
    fs::{self, File},
    io::{self, Write},
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::Duration,
};

use derives::record;
use link::{
    Channel, LinkConfig, Peer,
    keeper::{KeeperReply, KeeperRequest, MemberAction},
};
use replica::{MemberChange, MemberError, PeerStatus, Replica, Role, Status};
use spdlog::{info, warn};
use tokio::time::{Instant, sleep};
use uuid::Uuid;

use crate::{config::GroupConfig, service::Service};

/// File in the data folder that keeps the member's name.
const FILE: &str = "member";
/// Folder in the data folder that is the log's alone.
pub(crate) const LOG: &str = "log";
const ASIDE: &str = "member.new";
/// Time between looks at the group.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// A keeper that hears no leader as a member for so long asks to join.
const JOIN_AFTER: Duration = Duration::from_secs(1);
const ASK_LIMIT: Duration = Duration::from_millis(800);
/// Entries that a learner may lack and still be made a voter.
const READY_LAG: u64 = 64;
/// A learner that answers is heard at least this often.
const HEARD_WITHIN: Duration = Duration::from_millis(800);

/// Who this keeper is among the members, for as long as its folder lasts.
#[record]
#[derive(Eq)]
pub(crate) struct Membership {
    /// Its name.
    pub(crate) name: String,
    /// The first voters, where it is one of them.
    pub(crate) voters: Vec<String>,
}

/// Reads who this keeper is, or decides it on an empty folder. A first voter is named by its link;
/// any other has a name of its own, so that a keeper whose folder was lost is a new member.
pub(crate) fn membership(
    folder: &Path,
    link: SocketAddr,
    founders: &[SocketAddr],
) -> io::Result<Membership> {
    match fs::read(folder.join(FILE)) {
        Ok(bytes) => {
            if let Ok(kept) = link::decode(&bytes) {
                return Ok(kept);
            }
            // Torn by a loss of power before it was synced: nothing was promised under that name.
            warn!("the member's name was torn; joins anew", kv: { step = "read the member's name" });
        }
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        Err(e) => return Err(e),
    }
    let membership = match founders.contains(&link) {
        true => Membership {
            name: link.to_string(),
            voters: founders.iter().map(ToString::to_string).collect(),
        },
        false => Membership {
            name: format!("{link}~{}", &Uuid::new_v4().simple().to_string()[..8]),
            voters: Vec::new(),
        },
    };
    keep(folder, &membership)?;
    Ok(membership)
}

fn keep(folder: &Path, membership: &Membership) -> io::Result<()> {
    fs::create_dir_all(folder.join(LOG))?;
    let aside = folder.join(ASIDE);
    let mut f = File::create(&aside)?;
    f.write_all(&link::encode(membership))?;
    f.sync_all()?;
    fs::rename(&aside, folder.join(FILE))?;
    File::open(folder)?.sync_all()
}

/// Keeps this keeper a member while it runs, and the group whole while it leads; runs until
/// dropped.
pub(crate) async fn tend(
    cfg: GroupConfig,
    service: Arc<Service>,
    replica: Replica,
    links: LinkConfig,
    link: SocketAddr,
) {
    let mut led = Instant::now();
    let mut leads_since = Instant::now();
    loop {
        sleep(LOOK_EVERY).await;
        let status = replica.status();
        // Where a member's folder was lost, the leader still sends to its old name at this address.
        if status.leader.is_some() && is_member(&status) {
            led = Instant::now();
        }
        if status.role != Role::Leader {
            leads_since = Instant::now();
        }
        match status.role {
            Role::Leader => mend(&cfg, &replica, &status, leads_since.elapsed()).await,
            _ if led.elapsed() >= JOIN_AFTER => {
                join(&cfg, &service, &links, &status.name, link).await;
                led = Instant::now();
            }
            _ => {}
        }
    }
}

/// Whether the group knows this keeper under the name that it has.
fn is_member(status: &Status) -> bool {
    let mut members = status.voters.iter().chain(&status.learners);
    members.any(|name| *name == status.name)
}

/// Asks every keeper known to take this one in as a learner; only the leader does.
async fn join(
    cfg: &GroupConfig,
    service: &Service,
    links: &LinkConfig,
    name: &str,
    own: SocketAddr,
) {
    let known = service.keepers().into_iter().map(|k| k.address);
    let mut wanted: Vec<SocketAddr> = known.chain(cfg.seeds.iter().copied()).collect();
    let mut asked = BTreeSet::from([own]);
    while let Some(address) = wanted.pop() {
        if !asked.insert(address) {
            continue;
        }
        let peer = Peer::start(&address.to_string(), address, links);
        if tokio::time::timeout(ASK_LIMIT, peer.connected())
            .await
            .is_err()
        {
            continue;
        }
        let add = KeeperRequest::Member {
            name: name.to_owned(),
            action: MemberAction::Add { address: own },
        };
        if let Ok(KeeperReply::MemberChanged) = peer.call(Channel::Keeper, &add, ASK_LIMIT).await {
            info!("joined as a learner", kv: { keeper = address.to_string() });
            return;
        }
        let confirm = peer.call(Channel::Keeper, &KeeperRequest::Confirm, ASK_LIMIT);
        if let Ok(KeeperReply::Confirmed { keepers, .. }) = confirm.await {
            wanted.extend(keepers.into_iter().map(|k| k.address));
        }
    }
}

/// The one change that the group needs most, if any.
async fn mend(cfg: &GroupConfig, replica: &Replica, status: &Status, leads_for: Duration) {
    let Some(change) = next_change(cfg, status, leads_for) else {
        return;
    };
    let mut result = replica.change_members(change.clone()).await;
    if let (MemberChange::Remove { name }, Err(MemberError::Refused(_))) = (&change, &result) {
        // The voter is gone already; the group is no weaker without it.
        let forced = MemberChange::RemoveUnsafely { name: name.clone() };
        result = replica.change_members(forced).await;
    }
    match result {
        Ok(()) => info!("changed the group", kv: { change = format!("{change:?}") }),
        Err(MemberError::Refused(why)) => {
            info!("can't change the group yet", kv: { change = format!("{change:?}"), why });
        }
        Err(e) => warn!("the group's change is open: {e}", kv: { change = format!("{change:?}") }),
    }
}

/// What the leader of `leads_for` does next: a learner takes the place of a voter that is gone or missing, then
/// the voter that is gone goes, then learners that are gone.
pub(crate) fn next_change(
    cfg: &GroupConfig,
    status: &Status,
    leads_for: Duration,
) -> Option<MemberChange> {
    let peer = |name: &String| status.peers.iter().find(|p| p.name == *name);
    // One that was gone before this leader's time has never answered it.
    let silence = |name: &String| {
        let answered = peer(name).and_then(|p| p.silent_for);
        answered.unwrap_or(leads_for)
    };
    let is_gone = |name: &&String| {
        let is_renewed = peer(name).is_some_and(is_renewed);
        **name != status.name && (is_renewed || silence(name) >= cfg.replace_voter_after)
    };
    let gone = status.voters.iter().find(is_gone);
    let standby = status
        .learners
        .iter()
        .find(|name| peer(name).is_some_and(is_ready));
    let surplus = status.voters.len().saturating_sub(cfg.voters);
    match (gone, standby) {
        (Some(gone), _) if surplus > 0 => Some(MemberChange::Remove { name: gone.clone() }),
        (Some(_), Some(standby)) => Some(MemberChange::Promote {
            name: standby.clone(),
        }),
        (None, Some(standby)) if status.voters.len() < cfg.voters => Some(MemberChange::Promote {
            name: standby.clone(),
        }),
        _ => {
            let is_forgotten = |name: &&String| silence(name) >= cfg.remove_learner_after;
            let forgotten = status.learners.iter().find(is_forgotten)?;
            Some(MemberChange::Remove {
                name: forgotten.clone(),
            })
        }
    }
}

/// Whether a voter answers with another folder than it had.
fn is_renewed(peer: &PeerStatus) -> bool {
    !peer.is_known && peer.silent_for.is_some_and(|silent| silent < HEARD_WITHIN)
}

fn is_ready(peer: &PeerStatus) -> bool {
    let is_heard = peer.silent_for.is_some_and(|silent| silent < HEARD_WITHIN);
    is_heard && peer.is_known && peer.lag <= READY_LAG
}

#[cfg(test)]
mod tests;
