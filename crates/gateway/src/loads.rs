//! Requests under way, at this gateway and at the others.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use mimosaledge_policy::health::Tally;
use serde::{Deserialize, Serialize};

use crate::fleet::Slot;

/// Unit in which outcomes are told.
const TENTHS: f64 = 10.0;

/// Age up to which the load that an endpoint told is used beside the sums of
/// what gateways have there, in milliseconds.
const REPORT_MS: u64 = 300;
/// Age up to which it is used where there are no such sums, in milliseconds.
const SAMPLE_MS: u64 = 4_000;
/// Stands for all endpoints together.
const ANY_ENDPOINT: u32 = 0;

/// Requests that a gateway has at an endpoint, with one prompt prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Load {
    endpoint: u32,
    /// Zero for requests without a prefix.
    prefix: u32,
    requests: u16,
}

/// The load that an endpoint told a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Sample {
    endpoint: u32,
    load: u16,
    age_ms: u16,
}

impl Sample {
    /// Makes a sample of the load that the endpoint `node` told `age_ms` ago.
    pub(crate) fn new(node: u64, load: u32, age_ms: u64) -> Sample {
        let short = |it: u64| it.min(u64::from(u16::MAX)) as u16;
        Sample { endpoint: node as u32, load: short(load.into()), age_ms: short(age_ms) }
    }

    /// Returns the short number of the endpoint.
    pub(crate) fn endpoint(&self) -> u32 {
        self.endpoint
    }

    /// Returns the requests that the endpoint had.
    pub(crate) fn load(&self) -> u32 {
        self.load.into()
    }

    /// Returns how long ago that was, in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        self.age_ms.into()
    }
}

/// Outcomes that a gateway has seen at an endpoint, in tenths of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Outcomes {
    endpoint: u32,
    good: u16,
    bad: u16,
}

impl Outcomes {
    /// Makes what is told of an endpoint, if any request failed there.
    pub(crate) fn from_tally(node: u64, tally: Tally) -> Option<Outcomes> {
        let tenths = |count: f64| (count * TENTHS).min(f64::from(u16::MAX)) as u16;
        let bad = tenths(tally.failures);
        (bad > 0).then(|| Outcomes { endpoint: node as u32, good: tenths(tally.successes), bad })
    }

    /// Returns the failures, in tenths.
    pub(crate) fn bad(&self) -> u16 {
        self.bad
    }

    fn to_tally(self) -> Tally {
        Tally { successes: f64::from(self.good) / TENTHS, failures: f64::from(self.bad) / TENTHS }
    }
}

/// The requests under way, and how the latest ended at other gateways.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    own: HashMap<(u32, u32), u16>,
    endpoints_at_peers: HashMap<u32, u32>,
    prefixes_at_peers: HashMap<u32, u32>,
    outcomes_at_peers: HashMap<u32, Tally>,
    is_sampled: bool,
}

impl Loads {
    /// Returns what this gateway tells the others.
    pub(crate) fn to_told(&self) -> Vec<Load> {
        self.own
            .iter()
            .map(|(&(endpoint, prefix), &requests)| Load { endpoint, prefix, requests })
            .collect()
    }

    /// Returns the prefixes that several requests of this gateway share.
    pub(crate) fn to_hot(&self) -> Vec<Load> {
        let mut prefixes: HashMap<u32, u16> = HashMap::new();
        for (&(_, prefix), requests) in self.own.iter().filter(|(key, _)| key.1 != 0) {
            *prefixes.entry(prefix).or_insert(0) += requests;
        }
        let hot = prefixes.into_iter().filter(|(_, requests)| *requests > 1);
        hot.map(|(prefix, requests)| Load { endpoint: ANY_ENDPOINT, prefix, requests }).collect()
    }

    /// Sets whether loads are those that endpoints tell, as in a large fleet,
    /// and not the sums of what gateways have there.
    pub(crate) fn set_sampled(&mut self, is_sampled: bool) {
        self.is_sampled = is_sampled;
    }

    /// Returns the age up to which a load that an endpoint told is used, in
    /// milliseconds.
    pub(crate) fn max_report_age(&self) -> u64 {
        if self.is_sampled { SAMPLE_MS } else { REPORT_MS }
    }

    /// Replaces what the others have told.
    pub(crate) fn set_at_peers<'a>(&mut self, told: impl Iterator<Item = &'a Load>) {
        self.endpoints_at_peers.clear();
        self.prefixes_at_peers.clear();
        for load in told {
            let requests = u32::from(load.requests);
            *self.endpoints_at_peers.entry(load.endpoint).or_insert(0) += requests;
            if load.prefix != 0 {
                *self.prefixes_at_peers.entry(load.prefix).or_insert(0) += requests;
            }
        }
    }

    /// Replaces the outcomes that the others have told.
    pub(crate) fn set_outcomes<'a>(&mut self, told: impl Iterator<Item = &'a Outcomes>) {
        self.outcomes_at_peers.clear();
        for outcomes in told {
            let tally = self.outcomes_at_peers.entry(outcomes.endpoint).or_default();
            *tally = *tally + outcomes.to_tally();
        }
    }

    /// Returns the outcomes that other gateways have seen at an endpoint.
    pub(crate) fn outcomes(&self, node: u64) -> Tally {
        self.outcomes_at_peers.get(&(node as u32)).copied().unwrap_or_default()
    }

    /// Returns the requests that other gateways have at an endpoint.
    pub(crate) fn at_peers(&self, node: u64) -> u32 {
        self.endpoints_at_peers.get(&(node as u32)).copied().unwrap_or(0)
    }

    /// Returns the requests with a prefix at all gateways.
    pub(crate) fn with_prefix(&self, prefix: u64) -> u32 {
        let short = prefix as u32;
        let own: u32 =
            self.own.iter().filter(|(key, _)| key.1 == short).map(|(_, it)| u32::from(*it)).sum();
        own + self.prefixes_at_peers.get(&short).copied().unwrap_or(0)
    }
}

/// Counts a request at an endpoint until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    slot: Rc<Slot>,
    key: (u32, u32),
    loads: Rc<RefCell<Loads>>,
}

impl InFlight {
    /// Counts a request at `slot`.
    pub(crate) fn enter(
        slot: Rc<Slot>,
        prefix: Option<u64>,
        loads: Rc<RefCell<Loads>>,
    ) -> InFlight {
        let key = (slot.node() as u32, prefix.unwrap_or(0) as u32);
        *loads.borrow_mut().own.entry(key).or_insert(0) += 1;
        slot.enter();
        InFlight { slot, key, loads }
    }

    /// Returns the endpoint.
    pub(crate) fn slot(&self) -> &Rc<Slot> {
        &self.slot
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.slot.leave();
        let mut loads = self.loads.borrow_mut();
        if let Some(requests) = loads.own.get_mut(&self.key) {
            *requests -= 1;
            if *requests == 0 {
                loads.own.remove(&self.key);
            }
        }
    }
}
