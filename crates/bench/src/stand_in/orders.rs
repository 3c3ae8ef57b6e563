//! `POST /v1/orders`: models, adapters, versions and roles of an engine.

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
    journal::{CallName, Event},
    reply::{Body, json_reply, problem},
    shared::Shared,
    weight_store::{self, Fetched},
};

/// What an order asks for.
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
struct Obeyed {
    fencing: u64,
    answers: HashMap<String, Value>,
    models: Vec<LoadedModel>,
    role: StageRole,
}

/// Orders obeyed so far and what they made of the engine.
#[derive(Debug)]
pub(crate) struct Orders(Mutex<Obeyed>);

impl Orders {
    pub(crate) fn new(models: Vec<LoadedModel>, role: StageRole) -> Self {
        Self(Mutex::new(Obeyed {
            models,
            role,
            ..Obeyed::default()
        }))
    }

    fn obeyed(&self) -> std::sync::MutexGuard<'_, Obeyed> {
        self.0.lock().expect("no panic under this lock")
    }

    pub(crate) fn models(&self) -> Vec<LoadedModel> {
        self.obeyed().models.clone()
    }

    pub(crate) fn role(&self) -> StageRole {
        self.obeyed().role
    }

    /// Whether a call for `model`, which may name an adapter or carry a version, can be served.
    ///
    /// A stand-in that never had a model accepts any.
    pub(crate) fn serves(&self, model: &str) -> bool {
        let obeyed = self.obeyed();
        let bare = model.split([':', '@']).next().unwrap_or_default();
        let is_fresh = obeyed.models.is_empty() && obeyed.answers.is_empty();
        let has = |m: &LoadedModel| m.model == bare || m.adapters.iter().any(|a| a == bare);
        is_fresh || obeyed.models.iter().any(has)
    }

    fn load(&self, order: &Order) {
        let mut obeyed = self.obeyed();
        let is_same = |m: &LoadedModel| m.model == order.model && m.version == order.version;
        match obeyed.models.iter_mut().find(|m| is_same(m)) {
            Some(loaded) => {
                loaded.adapters.extend(order.adapters.iter().cloned());
                loaded.adapters.sort();
                loaded.adapters.dedup();
            }
            None => obeyed.models.push(LoadedModel {
                model: order.model.clone(),
                version: order.version,
                adapters: order.adapters.clone(),
            }),
        }
    }

    /// A repeat of `order` is told that its load failed.
    fn store_refused(&self, order: &Order, status: StatusCode) {
        let answer = json!({
            "order": order.id, "state": "failed", "cause": "weight_store",
            "detail": format!("the weight store answered {status}"),
        });
        self.obeyed().answers.insert(order.id.clone(), answer);
    }

    fn unload(&self, order: &Order) {
        let mut obeyed = self.obeyed();
        let is_other = |m: &LoadedModel| m.model != order.model || m.version != order.version;
        obeyed.models.retain(is_other);
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
    let name = CallName {
        call: order.id.clone(),
        ..CallName::default()
    };
    let mut obeyed = shared.orders.obeyed();
    if let Some(answer) = obeyed.answers.get(&order.id) {
        return json_reply(StatusCode::OK, "", answer);
    }
    let fencing = order.fencing;
    if shared.cfg.checks_fencing && fencing < obeyed.fencing {
        let detail = format!("fencing number {fencing} is below {}", obeyed.fencing);
        shared.journal.add(&name, Event::StaleOrder { fencing });
        return problem(StatusCode::CONFLICT, "", &detail, true);
    }
    obeyed.fencing = obeyed.fencing.max(fencing);
    let is_new = |m: &LoadedModel| m.model != order.model || m.version != order.version;
    let beside = obeyed.models.iter().filter(|m| is_new(m)).count();
    let most = shared.cfg.engine.max_models.unwrap_or(usize::MAX);
    if order.action == Action::Load && beside >= most {
        let detail = format!("no memory for another model beside {beside}");
        return problem(StatusCode::INSUFFICIENT_STORAGE, "", &detail, true);
    }
    let answer = json!({ "order": order.id, "state": "accepted" });
    obeyed.answers.insert(order.id.clone(), answer.clone());
    drop(obeyed);
    let action = format!("{:?} {} {}", order.action, order.model, order.version);
    let event = Event::Ordered {
        fencing,
        action: action.to_lowercase(),
    };
    shared.journal.add(&name, event);
    tokio::spawn(carry_out(Arc::clone(shared), order));
    json_reply(StatusCode::OK, "", &answer)
}

async fn carry_out(shared: Arc<Shared>, order: Order) {
    match order.action {
        Action::Load => match fetch(&shared, &order).await {
            Fetched::Whole(_) => shared.orders.load(&order),
            Fetched::Refused(status) => shared.orders.store_refused(&order, status),
        },
        Action::Unload => shared.orders.unload(&order),
        Action::Role => shared.orders.obeyed().role = order.role,
    }
    shared.announce_now.notify_one();
}

async fn fetch(shared: &Shared, order: &Order) -> Fetched {
    let Some(store) = &shared.cfg.engine.weight_store else {
        sleep(shared.cfg.engine.load_time).await;
        return Fetched::Whole(0);
    };
    let name = format!("{}-{}", order.model, order.version);
    loop {
        match weight_store::fetch(&shared.client, store, &name).await {
            Ok(fetched) => return fetched,
            Err(e) => eprintln!("{}: fetch weights of {name}: {e:#}", shared.cfg.name),
        }
        sleep(weight_store::RETRY).await;
    }
}
