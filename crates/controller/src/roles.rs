//! Which endpoint of a service is to take which part of generations.

use declaration::RoleShares;
use membership::{EndpointView, StageRole};

/// The word for a role.
pub(crate) fn role_name(role: StageRole) -> &'static str {
    match role {
        StageRole::Both => "both",
        StageRole::Prefill => "prefill",
        StageRole::Decode => "decode",
    }
}

/// The role that each of `ready` is to have: as many as the shares say, at least one of each, and
/// those that have a role already keep it. Fewer than two endpoints do both.
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
        // Rounding leaves nobody to do both.
        100 => count - prefill,
        _ => part(shares.decode).min(count - prefill),
    };
    let mut remaining = [
        (StageRole::Prefill, prefill),
        (StageRole::Decode, decode),
        (StageRole::Both, count - prefill - decode),
    ];
    let mut claim = |is_right: &dyn Fn(StageRole) -> bool| {
        let found = remaining.iter_mut().find(|(r, n)| *n > 0 && is_right(*r))?;
        found.1 -= 1;
        Some(found.0)
    };
    let kept: Vec<_> = ready
        .iter()
        .map(|e| claim(&|role| role == e.role))
        .collect();
    let given = ready.iter().zip(kept);
    given
        .filter_map(|(e, kept)| Some((*e, kept.or_else(|| claim(&|_| true))?)))
        .collect()
}

/// What nobody would do any more if an endpoint went from role `from` to `to`, or served no more,
/// where only those in `staying` keep their roles.
pub(crate) fn uncovered_role(
    from: StageRole,
    to: Option<StageRole>,
    staying: &[&EndpointView],
) -> Option<String> {
    let does = |role: StageRole, part: StageRole| role == part || role == StageRole::Both;
    let is_lost = |part: &StageRole| {
        let others = staying.iter().any(|e| does(e.role, *part));
        does(from, *part) && !to.is_some_and(|to| does(to, *part)) && !others
    };
    let parts = [StageRole::Prefill, StageRole::Decode];
    let lost = parts.into_iter().find(is_lost)?;
    Some(format!("no other endpoint would {}", role_name(lost)))
}
