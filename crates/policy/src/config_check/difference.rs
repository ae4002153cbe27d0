//! What a new configuration changes for callers.

use std::{collections::BTreeMap, fmt};

use mimosaledge_core::Name;

use crate::{
    config::FleetConfig,
    route::{Route, Target},
};

/// What differs from the configuration in force, and what that does.
#[derive(Debug, Clone, PartialEq)]
pub enum Difference {
    /// The version is not higher, so that the configuration does not take effect.
    OldVersion {
        /// The version in force.
        current: u64,
        /// The version to be sent.
        new: u64,
    },
    /// Requests of a host and path prefix are no longer served.
    RouteRemoved(Name),
    /// Requests of a host and path prefix are served now.
    RouteAdded(Name),
    /// A route sends requests to other services, or other shares of them.
    TargetsChanged(Name),
    /// A route has another value of a limit or goal.
    LimitChanged {
        /// The route.
        route: Name,
        /// What it is.
        limit: &'static str,
        /// Its value in force.
        current: u64,
        /// Its new value.
        new: u64,
    },
    /// A route's requests may be sent again under other conditions.
    RetryChanged(Name),
    /// Requests with an API key of a workspace are no longer accepted.
    KeysRemoved {
        /// The workspace.
        workspace: Name,
        /// Number of keys.
        count: usize,
    },
    /// API keys identify another workspace.
    KeysMoved {
        /// The workspace that they identified.
        workspace: Name,
        /// Number of keys.
        count: usize,
    },
    /// API keys identify a workspace now.
    KeysAdded {
        /// The workspace.
        workspace: Name,
        /// Number of keys.
        count: usize,
    },
    /// Requests need an API key now.
    KeysRequired,
    /// Requests need no API key any more.
    KeysNotRequired,
}

impl Difference {
    /// Returns whether requests that are served now are not served any more, or the new
    /// configuration does not take effect.
    pub fn is_breaking(&self) -> bool {
        matches!(
            self,
            Difference::OldVersion { .. }
                | Difference::RouteRemoved(_)
                | Difference::KeysRemoved { .. }
                | Difference::KeysRequired
        )
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Difference::OldVersion { current, new } => {
                write!(f, "version {new}: does not take effect, version {current} is in force")
            }
            Difference::RouteRemoved(route) => {
                write!(f, "route {route}: removed, its requests get 404 or another route")
            }
            Difference::RouteAdded(route) => write!(f, "route {route}: added"),
            Difference::TargetsChanged(route) => {
                write!(f, "route {route}: requests go to other services or other shares of them")
            }
            Difference::LimitChanged { route, limit, current, new } => {
                write!(f, "route {route}: {limit} {new}, was {current}")
            }
            Difference::RetryChanged(route) => {
                write!(f, "route {route}: requests are sent again under other conditions")
            }
            Difference::KeysRemoved { workspace, count } => {
                write!(f, "workspace {workspace}: {count} API keys removed, their requests get 401")
            }
            Difference::KeysMoved { workspace, count } => {
                write!(f, "workspace {workspace}: {count} API keys identify another workspace")
            }
            Difference::KeysAdded { workspace, count } => {
                write!(f, "workspace {workspace}: {count} API keys added")
            }
            Difference::KeysRequired => write!(f, "workspaces: requests without API key get 401"),
            Difference::KeysNotRequired => write!(f, "workspaces: requests need no API key"),
        }
    }
}

/// Returns what `new` changes if `current` is in force.
pub fn differences(current: &FleetConfig, new: &FleetConfig) -> Vec<Difference> {
    let mut differences = Vec::new();
    if new.version <= current.version {
        let (current, new) = (current.version, new.version);
        differences.push(Difference::OldVersion { current, new });
    }
    differences.extend(route_differences(current, new));
    differences.extend(key_differences(current, new));
    differences
}

/// Returns the routes that are used, by host and path prefix.
fn by_place(config: &FleetConfig) -> BTreeMap<(String, &Name), &Route> {
    let key = |it: &Route| it.host.to_ascii_lowercase();
    config.routes.iter().map(|it| ((key(it), &it.path_prefix), it)).collect()
}

