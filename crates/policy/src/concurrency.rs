//! Requests in flight at endpoints that crash when they have to refuse too many.
//!
//! The gateway that issues the permits of such an endpoint admits no more requests than the
//! endpoint runs at a time, so that none has to wait or be refused there. Each permit is
//! returned when its request ends, or lapses at the request's deadline. If the endpoint refuses
//! requests all the same, no more are admitted for a while.

use std::{
    collections::{HashMap, VecDeque},
    net::Ipv4Addr,
};

use mimosaledge_core::Millis;

use crate::permits::Decision;

/// Time in which refusals count together, in milliseconds.
const REFUSAL_WINDOW_MS: u64 = 1_000;
/// Share of the refusals that an endpoint stands after which no requests are admitted; the
/// rest is left for requests that are on their way.
const REFUSAL_SHARE: f64 = 0.5;
/// Time after which a request that was not admitted may be again, in milliseconds.
const RETRY_MS: u64 = 20;

/// A permit for one request in flight: the gateway that holds it, and its number there.
pub type Holder = (Ipv4Addr, u32);

/// What an endpoint bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Requests that it can refuse in a second.
    pub max_refusals: u32,
}

#[derive(Debug, Default)]
struct InFlight {
    /// When each permit lapses.
    permits: HashMap<Holder, Millis>,
    refusals: VecDeque<Millis>,
}

impl InFlight {
    fn remove_expired(&mut self, now: Millis) {
        self.permits.retain(|_, lapses| now < *lapses);
        while self.refusals.front().is_some_and(|at| now.since(*at) >= REFUSAL_WINDOW_MS) {
            self.refusals.pop_front();
        }
    }
}

/// Requests in flight at the endpoints whose permits one gateway issues.
#[derive(Debug, Default)]
pub struct Concurrency {
    endpoints: HashMap<u64, InFlight>,
}

impl Concurrency {
    /// Admits a request of `holder` to `endpoint` that ends within `ttl_ms`, if there is a slot.
    ///
    /// `issuer_since` is the time from which this gateway issues the endpoint's permits.
    pub fn request(
        &mut self,
        endpoint: u64,
        capacity: Capacity,
        holder: Holder,
        ttl_ms: u64,
        issuer_since: Millis,
        now: Millis,
    ) -> Decision {
        if now < issuer_since {
            return Decision::Denied(issuer_since.since(now));
        }
        let in_flight = self.endpoints.entry(endpoint).or_default();
        in_flight.remove_expired(now);
        let max_refusals = (f64::from(capacity.max_refusals) * REFUSAL_SHARE).max(1.0);
        if in_flight.refusals.len() as f64 >= max_refusals {
            let oldest = in_flight.refusals.front().copied().unwrap_or(now);
            return Decision::Denied((oldest + REFUSAL_WINDOW_MS).since(now));
        }
        if in_flight.permits.len() >= capacity.slots as usize {
            return Decision::Denied(RETRY_MS);
        }
        in_flight.permits.insert(holder, now + ttl_ms);
        Decision::Issued
    }

    /// Takes the permit of `holder` back; `was_refused` says whether the endpoint refused the
    /// request.
    pub fn release(&mut self, endpoint: u64, holder: Holder, was_refused: bool, now: Millis) {
        let Some(in_flight) = self.endpoints.get_mut(&endpoint) else { return };
        in_flight.permits.remove(&holder);
        if was_refused {
            in_flight.refusals.push_back(now);
        }
    }

    /// Forgets the endpoints at which no request is in flight any more.
    pub fn remove_unused(&mut self, now: Millis) {
        self.endpoints.retain(|_, it| {
            it.remove_expired(now);
            !it.permits.is_empty() || !it.refusals.is_empty()
        });
    }
}
