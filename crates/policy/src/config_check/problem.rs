//! What can be wrong with a configuration.

use std::fmt;

use mimosaledge_core::Name;

/// How bad a problem is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Requests are served, but a part has no effect or contradicts another one.
    Warning,
    /// Requests cannot be served.
    Error,
}

/// Something that is wrong with a configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum Problem {
    /// Two routes, services or workspaces have this name.
    RepeatedName {
        /// What they are.
        kind: &'static str,
        /// Their name.
        name: Name,
    },
    /// Another route has the same host and path prefix, and is used in place of this one.
    HiddenRoute {
        /// The route that is never used.
        route: Name,
        /// The route that is used.
        by: Name,
    },
    /// The host or the path prefix of a route is one that no request has.
    UnmatchableRoute {
        /// The route.
        route: Name,
        /// What no request has.
        part: &'static str,
    },
    /// A route has no target, or none that is a service.
    NoService {
        /// The route.
        route: Name,
    },
    /// A route sends requests to a service that is not in the configuration.
    UnknownService {
        /// The route.
        route: Name,
        /// The missing service.
        service: Name,
    },
    /// No route sends requests to a service.
    UnusedService {
        /// The service.
        service: Name,
    },
    /// A route leaves a request no time, or no endpoint.
    NothingAllowed {
        /// The route.
        route: Name,
        /// The limit that is 0.
        limit: &'static str,
    },
    /// A route gives up requests before a goal is missed.
    TimeoutBelowGoal {
        /// The route.
        route: Name,
        /// The timeout, in milliseconds.
        timeout_ms: u64,
        /// The goal, in milliseconds.
        goal_ms: u64,
    },
    /// Cold endpoints of a service are sent more requests than they run at once.
    ColdRateAboveSlots {
        /// The service.
        service: Name,
        /// Requests in flight at a cold endpoint, if each takes its latency goal.
        in_flight: f64,
        /// Requests that it runs at once.
        slots: u32,
    },
    /// An API key belongs to two workspaces; only the later one is recognized.
    SharedKey {
        /// The workspace that loses the key.
        workspace: Name,
        /// The workspace that the key identifies.
        by: Name,
    },
    /// A workspace names an API key twice.
    RepeatedKey {
        /// The workspace.
        workspace: Name,
    },
    /// A workspace has no API key, so that no request is its own.
    NoKey {
        /// The workspace.
        workspace: Name,
    },
    /// The homes of a route and of a workspace share no region.
    NoCommonHome {
        /// The route.
        route: Name,
        /// The workspace.
        workspace: Name,
    },
}

impl Problem {
    /// Returns how bad the problem is.
    pub fn severity(&self) -> Severity {
        match self {
            Problem::RepeatedName { .. }
            | Problem::HiddenRoute { .. }
            | Problem::UnmatchableRoute { .. }
            | Problem::NoService { .. }
            | Problem::UnknownService { .. }
            | Problem::NothingAllowed { .. }
            | Problem::SharedKey { .. } => Severity::Error,
            Problem::UnusedService { .. }
            | Problem::TimeoutBelowGoal { .. }
            | Problem::ColdRateAboveSlots { .. }
            | Problem::RepeatedKey { .. }
            | Problem::NoKey { .. }
            | Problem::NoCommonHome { .. } => Severity::Warning,
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::RepeatedName { kind, name } => write!(f, "{kind} {name}: name is repeated"),
            Problem::HiddenRoute { route, by } => {
                write!(f, "route {route}: never matches, route {by} has its host and path prefix")
            }
            Problem::UnmatchableRoute { route, part } => {
                write!(f, "route {route}: never matches, no request has its {part}")
            }
            Problem::NoService { route } => write!(f, "route {route}: no service"),
            Problem::UnknownService { route, service } => {
                write!(f, "route {route}: service {service} is not configured")
            }
            Problem::UnusedService { service } => write!(f, "service {service}: no route uses it"),
            Problem::NothingAllowed { route, limit } => write!(f, "route {route}: {limit} is 0"),
            Problem::TimeoutBelowGoal { route, timeout_ms, goal_ms } => {
                write!(
                    f,
                    "route {route}: timeout of {timeout_ms} ms is below a goal of {goal_ms} ms"
                )
            }
            Problem::ColdRateAboveSlots { service, in_flight, slots } => write!(
                f,
                "service {service}: cold endpoints get {in_flight:.1} requests at once, and have \
                 {slots} slots"
            ),
            Problem::SharedKey { workspace, by } => {
                write!(f, "workspace {workspace}: an API key identifies workspace {by} instead")
            }
            Problem::RepeatedKey { workspace } => {
                write!(f, "workspace {workspace}: an API key is repeated")
            }
            Problem::NoKey { workspace } => write!(f, "workspace {workspace}: no API key"),
            Problem::NoCommonHome { route, workspace } => write!(
                f,
                "workspace {workspace}: requests to route {route} have no region that both allow"
            ),
        }
    }
}
