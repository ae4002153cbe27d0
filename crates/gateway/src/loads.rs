//! Requests under way, at this gateway and at the others.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use serde::{Deserialize, Serialize};

use crate::fleet::Slot;

/// Requests that a gateway has at an endpoint, with one prompt prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Load {
    endpoint: u32,
    /// Zero for requests without a prefix.
    prefix: u32,
    requests: u16,
}

/// The requests under way.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    own: HashMap<(u32, u32), u16>,
    endpoints_at_peers: HashMap<u32, u32>,
    prefixes_at_peers: HashMap<u32, u32>,
}

impl Loads {
    /// Returns what this gateway tells the others.
    pub(crate) fn to_told(&self) -> Vec<Load> {
        self.own
            .iter()
            .map(|(&(endpoint, prefix), &requests)| Load { endpoint, prefix, requests })
            .collect()
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
