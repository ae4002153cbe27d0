//! Checks of workspaces.

use std::collections::HashMap;

use mimosaledge_core::Name;

use crate::{
    config::{FleetConfig, Workspace},
    config_check::{Problem, repeated, routes::names},
    config_extension::Homes,
};

/// Returns what is wrong with the workspaces of a configuration.
pub(crate) fn problems(config: &FleetConfig) -> Vec<Problem> {
    let workspaces = config.workspaces.as_deref().unwrap_or_default();
    let mut problems = names("workspace", workspaces.iter().map(|it| &it.name));
    problems.extend(workspaces.iter().flat_map(keys));
    problems.extend(shared_keys(workspaces));
    for route in &config.extension.routes {
        let strangers = config.extension.workspaces.iter().filter(|it| !share_region(route, it));
        problems.extend(strangers.map(|it| Problem::NoCommonHome {
            route: route.name.clone(),
            workspace: it.name.clone(),
        }));
    }
    problems
}

fn keys(workspace: &Workspace) -> Option<Problem> {
    let workspace_name = workspace.name.clone();
    if workspace.keys.is_empty() {
        return Some(Problem::NoKey { workspace: workspace_name });
    }
    let is_repeated = !repeated(workspace.keys.iter()).is_empty();
    is_repeated.then_some(Problem::RepeatedKey { workspace: workspace_name })
}

/// Returns the workspaces that lose a key to a later one.
fn shared_keys(workspaces: &[Workspace]) -> Vec<Problem> {
    let mut owners: HashMap<&Name, &Name> = HashMap::new();
    let mut problems = Vec::new();
    for workspace in workspaces {
        for key in &workspace.keys {
            let before = owners.insert(key, &workspace.name);
            if let Some(loser) = before.filter(|it| **it != workspace.name) {
                let (workspace, by) = (loser.clone(), workspace.name.clone());
                problems.push(Problem::SharedKey { workspace, by });
            }
        }
    }
    problems
}

fn share_region(one: &Homes, other: &Homes) -> bool {
    one.regions.iter().any(|it| other.regions.contains(it))
}
