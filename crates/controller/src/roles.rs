//! Assigns the endpoints of a service to parts of generations.

use declaration::RoleShares;
use membership::{EndpointView, StageRole};

/// Returns the name of a role for operators.
pub(crate) fn role_name(role: StageRole) -> &'static str {
    match role {
        StageRole::Both => "both",
        StageRole::Prefill => "prefill",
        StageRole::Decode => "decode",
    }
}

/// Assigns a role to each endpoint of `ready` according to `shares`, with at least one endpoint for
/// each part. Endpoints keep their current role where possible. A single endpoint serves both parts.
pub fn assign<'a>(
    ready: &[&'a EndpointView],
    shares: RoleShares,
) -> Vec<(&'a EndpointView, StageRole)> {
    let count = ready.len();
    if count < 2 {
        return ready.iter().map(|e| (*e, StageRole::Both)).collect();
    }
    let part = |percent: u8| (count * usize::from(percent) / 100).max(1);
    let prefill = part(shares.prefill).min(count - 1);
    let decode = match shares.prefill + shares.decode {
        // The shares add up to 100, so rounding must leave no endpoint for both parts.
        100 => count - prefill,
        _ => part(shares.decode).min(count - prefill),
    };
    let mut remaining = [
        (StageRole::Prefill, prefill),
        (StageRole::Decode, decode),
        (StageRole::Both, count - prefill - decode),
    ];
    let mut claim = |is_match: &dyn Fn(StageRole) -> bool| {
        let found = remaining.iter_mut().find(|(r, n)| *n > 0 && is_match(*r))?;
        found.1 -= 1;
        Some(found.0)
    };
    let kept: Vec<_> = ready
        .iter()
        .map(|e| claim(&|role| role == e.role))
        .collect();
    let assignments = ready.iter().zip(kept);
    assignments
        .filter_map(|(e, kept)| Some((*e, kept.or_else(|| claim(&|_| true))?)))
        .collect()
}

/// Returns the part that no endpoint would serve if one went from role `from` to `to`, or stopped
/// serving if `to` is `None`, while only those in `staying` keep their roles.
pub(crate) fn uncovered_role(
    from: StageRole,
    to: Option<StageRole>,
    staying: &[&EndpointView],
) -> Option<String> {
    let serves = |role: StageRole, part: StageRole| role == part || role == StageRole::Both;
    let is_lost = |part: &StageRole| {
        let others = staying.iter().any(|e| serves(e.role, *part));
        serves(from, *part) && !to.is_some_and(|to| serves(to, *part)) && !others
    };
    let parts = [StageRole::Prefill, StageRole::Decode];
    let lost = parts.into_iter().find(is_lost)?;
    Some(format!("no other endpoint would {}", role_name(lost)))
}
