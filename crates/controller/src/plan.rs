//! Compares endpoints with the declaration and plans the orders that remove the differences.

use std::{collections::BTreeMap, time::Duration};

use declaration::{Service, ServiceKind};
use derives::record;
use membership::{EndpointState, EndpointView, LoadedModel, StageRole};
use tokio::time::Instant;

use crate::{
    config::Limits,
    order::{Action, Task},
    roles::{self, role_name},
    swap::unload,
    tracker::{OrderState, OrderTracker, Release, is_applied},
    weight_store::ModelVersion,
};

/// The state from which a plan is made.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// Declared services by name.
    pub services: &'a BTreeMap<String, Service>,
    /// Endpoints of the availability zone by name.
    pub endpoints: &'a BTreeMap<String, EndpointView>,
    /// Time since this declaration took effect in this process.
    pub declaration_age: Duration,
    /// Time at which the plan is made.
    pub now: Instant,
}

/// A difference from the declaration.
#[record]
#[derive(Eq)]
pub struct Difference {
    /// Name of the service.
    pub service: String,
    /// Name of the endpoint; empty if the difference concerns the whole service.
    pub endpoint: String,
    /// The difference, as text for operators.
    pub differs: String,
    /// Why the difference still exists.
    pub why: String,
}

/// Planned orders and drains, and the remaining differences.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Orders to send, each with the service of its endpoint.
    pub tasks: Vec<(String, Task)>,
    /// Endpoints that should get no new calls.
    pub drains: Vec<String>,
    /// Differences from the declaration.
    pub differences: Vec<Difference>,
}

/// The model that a service's endpoints should have loaded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Target<'a> {
    pub(crate) model: &'a str,
    pub(crate) version: u32,
    adapters: &'a [String],
}

impl Target<'_> {
    fn load(&self, endpoint: &EndpointView) -> Task {
        Task {
            endpoint: endpoint.endpoint.clone(),
            incarnation: endpoint.incarnation,
            action: Action::Load,
            model: self.model.to_owned(),
            version: self.version,
            adapters: self.adapters.to_vec(),
        }
    }

    pub(crate) fn matches(&self, loaded: &LoadedModel) -> bool {
        loaded.model == self.model && loaded.version == self.version
    }
}

/// Compares the endpoints with the declared services and plans the next orders.
pub fn plan(input: &PlanInput<'_>, tracker: &OrderTracker, limits: &Limits) -> Plan {
    let mut plan = Plan::default();
    for (name, service) in input.services {
        let model = service.model.as_deref().zip(service.version);
        let Some((model, version)) = model.filter(|_| service.kind == ServiceKind::Engine) else {
            continue;
        };
        let target = Target {
            model,
            version,
            adapters: &service.adapters,
        };
        let planner = Planner {
            input,
            tracker,
            limits,
            service: name,
            declared: service,
            target,
        };
        planner.run(&mut plan);
    }
    plan
}

#[derive(Clone, Copy)]
pub(crate) struct Planner<'a> {
    pub(crate) input: &'a PlanInput<'a>,
    pub(crate) tracker: &'a OrderTracker,
    pub(crate) limits: &'a Limits,
    pub(crate) service: &'a str,
    pub(crate) declared: &'a Service,
    pub(crate) target: Target<'a>,
}

