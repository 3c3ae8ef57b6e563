//! `POST /v1/orders`: changes the models, adapters and role of an engine.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use derives::{record, token};
use hyper::{Response, StatusCode};
use membership::{LoadedModel, StageRole};
use serde_json::{Value, json};
use tokio::time::sleep;

use super::{
    journal::{CallIdentity, Event},
    reply::{Body, json_reply, problem},
    shared::Shared,
    weight_store::{self, Fetched},
};

/// Action of an order.
#[token]
#[serde(rename_all = "lowercase")]
enum Action {
    Load,
    Unload,
    Role,
}

/// An order as the controller sends it.
#[record]
struct Order {
    #[serde(rename = "order")]
    id: String,
    fencing: u64,
    action: Action,
    #[serde(default)]
    model: String,
    #[serde(default)]
    version: u32,
    #[serde(default)]
    adapters: Vec<String>,
    #[serde(default)]
    role: StageRole,
}

#[derive(Debug, Default)]
struct OrderState {
    fencing: u64,
    replies: HashMap<String, Value>,
    models: Vec<LoadedModel>,
    role: StageRole,
}

/// Orders accepted so far, with the resulting models and role.
#[derive(Debug)]
pub(crate) struct Orders(Mutex<OrderState>);

impl Orders {
    pub(crate) fn new(models: Vec<LoadedModel>, role: StageRole) -> Self {
        Self(Mutex::new(OrderState {
            models,
            role,
            ..OrderState::default()
        }))
    }

    fn state(&self) -> std::sync::MutexGuard<'_, OrderState> {
        self.0.lock().expect("no panic under this lock")
    }

    pub(crate) fn models(&self) -> Vec<LoadedModel> {
        self.state().models.clone()
    }

    pub(crate) fn role(&self) -> StageRole {
        self.state().role
    }

    /// Returns true if calls for `model`, which may be an adapter or carry a version, can be served.
    ///
    /// A stand-in without models or orders accepts any model.
    pub(crate) fn serves(&self, model: &str) -> bool {
        let state = self.state();
        let bare = model.split([':', '@']).next().unwrap_or_default();
        let is_fresh = state.models.is_empty() && state.replies.is_empty();
        let has = |m: &LoadedModel| m.model == bare || m.adapters.iter().any(|a| a == bare);
        is_fresh || state.models.iter().any(has)
    }

    fn load(&self, order: &Order) {
        let mut state = self.state();
        let is_same = |m: &LoadedModel| m.model == order.model && m.version == order.version;
        match state.models.iter_mut().find(|m| is_same(m)) {
            Some(loaded) => {
                loaded.adapters.extend(order.adapters.iter().cloned());
                loaded.adapters.sort();
                loaded.adapters.dedup();
            }
            None => state.models.push(LoadedModel {
                model: order.model.clone(),
                version: order.version,
                adapters: order.adapters.clone(),
            }),
        }
    }

    /// Records that the weight store refused the load, as the reply to repeats of `order`.
    fn record_store_refusal(&self, order: &Order, status: StatusCode) {
        let reply = json!({
            "order": order.id, "state": "failed", "cause": "weight_store",
            "detail": format!("the weight store answered {status}"),
        });
        self.state().replies.insert(order.id.clone(), reply);
    }

    fn unload(&self, order: &Order) {
        let mut state = self.state();
        let is_other = |m: &LoadedModel| m.model != order.model || m.version != order.version;
        state.models.retain(is_other);
    }
}

pub(crate) fn post(shared: &Arc<Shared>, body: &Bytes) -> Response<Body> {
    let order: Order = match serde_json::from_slice(body) {
        Ok(order) => order,
        Err(e) => {
            let detail = format!("the body is no order: {e}");
            return problem(StatusCode::BAD_REQUEST, "", &detail, true);
        }
    };
    let identity = CallIdentity {
        call: order.id.clone(),
        ..CallIdentity::default()
    };
    let mut state = shared.orders.state();
    if let Some(reply) = state.replies.get(&order.id) {
        return json_reply(StatusCode::OK, "", reply);
    }
    let fencing = order.fencing;
    if shared.cfg.checks_fencing && fencing < state.fencing {
        let detail = format!("fencing number {fencing} is below {}", state.fencing);
        shared.journal.add(&identity, Event::StaleOrder { fencing });
        return problem(StatusCode::CONFLICT, "", &detail, true);
    }
    state.fencing = state.fencing.max(fencing);
    let is_other = |m: &LoadedModel| m.model != order.model || m.version != order.version;
    let other_models = state.models.iter().filter(|m| is_other(m)).count();
    let max_models = shared.cfg.engine.max_models.unwrap_or(usize::MAX);
    if order.action == Action::Load && other_models >= max_models {
        let detail = format!("no memory for another model beside {other_models}");
        return problem(StatusCode::INSUFFICIENT_STORAGE, "", &detail, true);
    }
    let reply = json!({ "order": order.id, "state": "accepted" });
    state.replies.insert(order.id.clone(), reply.clone());
    drop(state);
    let action = format!("{:?} {} {}", order.action, order.model, order.version);
    let event = Event::Ordered {
        fencing,
        action: action.to_lowercase(),
    };
    shared.journal.add(&identity, event);
    tokio::spawn(execute(Arc::clone(shared), order));
    json_reply(StatusCode::OK, "", &reply)
}

async fn execute(shared: Arc<Shared>, order: Order) {
    match order.action {
        Action::Load => match fetch(&shared, &order).await {
            Fetched::Complete(_) => shared.orders.load(&order),
            Fetched::Refused(status) => shared.orders.record_store_refusal(&order, status),
        },
        Action::Unload => shared.orders.unload(&order),
        Action::Role => shared.orders.state().role = order.role,
    }
    shared.announce_now.notify_one();
}

async fn fetch(shared: &Shared, order: &Order) -> Fetched {
    let Some(store) = &shared.cfg.engine.weight_store else {
        sleep(shared.cfg.engine.load_time).await;
        return Fetched::Complete(0);
    };
    let name = format!("{}-{}", order.model, order.version);
    loop {
        match weight_store::fetch(&shared.client, store, &name).await {
            Ok(fetched) => return fetched,
            Err(e) => eprintln!("{}: fetch weights of {name}: {e:#}", shared.cfg.name),
        }
        sleep(weight_store::RETRY_INTERVAL).await;
    }
}
