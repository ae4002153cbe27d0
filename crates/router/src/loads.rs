//! Loads of engines, told quickly between their admission homes.
//!
//! A gate needs the mean load of its pool as it is now. Gossip takes seconds to
//! come round; loads take a round of their own among the few routers that use
//! them, and only while they change.

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
    node::{Cores, Node},
    peer,
};

/// Loads in one datagram.
const MAX_LOADS: usize = 24;
/// Homes told in each round.
const FANOUT: usize = 2;
/// Age from which a load is not passed on, in milliseconds.
const MAX_AGE_MS: u64 = 1_000;

/// The loads that a router knows, and how often it has told them.
#[derive(Debug, Default)]
pub(crate) struct KnownLoads {
    known: BTreeMap<EndpointId, Known>,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    admitted: u32,
    at: Millis,
    told: u32,
}

impl KnownLoads {
    /// Takes in a load observed at `at`; returns whether it is newer than the
    /// one known and differs from it.
    fn observe(&mut self, engine: EndpointId, admitted: u32, at: Millis) -> bool {
        let known = self.known.get(&engine);
        if known.is_some_and(|known| known.at >= at) {
            return false;
        }
        let differs = known.is_none_or(|known| known.admitted != admitted);
        self.known.insert(engine, Known { admitted, at, told: 0 });
        differs
    }

    /// Returns the loads least often told, and counts them as told.
    fn take(&mut self, now: Millis) -> Vec<EngineLoad> {
        let is_young = |it: &Known| now.since(it.at) < MAX_AGE_MS;
        let mut young: Vec<(&EndpointId, &mut Known)> =
            self.known.iter_mut().filter(|(_, it)| is_young(it)).collect();
        young.sort_by_key(|(_, it)| it.told);
        young.truncate(MAX_LOADS);
        let mut loads = Vec::with_capacity(young.len());
        for (&engine, known) in young {
            known.told += 1;
            let age_ms = now.since(known.at) as u32;
            loads.push(EngineLoad { engine, age_ms, admitted: known.admitted });
        }
        loads
    }
}

/// Tells other homes until it is dropped.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        let sent = tell(&node);
        let limits = &node.settings.limits;
        let pause = limits.load_ms.max(sent * 1_000 / limits.gossip_bytes);
        time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Tells a few homes if a load of an own engine has changed; returns the bytes
/// that it took.
fn tell(node: &Node) -> u64 {
    let now = node.now();
    if !observe_own(&mut node.cores.borrow_mut(), now) {
        return 0;
    }
    let mut sent = 0;
    for home in choose_homes(node, now) {
        let loads = node.cores.borrow_mut().loads.take(now);
        sent += peer::send(node, home, &Message::Loads(loads));
    }
    sent
}

/// Notes the loads of the own engines; returns whether any has changed.
fn observe_own(cores: &mut Cores, now: Millis) -> bool {
    let Cores { members, gates, loads, .. } = cores;
    let own = members.own_router();
    let mut changed = false;
    for (&engine, gate) in gates.iter() {
        if members.admission_home(engine.0, now).router == own {
            changed |= loads.observe(engine, gate.load(), now);
        }
    }
    changed
}

/// Picks a few admission homes of engines at random, this router left out.
fn choose_homes(node: &Node, now: Millis) -> Vec<SocketAddr> {
    let cores = node.cores.borrow();
    let engines = cores.endpoints.iter().filter(|(_, it)| it.info.kind == EndpointKind::Engine);
    let homes: BTreeSet<SocketAddr> = engines
        .map(|(id, _)| cores.members.admission_home(id.0, now))
        .filter(|home| home.router != node.own)
        .map(|home| home.peer)
        .collect();
    let salt = node.own.incarnation ^ now.0;
    let shuffle = |it: &SocketAddr| hash64(format!("{salt}/{it}").as_bytes());
    let mut homes: Vec<SocketAddr> = homes.into_iter().collect();
    homes.sort_by_key(shuffle);
    homes.truncate(FANOUT);
    homes
}

/// Takes in a load that another home had let in at `at`; returns whether that
/// changes what this router knows.
pub(crate) fn note(cores: &mut Cores, engine: EndpointId, admitted: u32, at: Millis) -> bool {
    let news = cores.loads.observe(engine, admitted, at);
    if let Some(known) = cores.loads.known.get(&engine)
        && let Some(endpoint) = cores.endpoints.get_mut(engine)
    {
        endpoint.admitted = known.admitted;
    }
    news
}

/// Takes in what another home tells.
pub(crate) fn absorb(node: &Node, loads: &[EngineLoad]) {
    let now = node.now();
    let mut news = false;
    {
        let cores = &mut *node.cores.borrow_mut();
        let own = cores.members.own_router();
        for load in loads {
            // The home itself knows better.
            if cores.members.admission_home(load.engine.0, now).router == own {
                continue;
            }
            let at = now - u64::from(load.age_ms);
            news |= note(cores, load.engine, load.admitted, at);
        }
    }
    if news {
        admission::settle_all(node);
    }
}
