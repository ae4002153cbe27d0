//! Checks of a configuration before it is sent to the fleet.
//!
//! Every configuration that can be decoded takes effect, so that one with errors does too:
//! gateways ignore what contradicts itself, and callers notice. These checks tell before.

mod difference;
mod problem;
mod routes;
mod workspaces;

use crate::config::FleetConfig;
pub use crate::config_check::{
    difference::{Difference, differences},
    problem::{Problem, Severity},
};

/// Returns what is wrong with a configuration, in the order of its parts.
pub fn problems(config: &FleetConfig) -> Vec<Problem> {
    let mut problems = routes::problems(config);
    problems.extend(workspaces::problems(config));
    problems
}

/// Returns the items that `items` has already had, in order.
fn repeated<T: Ord + Clone>(items: impl Iterator<Item = T>) -> Vec<T> {
    let mut seen = std::collections::BTreeSet::new();
    items.filter(|it| !seen.insert(it.clone())).collect()
}
