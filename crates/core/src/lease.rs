//! The leader lease that allows one steward at a time to give orders to engines.
//!
//! Stewards append claims to a stream of the log. A claim takes effect only if
//! it names as its parent the claim that was in effect at its own offset, which
//! makes every claim a compare-and-swap. The fencing token of a lease is the
//! offset of its holder's first claim and therefore grows with every change of
//! holder.
//!
//! Each process measures terms on its own monotonic clock. The holder measures
//! its term from the time before it sent the claim, all others from the time at
//! which they read it, so the holder stops before a successor starts.

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// Term of a lease, in milliseconds.
pub const TERM_MS: u64 = 6_000;
/// Time before the end of its term at which a holder stops giving orders, in
/// milliseconds.
pub const SAFETY_MARGIN_MS: u64 = 1_500;
/// Minimum interval between the claims of one steward, in milliseconds.
pub const RENEW_INTERVAL_MS: u64 = 2_000;

/// A record of the lease stream that acquires or renews the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Incarnation of the claiming steward.
    pub holder: u64,
    /// Sequence number among the claims of that steward.
    pub serial: u64,
    /// Offset of the claim that this one renews or replaces.
    pub parent: Option<u64>,
}

/// The lease in effect according to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ActiveLease {
    /// Incarnation of the holder.
    pub holder: u64,
    /// Fencing token: offset of the first of the holder's consecutive claims.
    pub fencing_token: u64,
    /// Offset of the holder's latest claim.
    pub offset: u64,
    /// Time at which this process read the latest claim.
    pub read_at: Millis,
}

/// The next action of a steward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Append this claim.
    Append(Claim),
    /// Do nothing for now.
    Wait,
}

/// One steward's view of the lease.
#[derive(Debug)]
pub struct Lease {
    own: u64,
    serial: u64,
    active: Option<ActiveLease>,
    last_sent: Option<(Claim, Millis)>,
    /// Time at which this steward sent its claim that is in effect.
    valid_from: Option<Millis>,
    started_at: Millis,
}

impl Lease {
    /// Creates the view of the steward with incarnation `own`.
    pub fn new(own: u64, now: Millis) -> Lease {
        Lease { own, serial: 0, active: None, last_sent: None, valid_from: None, started_at: now }
    }

    /// Applies the claim read from the log at `offset`.
    ///
    /// Claims that do not name the claim in effect as their parent are ignored,
    /// and so are claims that were applied before.
    pub fn apply_claim(&mut self, offset: u64, claim: Claim, now: Millis) {
        let current = self.active.map(|lease| lease.offset);
        // The first claim read is accepted with any parent, since the records
        // before it may have expired from the log.
        let follows = current.is_none() || claim.parent == current;
        if !follows || current.is_some_and(|current| offset <= current) {
            return;
        }
        let renewed = self.active.filter(|lease| lease.holder == claim.holder);
        let fencing_token = renewed.map_or(offset, |lease| lease.fencing_token);
        self.active =
            Some(ActiveLease { holder: claim.holder, fencing_token, offset, read_at: now });
        self.update_validity(claim);
    }

    fn update_validity(&mut self, claim: Claim) {
        if claim.holder != self.own {
            self.valid_from = None;
        } else if let Some((_, at)) = self.last_sent.filter(|(sent, _)| *sent == claim) {
            self.valid_from = Some(at);
        }
    }

    /// Returns the fencing token if this steward may give orders now.
    pub fn fencing_token(&self, now: Millis) -> Option<u64> {
        let lease = self.active.filter(|lease| lease.holder == self.own)?;
        let valid = now.since(self.valid_from?) + SAFETY_MARGIN_MS < TERM_MS;
        valid.then_some(lease.fencing_token)
    }

    /// Returns the lease in effect after the last applied claim.
    pub fn active(&self) -> Option<ActiveLease> {
        self.active
    }

    /// Returns a claim to append if it is time to acquire or renew the lease.
    pub fn tick(&mut self, now: Millis) -> Action {
        let since_sent = self.last_sent.map_or(u64::MAX, |(_, at)| now.since(at));
        if since_sent < RENEW_INTERVAL_MS || !self.may_claim(now) {
            return Action::Wait;
        }
        self.serial += 1;
        let parent = self.active.map(|lease| lease.offset);
        let claim = Claim { holder: self.own, serial: self.serial, parent };
        self.last_sent = Some((claim, now));
        Action::Append(claim)
    }

    fn may_claim(&self, now: Millis) -> bool {
        match self.active {
            // The claims of a holder that is still active may have expired from
            // the log, so wait for a full term after startup.
            None => now.since(self.started_at) >= TERM_MS,
            Some(lease) if lease.holder == self.own && self.fencing_token(now).is_some() => true,
            Some(lease) => now.since(lease.read_at) >= TERM_MS,
        }
    }
}
