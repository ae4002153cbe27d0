//! The configuration in force.

use std::{collections::HashMap, sync::Arc};

use mimosaledge_core::Name;
use serde::{Deserialize, Serialize};

use crate::{limits::Limits, route::Route, service::Service};

/// A workspace and what its keys entitle to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// The workspace's name.
    pub name: Name,
    /// Its priority, which goes before the route's.
    pub priority: Option<u8>,
    /// API keys that name this workspace.
    pub keys: Vec<Name>,
}

/// One version of the operators' configuration, as it is kept and sent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// The version; a later configuration has a higher one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on clients.
    pub limits: Limits,
    /// Workspaces, or `None` if requests need no key.
    pub workspaces: Option<Vec<Workspace>>,
}

/// Why a request is not let through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// No route matches.
    NoRoute,
    /// The route needs a key that names a workspace.
    NoWorkspace,
}

/// A configuration indexed for the request path.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    limits: Limits,
    hosts: HashMap<String, HashMap<Name, Arc<Route>>>,
    services: HashMap<Name, Service>,
    keys: Option<HashMap<Name, (Name, Option<u8>)>>,
}

/// Where an accepted request goes.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// The route taken.
    pub route: Arc<Route>,
    /// The workspace that sent the request, if the route asks for one.
    pub workspace: Option<Name>,
    /// The priority in force for the request; 0 is the most urgent.
    pub priority: u8,
}

impl RouteTable {
    /// Indexes `config`.
    pub fn from_config(config: &FleetConfig) -> RouteTable {
        let mut hosts: HashMap<String, HashMap<Name, Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(route.prefix.clone(), Arc::new(route.clone()));
        }
        let services = config.services.iter().map(|it| (it.name.clone(), it.clone())).collect();
        let keys = config.workspaces.as_ref().map(|workspaces| {
            let mut keys = HashMap::new();
            for workspace in workspaces {
                for key in &workspace.keys {
                    keys.insert(key.clone(), (workspace.name.clone(), workspace.priority));
                }
            }
            keys
        });
        RouteTable { version: config.version, limits: config.limits, hosts, services, keys }
    }

    /// Returns the configuration's version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on clients.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Finds the route with the longest prefix of `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let prefixes = self.hosts.get(&host)?;
        path.rmatch_indices('/').find_map(|(end, _)| prefixes.get(&path[..=end]))
    }

    /// Judges a request by its host, path and API key.
    ///
    /// # Errors
    ///
    /// Returns what the configuration does not allow.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Result<Admitted, Denial> {
        let route = self.find_route(host, path).ok_or(Denial::NoRoute)?.clone();
        let holder = match &self.keys {
            Some(keys) => key.and_then(|key| keys.get(key)),
            None => None,
        };
        if self.keys.is_some() && !route.anonymous && holder.is_none() {
            return Err(Denial::NoWorkspace);
        }
        let workspace = holder.map(|(name, _)| name.clone());
        let priority = holder.and_then(|(_, priority)| *priority).unwrap_or(route.priority);
        Ok(Admitted { route, workspace, priority })
    }
}
