//! Whether a stream whose origin is not recorded may go on at the only build known.
//!
//! That no other gateway names the origin may mean that nobody knows it, or that this
//! gateway is cut off or has stood still, while endpoints of a new build have joined and
//! begun streams elsewhere. The two are told apart by answers to a query and by reads of
//! the endpoint list that were started after the client had resumed the stream: a build
//! that has begun the stream was listed before that.

use std::{collections::HashSet, net::Ipv4Addr};

use mimosaledge_core::Millis;

/// The search for the origin of one stream.
#[derive(Debug)]
pub struct OriginSearch {
    started: Millis,
    /// Gateways that are asked, and have not answered yet.
    unanswered: HashSet<Ipv4Addr>,
    /// Number of gateways that do not know the stream.
    denials: usize,
}

impl OriginSearch {
    /// Starts a search that asks the gateways `asked`.
    pub fn new(asked: &[Ipv4Addr], now: Millis) -> OriginSearch {
        OriginSearch { started: now, unanswered: asked.iter().copied().collect(), denials: 0 }
    }

    /// Records that a gateway has answered that it does not know the stream.
    pub fn record_denial(&mut self, from: Ipv4Addr) {
        self.denials += usize::from(self.unanswered.remove(&from));
    }

    /// Returns the number of gateways that do not know the stream.
    pub fn denials(&self) -> usize {
        self.denials
    }

    /// Returns whether the stream began at a build that is known: most of the gateways
    /// asked know no other one while the list is current, or the list was read completely
    /// by a read that started at `list_read`, after the search.
    pub fn is_of_known_build(&self, is_list_current: bool, list_read: Option<Millis>) -> bool {
        let has_majority = self.denials > self.unanswered.len();
        let is_read_since = list_read.is_some_and(|it| it >= self.started);
        (has_majority && is_list_current) || is_read_since
    }
}
