//! The recent requests of workspaces to one service, at one gateway.

use std::{cmp::Reverse, collections::HashMap};

use mimosaledge_core::Millis;

use crate::fair_share::{PRIORITIES, Usage};

/// Time constant with which requests are forgotten, in milliseconds.
pub const TIME_CONSTANT_MS: f64 = 700.0;
/// Maximum number of workspaces that are told apart; the others count in the total only.
const MAX_WORKSPACES: usize = 2_048;
/// Count below which a workspace is forgotten.
const MIN_COUNT: f64 = 0.05;

/// Counts that decrease with time.
#[derive(Debug, Clone, Copy, Default)]
struct Decaying {
    usage: Usage,
    updated: Millis,
}

impl Decaying {
    fn at(&self, now: Millis) -> Usage {
        let factor = (-(now.since(self.updated) as f64) / TIME_CONSTANT_MS).exp();
        let Usage { arrived, admitted } = self.usage;
        Usage { arrived: arrived * factor, admitted: admitted * factor }
    }

    fn add(&mut self, usage: Usage, now: Millis) {
        self.usage = self.at(now);
        self.usage += usage;
        self.updated = now;
    }
}

/// Recent requests, in total and by workspace.
#[derive(Debug, Default)]
pub struct UsageTable {
    total: Decaying,
    priorities: [Decaying; PRIORITIES],
    /// Requests that endpoints have completed.
    completed: Decaying,
    /// Requests that were refused before.
    returned: Decaying,
    workspaces: HashMap<u32, Decaying>,
}

impl UsageTable {
    /// Records a request of the workspace with this hash.
    pub fn record(&mut self, workspace: u32, priority: u8, is_admitted: bool, now: Millis) {
        let usage = Usage { arrived: 1.0, admitted: if is_admitted { 1.0 } else { 0.0 } };
        self.total.add(usage, now);
        self.priorities[usize::from(priority).min(PRIORITIES - 1)].add(usage, now);
        if self.workspaces.len() < MAX_WORKSPACES || self.workspaces.contains_key(&workspace) {
            self.workspaces.entry(workspace).or_default().add(usage, now);
        }
    }

    /// Records that a request was refused before.
    pub fn record_return(&mut self, now: Millis) {
        self.returned.add(Usage { arrived: 1.0, admitted: 0.0 }, now);
    }

    /// Returns the requests that were refused before.
    pub fn returned(&self, now: Millis) -> f64 {
        self.returned.at(now).arrived
    }

    /// Records a request that an endpoint has completed.
    pub fn record_completion(&mut self, now: Millis) {
        self.completed.add(Usage { arrived: 1.0, admitted: 1.0 }, now);
    }

    /// Returns the requests that endpoints have completed.
    pub fn completed(&self, now: Millis) -> f64 {
        self.completed.at(now).admitted
    }

    /// Returns the requests of all workspaces.
    pub fn total(&self, now: Millis) -> Usage {
        self.total.at(now)
    }

    /// Returns the requests that arrived, by priority.
    pub fn priorities(&self, now: Millis) -> [f64; PRIORITIES] {
        self.priorities.map(|it| it.at(now).arrived)
    }

    /// Returns the requests of each workspace.
    pub fn workspaces(&self, now: Millis) -> impl Iterator<Item = (u32, Usage)> {
        self.workspaces.iter().map(move |(workspace, it)| (*workspace, it.at(now)))
    }

    /// Returns the `count` workspaces with most requests, most first.
    pub fn top(&self, count: usize, now: Millis) -> Vec<(u32, Usage)> {
        let mut all: Vec<(u32, Usage)> = self.workspaces(now).collect();
        all.sort_unstable_by_key(|(workspace, it)| (Reverse(it.arrived.to_bits()), *workspace));
        all.truncate(count);
        all
    }

    /// Forgets the workspaces that have sent nothing for a while.
    pub fn remove_idle(&mut self, now: Millis) {
        self.workspaces.retain(|_, it| it.at(now).arrived >= MIN_COUNT);
    }
}
