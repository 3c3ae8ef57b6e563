//! State shared by all handlers.

use std::sync::Arc;

use host::{
    client::Client,
    settings::{Operator, Peer as NamedAddress},
};
use link::{
    Peer,
    follower::{ActiveDeclaration, Follower},
    keepers::Keepers,
};
use salvo::Depot;

use crate::session::Sessions;

/// The console's links and sessions.
#[derive(Debug)]
pub(crate) struct App {
    pub(crate) keepers: Arc<Keepers>,
    pub(crate) follower: Follower,
    pub(crate) gates: Vec<Peer>,
    pub(crate) controllers: Vec<NamedAddress>,
    pub(crate) client: Client,
    pub(crate) operators: Vec<Operator>,
    pub(crate) sessions: Sessions,
}

impl App {
    /// Returns the declaration in force here, or `None` until a keeper has sent one.
    pub(crate) fn in_force(&self) -> Option<Arc<ActiveDeclaration>> {
        self.follower.in_force().borrow().clone()
    }
}

/// Returns the app that the router injects.
pub(crate) fn app(depot: &Depot) -> Arc<App> {
    let app = depot.get_typed::<Arc<App>>();
    Arc::clone(app.expect("the router injects the app into every request"))
}
