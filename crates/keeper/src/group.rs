//! Automatic group management: the founders are configured once, later keepers join through
//! known ones, and the leader replaces failed voters.

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

/// File in the data folder that stores the member's identity.
const IDENTITY_FILE: &str = "member";
/// Folder of the log within the data folder.
pub(crate) const LOG_FOLDER: &str = "log";
const TEMP_FILE: &str = "member.new";
/// Time between checks of the group.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a leader, or as no member, after which a keeper requests to join.
const JOIN_AFTER: Duration = Duration::from_secs(1);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum lag, in entries, of a learner that is promoted to voter.
const MAX_PROMOTION_LAG: u64 = 64;
/// Maximum silence of a peer that counts as responding.
const MAX_SILENCE: Duration = Duration::from_millis(800);

/// A keeper's identity in its group, bound to its data folder.
#[record]
#[derive(Eq)]
pub(crate) struct MemberIdentity {
    /// The member's name.
    pub(crate) name: String,
    /// The first voters if it is one of them; else empty.
    pub(crate) voters: Vec<String>,
}

/// Loads this keeper's identity, or creates one in an empty folder. A founder is named by its link
/// address; any other gets a unique name, so that a keeper whose folder was lost is a new member.
pub(crate) fn load_or_create_identity(
    folder: &Path,
    link: SocketAddr,
    founders: &[SocketAddr],
) -> io::Result<MemberIdentity> {
    match fs::read(folder.join(IDENTITY_FILE)) {
        Ok(bytes) => {
            if let Ok(stored) = link::decode(&bytes) {
                return Ok(stored);
            }
            // Incomplete after a power loss before the sync: nothing was acknowledged under it.
            warn!("the member identity file is incomplete; joining as a new member", kv: { step = "read the member's name" });
        }
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        Err(e) => return Err(e),
    }
    let identity = match founders.contains(&link) {
        true => MemberIdentity {
            name: link.to_string(),
            voters: founders.iter().map(ToString::to_string).collect(),
        },
        false => MemberIdentity {
            name: format!("{link}~{}", &Uuid::new_v4().simple().to_string()[..8]),
            voters: Vec::new(),
        },
    };
    store_identity(folder, &identity)?;
    Ok(identity)
}

fn store_identity(folder: &Path, identity: &MemberIdentity) -> io::Result<()> {
    fs::create_dir_all(folder.join(LOG_FOLDER))?;
    let temp = folder.join(TEMP_FILE);
    let mut f = File::create(&temp)?;
    f.write_all(&link::encode(identity))?;
    f.sync_all()?;
    fs::rename(&temp, folder.join(IDENTITY_FILE))?;
    File::open(folder)?.sync_all()
}

/// Joins the group if this keeper is no member, and replaces failed members while it leads; runs
/// until dropped.
pub(crate) async fn maintain(
    cfg: GroupConfig,
    service: Arc<Service>,
    replica: Replica,
    links: LinkConfig,
    link: SocketAddr,
) {
    let mut last_member_at = Instant::now();
    let mut last_follower_at = Instant::now();
    loop {
        sleep(POLL_INTERVAL).await;
        let status = replica.status();
        // If the folder was lost, the leader still sends to the member's old name at this address.
        if status.leader.is_some() && is_member(&status) {
            last_member_at = Instant::now();
        }
        if status.role != Role::Leader {
            last_follower_at = Instant::now();
        }
        match status.role {
            Role::Leader => repair(&cfg, &replica, &status, last_follower_at.elapsed()).await,
            _ if last_member_at.elapsed() >= JOIN_AFTER => {
                request_join(&cfg, &service, &links, &status.name, link).await;
                last_member_at = Instant::now();
            }
            _ => {}
        }
    }
}

/// Returns true if the group has a member of this keeper's current name.
fn is_member(status: &Status) -> bool {
    let mut members = status.voters.iter().chain(&status.learners);
    members.any(|name| *name == status.name)
}

