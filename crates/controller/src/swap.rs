//! Replacing a version at endpoints that have no memory for two: they drain, unload and load, one
//! endpoint of a service at a time.

use membership::{EndpointView, LoadedModel};

use crate::{
    order::{Action, Task},
    plan::{Plan, Planner},
    roles,
};

impl Planner<'_> {
    /// Whether the declared version may be loaded beside what `endpoint` has: no, where that is
    /// declared not to fit or was refused for lack of memory.
    pub(crate) fn fits_in_memory(&self, endpoint: &EndpointView) -> bool {
        let has_it = endpoint.models.iter().any(|m| self.target.matches(m));
        let loaded_count = endpoint.models.len() as u64;
        if has_it || loaded_count == 0 {
            return true;
        }
        let declared = self.declared.model_mb.zip(self.declared.endpoint_mb);
        let is_too_large = declared
            .is_some_and(|(model, all)| u64::from(model) * (loaded_count + 1) > u64::from(all));
        !is_too_large && !self.tracker.ran_out_of_memory(&self.release())
    }

    /// Drains `endpoint`, and then unloads what stands in the way of the declared version.
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
            "lacks {model} version {version}, which does not fit beside {} version {}",
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
        let is_drained = drained_since
            .is_some_and(|since| self.input.now >= *since + self.limits.drain_duration);
        match blocker {
            Some(why) => self.add_difference(plan, name, differs, &why),
            None if !is_drained => {
                let why = "it gets no new calls, and unloads once those under way have ended";
                self.add_difference(plan, name, differs, why);
            }
            None => self.propose(plan, differs, None, unload(endpoint, old)),
        }
    }

    /// Why `endpoint` may not stop serving now.
    fn swap_blocker(
        &self,
        plan: &Plan,
        endpoint: &EndpointView,
        ready: &[&EndpointView],
    ) -> Option<String> {
        let serves = |e: &EndpointView| e.models.iter().any(|m| m.model == self.target.model);
        let is_out = |e: &EndpointView| {
            e.models.is_empty()
                || self.tracker.draining().contains_key(&e.endpoint)
                || plan.drains.contains(&e.endpoint)
        };
        let others = ready.iter().filter(|e| e.endpoint != endpoint.endpoint);
        let (out, others): (Vec<&EndpointView>, Vec<&EndpointView>) =
            others.copied().partition(|e| is_out(e));
        let staying: Vec<&EndpointView> = others.into_iter().filter(|e| serves(e)).collect();
        match out.first() {
            Some(other) => Some(format!("{} swaps versions first", other.endpoint)),
            // It has another model, which nothing asks for any more.
            None if !serves(endpoint) => None,
            None if staying.is_empty() => {
                Some("no other endpoint would serve; add one, or give it more memory".to_owned())
            }
            None => roles::uncovered_role(endpoint.role, None, &staying),
        }
    }
}

/// The task to unload `old` from `endpoint`.
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
