//! Helpers for unit tests.

use membership::{EndpointState, EndpointView, Mirror, StageRole};
use uuid::Uuid;

use crate::{in_flight::InFlightCall, placement::PlacedCall};

/// A ready endpoint of `service` with two slots, as keepers list it.
pub(crate) fn view(endpoint: &str, service: &str, az: &str) -> EndpointView {
    EndpointView {
        endpoint: endpoint.to_owned(),
        service: service.to_owned(),
        az: az.to_owned(),
        address: "http://127.0.0.1:9".to_owned(),
        incarnation: Uuid::nil(),
        state: EndpointState::Ready,
        models: Vec::new(),
        role: StageRole::Both,
        checks_fencing: false,
        slots: Some(2),
        calls: 0,
        silent_ms: 0,
        rate: None,
        cold: None,
    }
}

/// A mirror of keepers that list `views`.
pub(crate) fn mirror(views: impl IntoIterator<Item = EndpointView>) -> Mirror {
    let mut mirror = Mirror::default();
    for view in views {
        mirror.endpoints.insert(view.endpoint.clone(), view);
    }
    mirror
}

impl PlacedCall {
    /// Returns the call, which must need no permit.
    pub(crate) fn ready(self) -> InFlightCall {
        match self {
            Self::Ready(flight) => flight,
            Self::NeedsPermit(target) => panic!("a call to {} needs a permit", target.name),
        }
    }
}