/// Requests every known keeper to add this one as a learner; only the leader does so.
async fn request_join(
    cfg: &GroupConfig,
    service: &Service,
    links: &LinkConfig,
    name: &str,
    own_address: SocketAddr,
) {
    let known = service.keepers().into_iter().map(|k| k.address);
    let mut candidates: Vec<SocketAddr> = known.chain(cfg.seeds.iter().copied()).collect();
    let mut contacted = BTreeSet::from([own_address]);
    while let Some(address) = candidates.pop() {
        if !contacted.insert(address) {
            continue;
        }
        let peer = Peer::start(&address.to_string(), address, links);
        if tokio::time::timeout(REQUEST_TIMEOUT, peer.connected())
            .await
            .is_err()
        {
            continue;
        }
        let add = KeeperRequest::Member {
            name: name.to_owned(),
            action: MemberAction::Add {
                address: own_address,
            },
        };
        if let Ok(KeeperReply::MemberChanged) =
            peer.call(Channel::Keeper, &add, REQUEST_TIMEOUT).await
        {
            info!("joined as a learner", kv: { keeper = address.to_string() });
            return;
        }
        let confirm = peer.call(Channel::Keeper, &KeeperRequest::Confirm, REQUEST_TIMEOUT);
        if let Ok(KeeperReply::Confirmed { keepers, .. }) = confirm.await {
            candidates.extend(keepers.into_iter().map(|k| k.address));
        }
    }
}

/// Makes the most urgent change of members, if any.
async fn repair(cfg: &GroupConfig, replica: &Replica, status: &Status, leading_for: Duration) {
    let Some(change) = next_change(cfg, status, leading_for) else {
        return;
    };
    let mut result = replica.change_members(change.clone()).await;
    if let (MemberChange::Remove { name }, Err(MemberError::Refused(_))) = (&change, &result) {
        // The voter has already failed; removing it does not weaken the group.
        let forced = MemberChange::RemoveUnsafely { name: name.clone() };
        result = replica.change_members(forced).await;
    }
    match result {
        Ok(()) => info!("changed the group", kv: { change = format!("{change:?}") }),
        Err(MemberError::Refused(why)) => {
            info!("can't change the group yet", kv: { change = format!("{change:?}"), why });
        }
        Err(e) => warn!("group change is undecided: {e}", kv: { change = format!("{change:?}") }),
    }
}

/// Returns the next change of members: promotes a learner to replace a failed or missing voter,
/// then removes the failed voter, then silent learners. `leading_for` is the leader's time in
/// office.
pub(crate) fn next_change(
    cfg: &GroupConfig,
    status: &Status,
    leading_for: Duration,
) -> Option<MemberChange> {
    let peer = |name: &String| status.peers.iter().find(|p| p.name == *name);
    // A peer that failed before this leader was elected has never answered it.
    let silence = |name: &String| {
        let silent_for = peer(name).and_then(|p| p.silent_for);
        silent_for.unwrap_or(leading_for)
    };
    let has_failed = |name: &&String| {
        let has_lost_data = peer(name).is_some_and(has_lost_data);
        **name != status.name && (has_lost_data || silence(name) >= cfg.replace_voter_after)
    };
    let failed = status.voters.iter().find(has_failed);
    let ready = status
        .learners
        .iter()
        .find(|name| peer(name).is_some_and(is_ready));
    let surplus = status.voters.len().saturating_sub(cfg.voters);
    match (failed, ready) {
        (Some(failed), _) if surplus > 0 => Some(MemberChange::Remove {
            name: failed.clone(),
        }),
        (Some(_), Some(ready)) => Some(MemberChange::Promote {
            name: ready.clone(),
        }),
        (None, Some(ready)) if status.voters.len() < cfg.voters => Some(MemberChange::Promote {
            name: ready.clone(),
        }),
        _ => {
            let is_expired = |name: &&String| silence(name) >= cfg.remove_learner_after;
            let expired = status.learners.iter().find(is_expired)?;
            Some(MemberChange::Remove {
                name: expired.clone(),
            })
        }
    }
}

/// Returns true if a voter responds but has lost its data folder.
fn has_lost_data(peer: &PeerStatus) -> bool {
    !peer.has_known_identity && peer.silent_for.is_some_and(|silent| silent < MAX_SILENCE)
}

fn is_ready(peer: &PeerStatus) -> bool {
    let is_responding = peer.silent_for.is_some_and(|silent| silent < MAX_SILENCE);
    is_responding && peer.has_known_identity && peer.lag <= MAX_PROMOTION_LAG
}

#[cfg(test)]
mod tests;
