//! Exchange of engine loads between admission homes.
//!
//! Admission control compares an engine's load with the mean load of its pool: the
//! engines of the region that serve the same model. Gossip takes seconds to reach
//! all routers, so loads are gossiped separately, only among the admission homes,
//! and only while they change.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use mimosaledge_core::{
    Millis,
    endpoints::{EndpointId, EndpointKind},
    hash::hash64,
};
use mimosaledge_wire::{EngineLoad, Message};
use tokio::time;

use crate::{
    admission,
    node::{Node, RouterState},
    peer,
};

/// Maximum number of loads in a datagram.
const MAX_LOADS_PER_DATAGRAM: usize = 24;
/// Number of homes to which changed loads are sent in each round.
const FANOUT: usize = 2;
/// Age from which a load is no longer sent, in milliseconds.
const MAX_AGE_MS: u64 = 1_000;

/// The newest known load of each engine.
#[derive(Debug, Default)]
pub(crate) struct KnownLoads {
    known: BTreeMap<EndpointId, KnownLoad>,
}

#[derive(Debug, Clone, Copy)]
struct KnownLoad {
    admitted: u32,
    observed_at: Millis,
    times_sent: u32,
}

impl KnownLoads {
    /// Records a load observed at `observed_at`; returns whether it is newer than
    /// the known load and differs from it.
    fn observe(&mut self, engine: EndpointId, admitted: u32, observed_at: Millis) -> bool {
        let known = self.known.get(&engine);
        if known.is_some_and(|known| known.observed_at >= observed_at) {
            return false;
        }
        let differs = known.is_none_or(|known| known.admitted != admitted);
        self.known.insert(engine, KnownLoad { admitted, observed_at, times_sent: 0 });
        differs
    }

    /// Selects the recent loads that were sent least often, and counts them as
    /// sent.
    fn select_for_sending(&mut self, now: Millis) -> Vec<EngineLoad> {
        let is_recent = |it: &KnownLoad| now.since(it.observed_at) < MAX_AGE_MS;
        let mut recent: Vec<(&EndpointId, &mut KnownLoad)> =
            self.known.iter_mut().filter(|(_, it)| is_recent(it)).collect();
        recent.sort_by_key(|(_, it)| it.times_sent);
        recent.truncate(MAX_LOADS_PER_DATAGRAM);
        let mut loads = Vec::with_capacity(recent.len());
        for (&engine, known) in recent {
            known.times_sent += 1;
            let age_ms = now.since(known.observed_at) as u32;
            loads.push(EngineLoad { engine, age_ms, admitted: known.admitted });
        }
        loads
    }
}

/// Sends changed loads to other homes until it is dropped.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        let sent_bytes = send_changes(&node);
        let limits = &node.settings.limits;
        // The pause limits the average rate to `gossip_bytes` per second.
        let pause = limits.load_ms.max(sent_bytes * 1_000 / limits.gossip_bytes);
        time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Sends loads to a few homes if the load of an engine of this home has changed;
/// returns the number of bytes sent.
fn send_changes(node: &Node) -> u64 {
    let now = node.now();
    if !observe_own_engines(&mut node.state.borrow_mut(), now) {
        return 0;
    }
    let mut sent = 0;
    for home in choose_homes(node, now) {
        let loads = node.state.borrow_mut().loads.select_for_sending(now);
        sent += peer::send(node, home, &Message::Loads(loads));
    }
    sent
}

/// Records the loads of the engines whose home is this router; returns whether
/// any has changed.
fn observe_own_engines(state: &mut RouterState, now: Millis) -> bool {
    let RouterState { members, controllers, loads, .. } = state;
    let own = members.own_router();
    let mut changed = false;
    for (&engine, controller) in controllers.iter() {
        if members.admission_home(engine.0, now).router == own {
            changed |= loads.observe(engine, controller.load(), now);
        }
    }
    changed
}

/// Selects up to [`FANOUT`] other admission homes at random.
fn choose_homes(node: &Node, now: Millis) -> Vec<SocketAddr> {
    let state = node.state.borrow();
    let engines = state.endpoints.iter().filter(|(_, it)| it.info.kind == EndpointKind::Engine);
    let homes: BTreeSet<SocketAddr> = engines
        .map(|(id, _)| state.members.admission_home(id.0, now))
        .filter(|home| home.router != node.own)
        .map(|home| home.peer)
        .collect();
    let salt = node.own.incarnation ^ now.0;
    let sort_key = |it: &SocketAddr| hash64(format!("{salt}/{it}").as_bytes());
    let mut homes: Vec<SocketAddr> = homes.into_iter().collect();
    homes.sort_by_key(sort_key);
    homes.truncate(FANOUT);
    homes
}

/// Records a load observed at `observed_at`; returns whether it is newer than the
/// known load and differs from it.
pub(crate) fn record(
    state: &mut RouterState,
    engine: EndpointId,
    admitted: u32,
    observed_at: Millis,
) -> bool {
    let changed = state.loads.observe(engine, admitted, observed_at);
    if let Some(known) = state.loads.known.get(&engine)
        && let Some(endpoint) = state.endpoints.get_mut(engine)
    {
        endpoint.admitted = known.admitted;
    }
    changed
}

/// Handles loads received from another home.
pub(crate) fn handle_loads(node: &Node, loads: &[EngineLoad]) {
    let now = node.now();
    let mut changed = false;
    {
        let state = &mut *node.state.borrow_mut();
        let own = state.members.own_router();
        for load in loads {
            // The home's own controller has the exact load.
            if state.members.admission_home(load.engine.0, now).router == own {
                continue;
            }
            let observed_at = now - u64::from(load.age_ms);
            changed |= record(state, load.engine, load.admitted, observed_at);
        }
    }
    if changed {
        admission::process_all_queues(node);
    }
}
