//! Lookup tables for the declaration in force: routes by host, workspaces by access key.

use std::{collections::HashMap, fmt::Write as _, sync::Arc};

use declaration::{Declaration, Priority, Route, Service};
use rand::RngExt;
use sha2::{Digest, Sha256};

/// Routes and keys of one revision of the declaration.
#[derive(Debug, Default)]
pub struct Rules {
    /// The declaration that the tables were built from.
    pub declaration: Declaration,
    /// Routes by host, longest prefix first.
    hosts: HashMap<String, Vec<NamedRoute>>,
    /// Workspace names by the digest of their keys.
    keys: HashMap<String, String>,
}

/// A route with its name.
#[derive(Clone, Debug)]
struct NamedRoute {
    name: String,
    route: Arc<Route>,
}

/// A route that matches a request.
#[derive(Clone, Debug)]
pub struct MatchedRoute {
    /// The rules that contain the route.
    pub rules: Arc<Rules>,
    /// Name of the route.
    pub name: String,
    route: Arc<Route>,
}

impl MatchedRoute {
    /// Returns the declared route.
    pub fn route(&self) -> &Route {
        &self.route
    }
}

/// The workspace that a request belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// Name by which endpoints are told of the workspace.
    pub workspace: String,
    /// Priority of the workspace.
    pub priority: Priority,
}

impl Rules {
    /// Builds the rules of `declaration`.
    pub fn new(declaration: &Declaration) -> Self {
        let mut hosts: HashMap<String, Vec<NamedRoute>> = HashMap::new();
        for (name, route) in &declaration.routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(NamedRoute {
                name: name.clone(),
                route: Arc::clone(route),
            });
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.route.path_prefix.len()));
        }
        let workspaces = declaration.workspaces.iter();
        let keys = workspaces.flat_map(|(name, workspace)| {
            let keys = workspace.keys.iter();
            keys.map(move |key| (key.0.clone(), name.clone()))
        });
        Self {
            keys: keys.collect(),
            hosts,
            declaration: declaration.clone(),
        }
    }

    /// Returns true if there are no routes.
    pub fn is_empty(&self) -> bool {
        self.declaration.routes.is_empty()
    }

    /// Returns the route with the longest prefix that matches `path` at `host`.
    pub fn match_route(self: &Arc<Self>, host: &str, path: &str) -> Option<MatchedRoute> {
        let routes = self.hosts.get(&host.to_ascii_lowercase())?;
        let matches_path = |r: &&NamedRoute| path.starts_with(&r.route.path_prefix);
        routes.iter().find(matches_path).map(|found| MatchedRoute {
            rules: Arc::clone(self),
            name: found.name.clone(),
            route: Arc::clone(&found.route),
        })
    }

    /// Returns the workspace that `key` belongs to.
    pub fn caller(&self, key: &str) -> Option<Caller> {
        let name = self.keys.get(&key_digest(key))?;
        let workspace = self.declaration.workspaces.get(name)?;
        Some(Caller {
            priority: workspace.priority,
            workspace: workspace.label.as_ref().unwrap_or(name).clone(),
        })
    }

    /// Returns the declared service `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.declaration.services.get(name)
    }
}

/// Returns the digest of an access key as it appears in a declaration: SHA-256 in hexadecimal.
pub fn key_digest(key: &str) -> String {
    let mut hex = String::new();
    for byte in Sha256::digest(key.as_bytes()) {
        // Writing to a string can't fail.
        let _ = write!(hex, "{byte:02x}");
    }
    hex
}

/// Picks one of the route's services at random by weight; `None` if all weights are 0.
pub fn pick_service(route: &Route) -> Option<&str> {
    let total: u64 = route.services.iter().map(|s| u64::from(s.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut remaining_weight = rand::rng().random_range(0..total);
    for service in &route.services {
        let weight = u64::from(service.weight);
        if remaining_weight < weight {
            return Some(&service.service);
        }
        remaining_weight -= weight;
    }
    None
}

/// Returns the urgency of a request from 0 (first) to 9 (last): by workspace first, then by route.
pub fn urgency(caller: Option<&Caller>, route: &Route) -> u8 {
    const ROUTE_LEVELS: u8 = 3;
    let rank = |priority: Priority| Priority::MAX.saturating_sub(priority.0);
    let workspace = caller.map_or(0, |c| rank(c.priority));
    let route = rank(route.priority).min(ROUTE_LEVELS - 1);
    workspace
        .saturating_mul(ROUTE_LEVELS)
        .saturating_add(route)
        .min(Priority::MAX)
}

#[cfg(test)]
mod tests;
