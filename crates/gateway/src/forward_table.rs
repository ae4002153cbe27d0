//! Connections to other gateways for requests that are handed over.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4},
    rc::Rc,
};

use mimosaledge_core::{Millis, Name};

use crate::{gateway::Gateway, pool::Pool};

/// Connections to other gateways, and services that they reach no endpoint of either.
#[derive(Debug, Default)]
pub(crate) struct ForwardTable {
    pools: HashMap<Ipv4Addr, Rc<Pool>>,
    /// Time before which requests to a service are not handed over.
    paused_until: HashMap<Name, Millis>,
}

impl ForwardTable {
    /// Returns the pool of connections to a gateway.
    pub(crate) fn pool(&mut self, gateway: &Gateway, peer: Ipv4Addr) -> Rc<Pool> {
        let new = || {
            let address = SocketAddrV4::new(peer, gateway.settings.listen.forward);
            Rc::new(Pool::new(address, gateway.clock).with_local(gateway.settings.address))
        };
        self.pools.entry(peer).or_insert_with(new).clone()
    }

    /// Hands no requests to `service` over until `time`.
    pub(crate) fn pause(&mut self, service: &Name, time: Millis) {
        self.paused_until.insert(service.clone(), time);
    }

    /// Returns whether requests to `service` are not handed over.
    pub(crate) fn is_paused(&self, service: &str, now: Millis) -> bool {
        self.paused_until.get(service).is_some_and(|it| now < *it)
    }

    /// Closes connections that have been idle for too long, and forgets the gateways that
    /// have none left.
    pub(crate) fn close_expired(&mut self) {
        self.pools.retain(|_, pool| {
            pool.close_expired();
            !pool.is_empty() || Rc::strong_count(pool) > 1
        });
    }
}
