//! The fleet's configuration, and its index for routing and authorizing
//! requests.

use std::{collections::HashMap, sync::Arc};

use mimosaledge_core::{Name, hash::hash32};
use serde::{Deserialize, Serialize};

use crate::{
    config_extension::{ConfigExtension, Homes, SlowStart},
    limits::Limits,
    route::Route,
    service::Service,
};

/// A workspace with its API keys and priority.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// The workspace's name.
    pub name: Name,
    /// Its priority, which overrides that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// API keys that identify this workspace.
    pub keys: Vec<Name>,
}

/// One version of the operators' configuration.
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
    /// All workspaces, or `None` if no request needs an API key.
    pub workspaces: Option<Vec<Workspace>>,
    /// What was added later. It follows the configuration in messages between gateways, so
    /// that it is no part of its layout.
    #[serde(skip)]
    pub extension: ConfigExtension,
}

/// Why a request is denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// No route matches.
    NoRoute,
    /// The route requires an API key of a workspace.
    NoWorkspace,
}

/// A configuration with indexes by host, path prefix, service and API key.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    limits: Limits,
    /// Routes by lower-case host and path prefix.
    hosts: HashMap<String, HashMap<Name, Arc<Route>>>,
    services: HashMap<Name, Service>,
    /// Services whose endpoints start slowly.
    slow_starts: HashMap<Name, SlowStart>,
    /// Homes of routes, by route.
    route_homes: HashMap<Name, Arc<[Name]>>,
    /// Homes of workspaces, by workspace.
    workspace_homes: HashMap<Name, Arc<[Name]>>,
    /// Name and priority of the workspace, by API key; `None` if no request needs
    /// a key.
    api_keys: Option<HashMap<Name, (Name, Option<u8>)>>,
}

/// An authorized request.
#[derive(Debug, Clone)]
pub struct AuthorizedRequest {
    /// The route that matches the request.
    pub route: Arc<Route>,
    /// The workspace that the request's API key identifies, if any.
    pub workspace: Option<Name>,
    /// The priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Regions that the request may not leave, of the route and of the workspace; where both
    /// are given, both bind.
    pub homes: [Option<Arc<[Name]>>; 2],
}

impl AuthorizedRequest {
    /// Returns whether the request may go to `region`; a region that is not known is none of
    /// its homes.
    pub fn may_enter(&self, region: Option<&str>) -> bool {
        let is_home = |homes: &Arc<[Name]>| {
            region.is_some_and(|region| homes.iter().any(|it| **it == *region))
        };
        self.homes.iter().flatten().all(is_home)
    }

    /// Returns whether the request may go to the region whose name has the hash `region`; 0,
    /// which stands for no region, is none of its homes.
    pub fn may_enter_hashed(&self, region: u32) -> bool {
        let is_home = |homes: &Arc<[Name]>| homes.iter().any(|it| hash32(it.as_bytes()) == region);
        self.homes.iter().flatten().all(|homes| region != 0 && is_home(homes))
    }

    /// Returns whether the request may not leave certain regions.
    pub fn has_homes(&self) -> bool {
        self.homes.iter().any(Option::is_some)
    }
}

impl RouteTable {
    /// Indexes `config`.
    pub fn from_config(config: &FleetConfig) -> RouteTable {
        let mut hosts: HashMap<String, HashMap<Name, Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(route.path_prefix.clone(), Arc::new(route.clone()));
        }
        let services = config.services.iter().map(|it| (it.name.clone(), it.clone())).collect();
        let api_keys = config.workspaces.as_ref().map(|workspaces| {
            let mut keys = HashMap::new();
            for workspace in workspaces {
                for key in &workspace.keys {
                    keys.insert(key.clone(), (workspace.name.clone(), workspace.priority));
                }
            }
            keys
        });
        let extension = &config.extension;
        let slow_starts = extension.slow_starts.iter().map(|it| (it.service.clone(), it.clone()));
        RouteTable {
            version: config.version,
            limits: config.limits,
            hosts,
            services,
            slow_starts: slow_starts.collect(),
            route_homes: index_homes(&extension.routes),
            workspace_homes: index_homes(&extension.workspaces),
            api_keys,
        }
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

    /// Returns how the endpoints of a service start, if they start slowly.
    pub fn slow_start(&self, service: &str) -> Option<&SlowStart> {
        self.slow_starts.get(service)
    }

    /// Returns the regions that are homes of all routes of `host` that have some; `None` if none
    /// has any.
    pub fn homes_of_host(&self, host: &str) -> Option<Vec<Name>> {
        let routes = self.hosts.get(&host.to_ascii_lowercase())?.values();
        let mut homes = routes.filter_map(|it| self.route_homes.get(&it.name));
        let first = homes.next()?.to_vec();
        Some(homes.fold(first, |mut common, homes| {
            common.retain(|it| homes.contains(it));
            common
        }))
    }

    /// Returns the route of `host` whose path prefix is the longest that matches
    /// `path`; a port in `host` is ignored.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let prefixes = self.hosts.get(&host)?;
        path.rmatch_indices('/').find_map(|(end, _)| prefixes.get(&path[..=end]))
    }

    /// Finds the route of a request and checks its API key.
    ///
    /// # Errors
    ///
    /// Returns an error if no route matches, or if the route requires an API key
    /// and `key` identifies no workspace.
    pub fn authorize(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<AuthorizedRequest, Denial> {
        let route = self.find_route(host, path).ok_or(Denial::NoRoute)?.clone();
        let owner = match &self.api_keys {
            Some(keys) => key.and_then(|key| keys.get(key)),
            None => None,
        };
        if self.api_keys.is_some() && !route.anonymous && owner.is_none() {
            return Err(Denial::NoWorkspace);
        }
        let workspace = owner.map(|(name, _)| name.clone());
        let priority = owner.and_then(|(_, priority)| *priority).unwrap_or(route.priority);
        let workspace_homes = workspace.as_ref().and_then(|it| self.workspace_homes.get(it));
        let homes = [self.route_homes.get(&route.name).cloned(), workspace_homes.cloned()];
        Ok(AuthorizedRequest { route, workspace, priority, homes })
    }
}

fn index_homes(homes: &[Homes]) -> HashMap<Name, Arc<[Name]>> {
    homes.iter().map(|it| (it.name.clone(), it.regions.clone().into())).collect()
}
