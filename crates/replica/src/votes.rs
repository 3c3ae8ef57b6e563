//! Requests votes from the other voters and counts them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::time::timeout;
use uuid::Uuid;

use crate::{
    core::Shared,
    message::{RequestBody, Response, ResponseBody},
};

/// Number of votes needed.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Threshold {
    /// A quorum of voters with their recorded identity.
    Quorum,
    /// All voters, whatever their identity, since there is no group yet.
    All,
}

/// Outcome of a request for votes.
pub(crate) struct Votes {
    pub is_won: bool,
    /// Whether every voter reported that it is not ahead.
    pub is_up_to_date: bool,
    /// Voters that granted the vote, with the identities they responded with.
    pub identities: BTreeMap<String, Uuid>,
}

/// Requests votes from all other voters concurrently and counts them until the threshold.
pub(crate) async fn request_votes(
    shared: &Arc<Shared>,
    term: u64,
    body: RequestBody,
    threshold: Threshold,
) -> Votes {
    let mut votes = Votes {
        is_won: false,
        is_up_to_date: false,
        identities: BTreeMap::new(),
    };
    let (all, quorum, has_suspect_tail) = {
        let core = shared.core();
        let members = core.log.members();
        (
            members.voters.len(),
            members.quorum(),
            core.suspect_tail.is_some(),
        )
    };
    let needed = match threshold {
        Threshold::Quorum => quorum,
        Threshold::All => all,
    };
    let is_up_to_date = matches!(&body, RequestBody::Vote(candidate) if candidate.is_up_to_date);
    // With a suspect tail the own log proves nothing; the quorum must come from other voters.
    if !has_suspect_tail || is_up_to_date {
        let self_vote = (shared.cfg.name.clone(), shared.identity);
        votes.identities.extend([self_vote]);
    }
    let mut not_ahead = 1;
    let mut responses = request_all(shared, term, &body);
    let counting = async {
        while let Some((name, response)) = responses.next().await {
            let Some(response) = response else { continue };
            // A pre-vote names a term not started yet; a voter already in it is ahead.
            if response.term > shared.core().term {
                shared.adopt_term(response.term).await;
                return;
            }
            let is_counted =
                threshold == Threshold::All || shared.core().is_voter(&name, response.identity);
            match response.body {
                ResponseBody::Granted if is_counted => {
                    not_ahead += 1;
                    votes.identities.insert(name, response.identity);
                }
                ResponseBody::SuspectTail if is_counted => not_ahead += 1,
                _ => {}
            }
            if votes.identities.len() >= needed {
                return;
            }
        }
    };
    // Voters that don't respond in time count as not voting.
    let _ = timeout(response_limit(shared, &body), counting).await;
    let is_pre_vote = matches!(body, RequestBody::PreVote(_));
    votes.is_up_to_date = is_pre_vote && not_ahead == all;
    votes.is_won =
        votes.identities.len() >= needed || threshold == Threshold::Quorum && votes.is_up_to_date;
    votes
}

/// Returns how long to wait for responses: a vote is stored before it is granted.
fn response_limit(shared: &Shared, body: &RequestBody) -> Duration {
    match body {
        RequestBody::Vote(_) => shared.cfg.timing.election_max,
        _ => shared.cfg.timing.election_min,
    }
}

type VoteFuture = std::pin::Pin<Box<dyn Future<Output = (String, Option<Response>)> + Send>>;

fn request_all(
    shared: &Arc<Shared>,
    term: u64,
    body: &RequestBody,
) -> FuturesUnordered<VoteFuture> {
    let voters = shared.core().log.members().voters.clone();
    let others = voters.into_iter().filter(|m| m.name != shared.cfg.name);
    others
        .map(|member| {
            let (shared, body) = (Arc::clone(shared), body.clone());
            let call = async move {
                let limit = response_limit(&shared, &body);
                let response = shared.call(&member.name, term, body, limit).await;
                (member.name, response)
            };
            Box::pin(call) as VoteFuture
        })
        .collect()
}
