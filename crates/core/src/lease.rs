//! The lease of the one steward that gives orders to engines.
//!
//! Leases are records of a log stream, and the fencing number of a lease is
//! the offset of its record. A claim counts only if it names the lease that
//! was in force at its own offset. Terms are judged by each process on its own
//! monotonic clock: the holder from before it sent the claim, everyone else
//! from when they read it, so a holder stops before a successor starts.

use serde::{Deserialize, Serialize};

use crate::time::Millis;

/// Term of a lease, in milliseconds.
pub const TERM_MS: u64 = 6_000;
/// How long before the end of its term a holder stops giving orders, in
/// milliseconds.
pub const MARGIN_MS: u64 = 1_500;
/// Interval between renewals, in milliseconds.
pub const RENEW_MS: u64 = 2_000;

/// One record of the lease stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Incarnation of the steward that claims.
    pub holder: u64,
    /// Counts the claims of that steward.
    pub serial: u64,
    /// Offset of the lease that the claim renews or replaces.
    pub parent: Option<u64>,
}

/// A lease in force, as read from the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// Incarnation of the holder.
    pub holder: u64,
    /// Offset of the holder's first claim in a row: the fencing number.
    pub fence: u64,
    /// Offset of the latest claim.
    pub offset: u64,
    /// When this process read the latest claim.
    pub read_at: Millis,
}

/// What a steward does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Append this claim.
    Append(Claim),
    /// Do nothing for now.
    Wait,
}

/// The lease as one steward sees it.
#[derive(Debug)]
pub struct Lease {
    own: u64,
    serial: u64,
    held: Option<Held>,
    sent: Option<(Claim, Millis)>,
    valid_from: Option<Millis>,
    started: Millis,
}

impl Lease {
    /// Creates the view of the steward with incarnation `own`.
    pub fn new(own: u64, now: Millis) -> Lease {
        Lease { own, serial: 0, held: None, sent: None, valid_from: None, started: now }
    }

    /// Takes in the claim read at `offset`.
    pub fn read(&mut self, offset: u64, claim: Claim, now: Millis) {
        let current = self.held.map(|held| held.offset);
        // A reader that starts late cannot know the parent of the first claim.
        let known = current.is_none() || claim.parent == current;
        if !known || current.is_some_and(|current| offset <= current) {
            return;
        }
        let renewed = self.held.filter(|held| held.holder == claim.holder);
        let fence = renewed.map_or(offset, |held| held.fence);
        self.held = Some(Held { holder: claim.holder, fence, offset, read_at: now });
        self.confirm(claim);
    }

    fn confirm(&mut self, claim: Claim) {
        if claim.holder != self.own {
            self.valid_from = None;
        } else if let Some((_, at)) = self.sent.filter(|(sent, _)| *sent == claim) {
            self.valid_from = Some(at);
        }
    }

    /// Returns the fencing number if this steward may give an order now.
    pub fn fence(&self, now: Millis) -> Option<u64> {
        let held = self.held.filter(|held| held.holder == self.own)?;
        let valid = now.since(self.valid_from?) + MARGIN_MS < TERM_MS;
        valid.then_some(held.fence)
    }

    /// Returns the lease last read.
    pub fn held(&self) -> Option<Held> {
        self.held
    }

    /// Decides whether to claim or renew.
    pub fn tick(&mut self, now: Millis) -> Action {
        let pause = self.sent.map_or(u64::MAX, |(_, at)| now.since(at));
        if pause < RENEW_MS || !self.may_claim(now) {
            return Action::Wait;
        }
        self.serial += 1;
        let parent = self.held.map(|held| held.offset);
        let claim = Claim { holder: self.own, serial: self.serial, parent };
        self.sent = Some((claim, now));
        Action::Append(claim)
    }

    fn may_claim(&self, now: Millis) -> bool {
        match self.held {
            // A holder whose claims expired from the log may still be at work.
            None => now.since(self.started) >= TERM_MS,
            Some(held) if held.holder == self.own && self.fence(now).is_some() => true,
            Some(held) => now.since(held.read_at) >= TERM_MS,
        }
    }
}