impl Planner<'_> {
    fn run(&self, plan: &mut Plan) {
        let in_service = |e: &&EndpointView| e.service == self.service;
        let all: Vec<&EndpointView> = self.input.endpoints.values().filter(in_service).collect();
        if all.is_empty() {
            let differs = "no endpoint has announced itself".to_owned();
            self.add_difference(plan, "", differs, "start one in this availability zone");
        }
        let ready: Vec<&EndpointView> = all
            .into_iter()
            .filter(|e| e.state == EndpointState::Ready)
            .collect();
        let is_updated = |e: &&&EndpointView| is_applied(e, &self.target.load(e));
        let updated_count = ready.iter().filter(is_updated).count();
        for endpoint in &ready {
            match is_applied(endpoint, &self.target.load(endpoint)) {
                false if !self.fits_in_memory(endpoint) => self.plan_swap(plan, endpoint, &ready),
                false => self.plan_load(plan, endpoint, ready.len()),
                true => self.plan_unload(plan, endpoint, ready.len(), updated_count),
            }
        }
        let Some(shares) = self.declared.roles else {
            return;
        };
        for (endpoint, role) in roles::assign(&ready, shares) {
            if endpoint.role != role {
                self.plan_role(plan, endpoint, role, &ready);
            }
        }
    }

    /// Plans a role change, unless no endpoint would then serve a part of generations.
    fn plan_role(
        &self,
        plan: &mut Plan,
        endpoint: &EndpointView,
        role: StageRole,
        ready: &[&EndpointView],
    ) {
        let name = &endpoint.endpoint;
        let is_changing = |other: &EndpointView| {
            let is_for_endpoint = |task: &Task| task.endpoint == other.endpoint;
            self.tracker.open_orders().contains_key(&other.endpoint)
                || plan.tasks.iter().any(|(_, task)| is_for_endpoint(task))
        };
        let others = ready.iter().filter(|e| e.endpoint != *name);
        let staying: Vec<&EndpointView> = others.copied().filter(|e| !is_changing(e)).collect();
        let blocker = self
            .open_order_blocker(name)
            .or_else(|| is_changing(endpoint).then(|| "another order comes first".to_owned()))
            .or_else(|| roles::uncovered_role(endpoint.role, Some(role), &staying))
            .or_else(|| self.change_blocker(plan, name, ready.len()));
        let differs = format!(
            "has role {}, not {}",
            role_name(endpoint.role),
            role_name(role)
        );
        let task = Task {
            endpoint: name.clone(),
            incarnation: endpoint.incarnation,
            action: Action::Role(role),
            model: String::new(),
            version: 0,
            adapters: Vec::new(),
        };
        self.propose(plan, differs, blocker, task);
    }

    fn plan_load(&self, plan: &mut Plan, endpoint: &EndpointView, ready: usize) {
        let Target { model, version, .. } = self.target;
        let name = &endpoint.endpoint;
        let blocker = self
            .open_order_blocker(name)
            .or_else(|| self.halt_reason())
            .or_else(|| self.change_blocker(plan, name, ready))
            .or_else(|| self.store_blocker(plan));
        let differs = format!("lacks {model} version {version} with its adapters");
        let task = self.target.load(endpoint);
        self.propose(plan, differs, blocker, task);
    }

    /// Plans the unload of one undeclared model once gates have stopped calling it and most endpoints
    /// have the declared version.
    fn plan_unload(
        &self,
        plan: &mut Plan,
        endpoint: &EndpointView,
        ready: usize,
        updated_count: usize,
    ) {
        let extra = endpoint.models.iter().find(|m| !self.target.matches(m));
        let Some(extra) = extra else {
            return;
        };
        let name = &endpoint.endpoint;
        let needed = ready - ready * self.limits.max_changing_percent as usize / 100;
        let is_unload_due = self.input.declaration_age >= self.limits.unload_delay;
        let blocker = self
            .open_order_blocker(name)
            .or_else(|| self.halt_reason())
            .or_else(|| (!is_unload_due).then(|| "gates may still call it".to_owned()))
            .or_else(|| {
                (updated_count < needed)
                    .then(|| "too few other endpoints have the declared version".to_owned())
            })
            .or_else(|| self.change_blocker(plan, name, ready));
        let differs = format!("still has {} version {}", extra.model, extra.version);
        let task = unload(endpoint, extra);
        self.propose(plan, differs, blocker, task);
    }

    /// Adds the difference, and adds `task` unless it is blocked.
    pub(crate) fn propose(
        &self,
        plan: &mut Plan,
        differs: String,
        blocker: Option<String>,
        task: Task,
    ) {
        let why = blocker.as_deref().unwrap_or("an order is being sent");
        self.add_difference(plan, &task.endpoint, differs, why);
        if blocker.is_none() {
            plan.tasks.push((self.service.to_owned(), task));
        }
    }

    pub(crate) fn open_order_blocker(&self, endpoint: &str) -> Option<String> {
        let open = self.tracker.open_orders().get(endpoint)?;
        let last = open.last_reply.as_deref().unwrap_or("no reply yet");
        Some(match open.state {
            OrderState::Accepted => {
                "the endpoint accepted its order but has not completed it yet".to_owned()
            }
            OrderState::Pending | OrderState::Sending => {
                format!(
                    "its order was sent {} times; last reply: {last}",
                    open.send_count
                )
            }
        })
    }

    pub(crate) fn release(&self) -> Release {
        Release {
            service: self.service.to_owned(),
            model: self.target.model.to_owned(),
            version: self.target.version,
        }
    }

    pub(crate) fn halt_reason(&self) -> Option<String> {
        self.tracker
            .halt_reason(&self.release(), self.limits.halt_after_failures)
    }

    /// Returns why no further endpoint of the service may change now.
    pub(crate) fn change_blocker(
        &self,
        plan: &Plan,
        endpoint: &str,
        ready: usize,
    ) -> Option<String> {
        let planned = plan
            .tasks
            .iter()
            .filter(|(service, _)| service == self.service);
        let open = self
            .tracker
            .open_orders()
            .values()
            .filter(|open| open.service == self.service);
        let changing = planned.count() + open.count();
        let allowed = (ready * self.limits.max_changing_percent as usize / 100).max(1);
        let last_applied = self.tracker.last_applied_at(self.service);
        let settle_remaining = last_applied.map_or(Duration::ZERO, |at| {
            (at + self.limits.settle_delay).saturating_duration_since(self.input.now)
        });
        match () {
            () if self.tracker.refused_recently(endpoint, self.input.now) => {
                Some("it recently refused an order".to_owned())
            }
            () if changing >= allowed => Some(format!(
                "{changing} endpoints are changing, at most {allowed} may at a time"
            )),
            () if !settle_remaining.is_zero() => {
                Some("the previously changed endpoint is still settling".to_owned())
            }
            () => None,
        }
    }

    /// Returns why the weight store may not be called now: each model version is fetched by one
    /// endpoint at a time, and the rate of loads is limited.
    pub(crate) fn store_blocker(&self, plan: &Plan) -> Option<String> {
        let is_same_load = |task: &Task| {
            let model_version = (task.model.as_str(), task.version);
            task.action == Action::Load && model_version == (self.target.model, self.target.version)
        };
        let open = self.tracker.open_orders().values().map(|open| &open.task);
        let planned = plan.tasks.iter().map(|(_, task)| task);
        let fetching = open.chain(planned).find(|task| is_same_load(task));
        let planned_loads = plan.tasks.iter().filter(|(_, t)| t.action == Action::Load);
        let loads = self.tracker.recent_loads(self.input.now) + planned_loads.count();
        let model_version = ModelVersion {
            model: self.target.model.to_owned(),
            version: self.target.version,
        };
        match fetching {
            None if let Some(why) = self
                .tracker
                .store()
                .blocked_reason(&model_version, self.input.now) =>
            {
                Some(why)
            }
            Some(task) => Some(format!("{} is fetching the same weights", task.endpoint)),
            None if loads >= self.limits.max_loads_per_minute as usize => Some(format!(
                "{loads} loads within a minute, the limit for the weight store"
            )),
            None => None,
        }
    }

    pub(crate) fn add_difference(
        &self,
        plan: &mut Plan,
        endpoint: &str,
        differs: String,
        why: &str,
    ) {
        plan.differences.push(Difference {
            service: self.service.to_owned(),
            endpoint: endpoint.to_owned(),
            differs,
            why: why.to_owned(),
        });
    }
}