fn route_differences(current: &FleetConfig, new: &FleetConfig) -> Vec<Difference> {
    let (before, after) = (by_place(current), by_place(new));
    let removed = before.iter().filter(|(place, _)| !after.contains_key(place));
    let mut differences: Vec<Difference> =
        removed.map(|(_, it)| Difference::RouteRemoved(it.name.clone())).collect();
    for (place, route) in &after {
        match before.get(place) {
            Some(before) => differences.extend(changes(before, route)),
            None => differences.push(Difference::RouteAdded(route.name.clone())),
        }
    }
    differences
}

fn changes(before: &Route, after: &Route) -> Vec<Difference> {
    let name = || after.name.clone();
    let limits = [
        ("timeout in ms", before.timeout_ms, after.timeout_ms),
        ("latency goal in ms", before.latency_goal_ms, after.latency_goal_ms),
        ("gap goal in ms", before.gap_goal_ms, after.gap_goal_ms),
        ("priority", before.priority.into(), after.priority.into()),
        ("attempts", before.max_attempts.into(), after.max_attempts.into()),
    ];
    let changed = limits.into_iter().filter(|(_, current, new)| current != new);
    let mut differences: Vec<Difference> = changed
        .map(|(limit, current, new)| Difference::LimitChanged {
            route: name(),
            limit,
            current,
            new,
        })
        .collect();
    if shares(&before.targets) != shares(&after.targets) {
        differences.push(Difference::TargetsChanged(name()));
    }
    if before.retry != after.retry {
        differences.push(Difference::RetryChanged(name()));
    }
    differences
}

/// Returns the share of each service, in parts of a million.
fn shares(targets: &[Target]) -> BTreeMap<&Name, u64> {
    let total: u64 = targets.iter().map(|it| u64::from(it.weight)).sum();
    let share = |it: &Target| u64::from(it.weight) * 1_000_000 / total.max(1);
    targets.iter().map(|it| (&it.service, share(it))).collect()
}

fn key_differences(current: &FleetConfig, new: &FleetConfig) -> Vec<Difference> {
    let required = match (&current.workspaces, &new.workspaces) {
        (None, Some(_)) => Some(Difference::KeysRequired),
        (Some(_), None) => Some(Difference::KeysNotRequired),
        _ => None,
    };
    let mut differences: Vec<Difference> = required.into_iter().collect();
    let (before, after) = (owners(current), owners(new));
    if new.workspaces.is_some() {
        let removed = count(&before, |key, _| !after.contains_key(key));
        differences.extend(
            removed
                .into_iter()
                .map(|(workspace, count)| Difference::KeysRemoved { workspace, count }),
        );
    }
    let moved = count(&before, |key, owner| after.get(key).is_some_and(|it| *it != owner));
    differences.extend(
        moved.into_iter().map(|(workspace, count)| Difference::KeysMoved { workspace, count }),
    );
    let added = count(&after, |key, _| !before.contains_key(key));
    differences.extend(
        added.into_iter().map(|(workspace, count)| Difference::KeysAdded { workspace, count }),
    );
    differences
}

/// Returns the workspace that each API key identifies.
fn owners(config: &FleetConfig) -> BTreeMap<&Name, &Name> {
    let workspaces = config.workspaces.iter().flatten();
    workspaces.flat_map(|it| it.keys.iter().map(move |key| (key, &it.name))).collect()
}

/// Counts the keys that fulfil a condition, by workspace.
fn count(
    owners: &BTreeMap<&Name, &Name>,
    condition: impl Fn(&Name, &Name) -> bool,
) -> BTreeMap<Name, usize> {
    let mut counts = BTreeMap::new();
    for (_, owner) in owners.iter().filter(|(key, owner)| condition(key, owner)) {
        *counts.entry(Name::clone(owner)).or_insert(0) += 1;
    }
    counts
}
