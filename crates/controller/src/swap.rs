//! Replaces a version on endpoints without memory for two: each drains, unloads the old version
//! and loads the new one, one endpoint of a service at a time.

use membership::{EndpointView, LoadedModel};

use crate::{
    order::{Action, Task},
    plan::{Plan, Planner},
    roles,
};

impl Planner<'_> {
    /// Returns true if the declared version may be loaded in addition to the models of `endpoint`:
    /// neither the declared sizes nor an earlier refusal for lack of memory rule it out.
    pub(crate) fn fits_in_memory(&self, endpoint: &EndpointView) -> bool {
        let has_target = endpoint.models.iter().any(|m| self.target.matches(m));
        let loaded_count = endpoint.models.len() as u64;
        if has_target || loaded_count == 0 {
            return true;
        }
        let declared_mb = self.declared.model_mb.zip(self.declared.endpoint_mb);
        let is_too_large = declared_mb
            .is_some_and(|(model, all)| u64::from(model) * (loaded_count + 1) > u64::from(all));
        !is_too_large && !self.tracker.ran_out_of_memory(&self.release())
    }

    /// Plans to drain `endpoint` and then to unload the model that takes up the memory.
    pub(crate) fn plan_swap(
        &self,
        plan: &mut Plan,
        endpoint: &EndpointView,
        ready: &[&EndpointView],
    ) {
        let Some(old) = endpoint.models.first() else {
            return;
        };
        let name = &endpoint.endpoint;
        let (model, version) = (self.target.model, self.target.version);
        let differs = format!(
            "lacks {model} version {version}, which does not fit in memory next to {} version {}",
            old.model, old.version
        );
        let drained_since = self.tracker.draining().get(name);
        let order_blocker = self.open_order_blocker(name).or_else(|| self.halt_reason());
        let blocker = match drained_since {
            Some(_) => order_blocker,
            None => order_blocker
                .or_else(|| self.swap_blocker(plan, endpoint, ready))
                .or_else(|| self.change_blocker(plan, name, ready.len()))
                .or_else(|| self.store_blocker(plan)),
        };
        let is_unloading = self.tracker.open_orders().contains_key(name);
        if blocker.is_none() || (drained_since.is_some() && is_unloading) {
            plan.drains.push(name.clone());
        }
        let has_drained = drained_since
            .is_some_and(|since| self.input.now >= *since + self.limits.drain_duration);
        match blocker {
            Some(why) => self.add_difference(plan, name, differs, &why),
            None if !has_drained => {
                let why = "it is draining and will unload once its calls in flight have ended";
                self.add_difference(plan, name, differs, why);
            }
            None => self.propose(plan, differs, None, unload(endpoint, old)),
        }
    }

    /// Returns why `endpoint` may not stop serving now.
    fn swap_blocker(
        &self,
        plan: &Plan,
        endpoint: &EndpointView,
        ready: &[&EndpointView],
    ) -> Option<String> {
        let serves = |e: &EndpointView| e.models.iter().any(|m| m.model == self.target.model);
        let is_unavailable = |e: &EndpointView| {
            e.models.is_empty()
                || self.tracker.draining().contains_key(&e.endpoint)
                || plan.drains.contains(&e.endpoint)
        };
        let others = ready.iter().filter(|e| e.endpoint != endpoint.endpoint);
        let (unavailable, others): (Vec<&EndpointView>, Vec<&EndpointView>) =
            others.copied().partition(|e| is_unavailable(e));
        let staying: Vec<&EndpointView> = others.into_iter().filter(|e| serves(e)).collect();
        match unavailable.first() {
            Some(other) => Some(format!("{} swaps versions first", other.endpoint)),
            // The endpoint has another model, which is no longer called.
            None if !serves(endpoint) => None,
            None if staying.is_empty() => {
                Some("no other endpoint would serve; add one, or give it more memory".to_owned())
            }
            None => roles::uncovered_role(endpoint.role, None, &staying),
        }
    }
}

/// Returns the task that unloads `old` from `endpoint`.
pub(crate) fn unload(endpoint: &EndpointView, old: &LoadedModel) -> Task {
    Task {
        endpoint: endpoint.endpoint.clone(),
        incarnation: endpoint.incarnation,
        action: Action::Unload,
        model: old.model.clone(),
        version: old.version,
        adapters: Vec::new(),
    }
}
