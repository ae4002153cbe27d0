//! State of the permits for endpoints that limit what they accept.

use std::{collections::HashMap, net::Ipv4Addr};

use mimosaledge_core::{Millis, Name};
use mimosaledge_policy::{
    concurrency::Concurrency,
    issuers::Issuers,
    permits::{Decision, MeanSize, Permits, RequestSize},
};
use tokio::sync::oneshot;

/// Permits that this gateway issues, and those that it has asked others for.
#[derive(Debug)]
pub(crate) struct PermitTable {
    pub(crate) issuers: Issuers,
    pub(crate) permits: Permits,
    pub(crate) concurrency: Concurrency,
    /// Requests for permits that other gateways have not answered yet, by number.
    pending: HashMap<u32, oneshot::Sender<Decision>>,
    next_number: u32,
    /// Mean size of the requests to each service.
    mean_sizes: HashMap<Name, MeanSize>,
}

impl PermitTable {
    /// Creates the table of the gateway at `own_address`, which starts at `now`.
    pub(crate) fn new(own_address: Ipv4Addr, now: Millis) -> PermitTable {
        PermitTable {
            issuers: Issuers::new(own_address, now),
            permits: Permits::default(),
            concurrency: Concurrency::default(),
            pending: HashMap::new(),
            next_number: 0,
            mean_sizes: HashMap::new(),
        }
    }

    /// Records a request to `service` that generates up to `max_tokens`; returns its size
    /// compared to the others.
    pub(crate) fn record_size(&mut self, service: &Name, max_tokens: Option<u32>) -> RequestSize {
        let Some(tokens) = max_tokens else { return RequestSize::Large };
        self.mean_sizes.entry(service.clone()).or_default().record(tokens)
    }

    /// Registers a request to another gateway; returns its number and the response to come.
    pub(crate) fn add_pending(&mut self) -> (u32, oneshot::Receiver<Decision>) {
        let number = self.next_number();
        let (sender, receiver) = oneshot::channel();
        self.pending.insert(number, sender);
        (number, receiver)
    }

    /// Returns a number for a permit that this gateway asks for.
    pub(crate) fn next_number(&mut self) -> u32 {
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        number
    }

    /// Removes a request that is answered or no longer waited for.
    pub(crate) fn take_pending(&mut self, number: u32) -> Option<oneshot::Sender<Decision>> {
        self.pending.remove(&number)
    }

    /// Removes the requests that nobody waits for any more.
    pub(crate) fn remove_abandoned(&mut self) {
        self.pending.retain(|_, it| !it.is_closed());
    }
}
