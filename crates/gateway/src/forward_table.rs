//! Connections to other gateways for requests that are handed over.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4},
    rc::Rc,
};

use mimosaledge_core::Millis;
use mimosaledge_policy::EndpointGroup;

use crate::{clock::Clock, pool::Pool};

/// Connections to other gateways, and those that are not asked for the moment.
#[derive(Debug, Default)]
pub(crate) struct ForwardTable {
    pools: HashMap<Ipv4Addr, Rc<Pool>>,
    /// Time before which a gateway is not asked, for one group of endpoints or for any.
    paused_until: HashMap<(Ipv4Addr, Option<EndpointGroup>), Millis>,
}

impl ForwardTable {
    /// Returns the pool of connections to the gateway `peer`, opened from the address `local`.
    pub(crate) fn pool(&mut self, peer: SocketAddrV4, local: Ipv4Addr, clock: Clock) -> Rc<Pool> {
        let new = || Rc::new(Pool::new(peer, clock).with_local(local));
        self.pools.entry(*peer.ip()).or_insert_with(new).clone()
    }

    /// Hands a gateway no requests for `group`, or none at all, until `time`.
    pub(crate) fn pause(&mut self, peer: Ipv4Addr, group: Option<EndpointGroup>, time: Millis) {
        self.paused_until.insert((peer, group), time);
    }

    /// Returns whether a gateway is handed no requests for `group`.
    pub(crate) fn is_paused(&self, peer: Ipv4Addr, group: &EndpointGroup, now: Millis) -> bool {
        let is_paused = |group| self.paused_until.get(&(peer, group)).is_some_and(|it| now < *it);
        !self.paused_until.is_empty() && (is_paused(None) || is_paused(Some(group.clone())))
    }

    /// Closes connections that have been idle for too long, and forgets the gateways that
    /// have none left.
    pub(crate) fn close_expired(&mut self, now: Millis) {
        self.paused_until.retain(|_, time| now < *time);
        self.pools.retain(|_, pool| {
            pool.close_expired();
            !pool.is_empty() || Rc::strong_count(pool) > 1
        });
    }
}
