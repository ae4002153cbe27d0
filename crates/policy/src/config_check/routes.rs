//! Checks of routes and services.

use std::collections::{BTreeSet, HashMap};

use mimosaledge_core::Name;

use crate::{
    config::FleetConfig,
    config_check::{Problem, repeated},
    config_extension::SlowStart,
    route::Route,
};

/// Returns what is wrong with the routes and services of a configuration.
pub(crate) fn problems(config: &FleetConfig) -> Vec<Problem> {
    let services: BTreeSet<&Name> = config.services.iter().map(|it| &it.name).collect();
    let mut problems = names("route", config.routes.iter().map(|it| &it.name));
    problems.extend(hidden(&config.routes));
    for route in &config.routes {
        problems.extend(unmatchable(route));
        problems.extend(targets(route, &services));
        problems.extend(limits(route));
    }
    problems.extend(names("service", config.services.iter().map(|it| &it.name)));
    problems.extend(unused(config));
    problems.extend(config.extension.slow_starts.iter().filter_map(|it| slow_start(config, it)));
    problems
}

/// Returns the names that several items of a kind have.
pub(crate) fn names<'a>(kind: &'static str, names: impl Iterator<Item = &'a Name>) -> Vec<Problem> {
    let to_problem = |name: &Name| Problem::RepeatedName { kind, name: name.clone() };
    repeated(names).into_iter().map(to_problem).collect()
}

/// Returns the routes in place of which a later one is used.
fn hidden(routes: &[Route]) -> Vec<Problem> {
    let mut used: HashMap<(String, &Name), &Route> = HashMap::new();
    let mut problems = Vec::new();
    for route in routes {
        let key = (route.host.to_ascii_lowercase(), &route.path_prefix);
        if let Some(hidden) = used.insert(key, route) {
            let (route, by) = (hidden.name.clone(), route.name.clone());
            problems.push(Problem::HiddenRoute { route, by });
        }
    }
    problems
}

fn unmatchable(route: &Route) -> Option<Problem> {
    let prefix = &route.path_prefix;
    let part = match () {
        () if route.host.is_empty() || route.host.contains([':', '/']) => "host",
        () if !prefix.starts_with('/') || !prefix.ends_with('/') => "path prefix",
        () => return None,
    };
    Some(Problem::UnmatchableRoute { route: route.name.clone(), part })
}

fn targets(route: &Route, services: &BTreeSet<&Name>) -> Vec<Problem> {
    if route.targets.is_empty() {
        return vec![Problem::NoService { route: route.name.clone() }];
    }
    let unknown = route.targets.iter().filter(|it| !services.contains(&it.service));
    unknown
        .map(|it| Problem::UnknownService {
            route: route.name.clone(),
            service: it.service.clone(),
        })
        .collect()
}

fn limits(route: &Route) -> Vec<Problem> {
    let name = || route.name.clone();
    let zeros = [("timeout", route.timeout_ms), ("number of attempts", route.max_attempts.into())];
    let nothing = zeros.into_iter().filter(|(_, value)| *value == 0);
    let mut problems: Vec<Problem> =
        nothing.map(|(limit, _)| Problem::NothingAllowed { route: name(), limit }).collect();
    let goal_ms = route.latency_goal_ms.max(route.gap_goal_ms);
    let timeout_ms = route.timeout_ms;
    if timeout_ms > 0 && timeout_ms < goal_ms {
        problems.push(Problem::TimeoutBelowGoal { route: name(), timeout_ms, goal_ms });
    }
    problems
}

fn unused(config: &FleetConfig) -> Vec<Problem> {
    let targets = config.routes.iter().flat_map(|it| &it.targets);
    let used: BTreeSet<&Name> = targets.map(|it| &it.service).collect();
    let unused = config.services.iter().filter(|it| !used.contains(&it.name));
    unused.map(|it| Problem::UnusedService { service: it.name.clone() }).collect()
}

/// Returns the problem of a service that is sent, while cold, more than it has slots for, by
/// the shortest latency goal of its routes.
fn slow_start(config: &FleetConfig, start: &SlowStart) -> Option<Problem> {
    let slots = config.services.iter().find(|it| it.name == start.service)?.batch_slots?;
    let is_route = |it: &&Route| it.targets.iter().any(|it| it.service == start.service);
    let goal_ms = config.routes.iter().filter(is_route).map(|it| it.latency_goal_ms).min()?;
    let in_flight = start.rate * goal_ms as f64 / 1_000.0;
    let service = start.service.clone();
    (in_flight > f64::from(slots)).then_some(Problem::ColdRateAboveSlots {
        service,
        in_flight,
        slots,
    })
}
