//! Which gateway issues the permits of each endpoint that limits its rate.
//!
//! Every gateway ranks the gateways that it believes to be ready by rendezvous hashing, and
//! asks the first one. Views differ for a while after a gateway has joined or failed. A
//! gateway therefore issues permits only if it is the first one in its own view, and only
//! after it has been for [`TAKEOVER_MS`], in which its predecessor learns of it. It need not
//! wait for a predecessor that has said that it is not ready, since that one has stopped. A
//! gateway that was paused waits again: others may have taken over meanwhile.

use std::{collections::HashMap, net::Ipv4Addr};

use mimosaledge_core::{Millis, hash::rendezvous_score};

use crate::membership::ring_position;

/// Time after which a gateway that has become the issuer issues permits, in milliseconds.
pub const TAKEOVER_MS: u64 = 2_000;

#[derive(Debug, Clone, Copy)]
struct Assignment {
    issuer: Ipv4Addr,
    /// When the issuer may issue its first permit.
    from: Millis,
}

/// The issuers of endpoints, as one gateway sees them.
#[derive(Debug)]
pub struct Issuers {
    own_address: Ipv4Addr,
    /// The gateways that may issue permits, in order.
    gateways: Vec<Ipv4Addr>,
    /// When `gateways` last changed.
    changed_at: Millis,
    /// The issuers of the endpoints that were asked for.
    assignments: HashMap<u64, Assignment>,
}

impl Issuers {
    /// Creates the view of the gateway at `own_address`, which starts at `now` and knows no
    /// other.
    pub fn new(own_address: Ipv4Addr, now: Millis) -> Issuers {
        Issuers { own_address, gateways: Vec::new(), changed_at: now, assignments: HashMap::new() }
    }

    /// Updates the view to the gateways that are ready; `has_resigned` returns whether a
    /// gateway that no longer is has said so itself.
    pub fn update(
        &mut self,
        mut gateways: Vec<Ipv4Addr>,
        has_resigned: impl Fn(Ipv4Addr) -> bool,
        now: Millis,
    ) {
        gateways.sort_unstable();
        if gateways == self.gateways {
            return;
        }
        self.gateways = gateways;
        self.changed_at = now;
        for (endpoint, assignment) in &mut self.assignments {
            let issuer = find_issuer(*endpoint, &self.gateways).unwrap_or(self.own_address);
            if issuer != assignment.issuer {
                let wait_ms = if has_resigned(assignment.issuer) { 0 } else { TAKEOVER_MS };
                *assignment = Assignment { issuer, from: now + wait_ms };
            }
        }
    }

    /// Lets this gateway wait before it issues permits again, after a pause in which others
    /// may have taken over.
    pub fn restart(&mut self, now: Millis) {
        for assignment in self.assignments.values_mut() {
            assignment.from = assignment.from.max(now + TAKEOVER_MS);
        }
        self.changed_at = now;
    }

    /// Returns the gateway to ask for permits of `endpoint`.
    pub fn issuer(&mut self, endpoint: u64) -> Ipv4Addr {
        self.assign(endpoint).issuer
    }

    /// Returns when this gateway may issue its first permit for `endpoint`, or `None` if
    /// another gateway issues them.
    pub fn own_start(&mut self, endpoint: u64) -> Option<Millis> {
        let assignment = self.assign(endpoint);
        (assignment.issuer == self.own_address).then_some(assignment.from)
    }

    /// Forgets the issuers of all endpoints for which `is_limited` returns false.
    pub fn retain(&mut self, is_limited: impl Fn(u64) -> bool) {
        self.assignments.retain(|endpoint, _| is_limited(*endpoint));
    }

    fn assign(&mut self, endpoint: u64) -> Assignment {
        let (gateways, own_address) = (&self.gateways, self.own_address);
        let from = self.changed_at + TAKEOVER_MS;
        *self.assignments.entry(endpoint).or_insert_with(|| {
            let issuer = find_issuer(endpoint, gateways).unwrap_or(own_address);
            Assignment { issuer, from }
        })
    }
}

/// Returns the gateway that comes first for `endpoint`.
fn find_issuer(endpoint: u64, gateways: &[Ipv4Addr]) -> Option<Ipv4Addr> {
    let score = |it: &Ipv4Addr| rendezvous_score(endpoint, ring_position(*it), 1.0);
    gateways.iter().copied().max_by(|a, b| score(a).total_cmp(&score(b)))
}
