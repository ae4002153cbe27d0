//! Fair shares of the workspaces in the room of a service that has too little of it.
//!
//! The shares are max-min fair: a workspace that wants no more than an equal part gets all that it
//! wants, and what it leaves is divided among the others. While there is room for all, each gets
//! what it wants. Nothing is kept for a workspace that sends nothing.

use std::collections::HashMap;

/// Requests of all workspaces, weighted by their age, below which nothing follows from them.
const MIN_ARRIVED: f64 = 16.0;
/// Share of requests that may be refused without a lack of room.
const REFUSED_TOLERANCE: f64 = 0.02;
/// Priorities that are told apart; greater values are less urgent and share the last one.
pub const PRIORITIES: usize = 4;
/// Share of the room that each less urgent priority gets if it wants that much.
const LEAST_SHARE: f64 = 0.1;

/// Recent requests to a service; older ones count less.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Requests that arrived.
    pub arrived: f64,
    /// Those of them that were not refused for lack of room.
    pub admitted: f64,
}

impl std::ops::AddAssign for Usage {
    fn add_assign(&mut self, other: Usage) {
        self.arrived += other.arrived;
        self.admitted += other.admitted;
    }
}

/// What the workspaces want of a service and get.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FairShare {
    total: Usage,
    /// The workspaces that are known to want most, by the hash of their names.
    known: HashMap<u32, Usage>,
    /// What each of the other workspaces is assumed to want.
    others: Vec<f64>,
}

impl FairShare {
    /// Creates the shares of the workspaces `known` and of `other_count` more.
    ///
    /// What `known` lacks of `total` is divided among all of them equally: a workspace is told of
    /// only where it is among those with most requests.
    pub fn new(total: Usage, known: HashMap<u32, Usage>, other_count: usize) -> FairShare {
        let known_arrived: f64 = known.values().map(|it| it.arrived).sum();
        let count = known.len() + other_count;
        let part = (total.arrived - known_arrived).max(0.0) / count.max(1) as f64;
        let mut shares = FairShare { total, known, others: vec![part; other_count] };
        let rest = Usage { arrived: part, admitted: part * shares.admitted_share() };
        shares.known.values_mut().for_each(|it| *it += rest);
        shares
    }

    /// Returns whether requests are refused for lack of room.
    pub fn is_contended(&self) -> bool {
        self.total.arrived >= MIN_ARRIVED && self.admitted_share() < 1.0 - REFUSED_TOLERANCE
    }

    /// Returns the requests of all workspaces.
    pub fn total(&self) -> Usage {
        self.total
    }

    /// Returns what is known of a workspace.
    pub fn usage(&self, workspace: u32) -> Usage {
        self.known.get(&workspace).copied().unwrap_or_default()
    }

    /// Returns the probability with which a request of `workspace` is admitted if there is room
    /// for the share `room` of all requests.
    pub fn admission(&self, workspace: u32, room: f64) -> f64 {
        match self.total.arrived >= MIN_ARRIVED {
            true => self.share_of(workspace, self.level(room * self.total.arrived)),
            false => room.min(1.0),
        }
    }

    /// Returns the part of what `workspace` wants that is beyond its share, from 0 to 1; 0 if it
    /// gets less than its share.
    pub fn excess(&self, workspace: u32) -> f64 {
        if !self.is_contended() {
            return 0.0;
        }
        let level = self.level(self.total.admitted);
        match self.usage(workspace).admitted <= level {
            true => 0.0,
            false => 1.0 - self.share_of(workspace, level),
        }
    }

    fn admitted_share(&self) -> f64 {
        self.total.admitted / self.total.arrived.max(f64::MIN_POSITIVE)
    }

    /// Returns the part of what `workspace` wants that is within `level`.
    fn share_of(&self, workspace: u32, level: f64) -> f64 {
        let default = self.others.first().copied().unwrap_or_default();
        let wanted = self.known.get(&workspace).map_or(default, |it| it.arrived);
        if wanted <= level { 1.0 } else { level / wanted }
    }

    /// Returns the number of requests up to which each workspace gets what it wants, so that all
    /// together get `room`.
    fn level(&self, room: f64) -> f64 {
        let known = self.known.values().map(|it| it.arrived);
        let mut wanted: Vec<f64> = known.chain(self.others.iter().copied()).collect();
        wanted.sort_unstable_by(f64::total_cmp);
        let mut left = room;
        let count = wanted.len();
        for (at, wants) in wanted.into_iter().enumerate() {
            let part = left / (count - at) as f64;
            if wants > part {
                return part;
            }
            left -= wants;
        }
        f64::MAX
    }
}

/// Returns the share of the requests of each priority for which there is room, if there is room
/// for `room` requests of the `arrived` ones, the most urgent first.
///
/// What is more urgent goes first, but leaves the others a part of the room.
pub fn share_by_priority(room: f64, arrived: [f64; PRIORITIES]) -> [f64; PRIORITIES] {
    let least = arrived.map(|it| it.min(room * LEAST_SHARE));
    let mut left = room - least.iter().sum::<f64>();
    let mut shares = [1.0; PRIORITIES];
    for (share, (wanted, least)) in shares.iter_mut().zip(arrived.into_iter().zip(least)) {
        let part = (wanted - least).min(left.max(0.0));
        left -= part;
        if wanted > 0.0 {
            *share = (least + part) / wanted;
        }
    }
    shares
}
