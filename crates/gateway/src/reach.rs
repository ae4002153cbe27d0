//! Finds out quickly that this gateway has lost its links to the endpoints of a service.
//!
//! When an endpoint cannot be reached, a few others of its service are tried; if none of these
//! accepts a connection, all are. Requests need not find out about one endpoint after the other.

use std::rc::Rc;

use futures_util::future::join_all;
use mimosaledge_core::{Name, hash::hash64};
use mimosaledge_policy::{EndpointGroup, Reach};
use tokio::task::spawn_local;

use crate::{endpoint_handle::EndpointHandle, gateway::Gateway};

/// Number of endpoints that are tried first.
const SAMPLE_SIZE: usize = 3;
/// Maximum number of further endpoints that are tried before a gateway concludes that it has lost
/// its links, rather than that the endpoints of the sample are down.
const MAX_FURTHER: usize = 24;
/// Minimum interval between two checks, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// Starts a check of the endpoints of a service after one of them could not be reached, unless
/// there was one just before.
pub(crate) fn start_check(gateway: &Rc<Gateway>, service: &Name) {
    let now = gateway.now();
    let mut checked = gateway.reach_checked.borrow_mut();
    if checked.get(service).is_some_and(|at| now.since(*at) < CHECK_INTERVAL_MS) {
        return;
    }
    checked.insert(service.clone(), now);
    let (gateway, service) = (gateway.clone(), service.clone());
    spawn_local(async move { check(&gateway, &service).await });
}

/// Starts the probes that are due of endpoints that are not available, and tries one endpoint of
/// each service of which none has been reached yet.
pub(crate) fn start_probes(gateway: &Gateway) {
    let now = gateway.now();
    let table = gateway.endpoint_table.borrow();
    for handle in table.handles().filter(|it| !it.is_available() && !it.is_evacuated()) {
        let (handle, news) = (handle.clone(), gateway.warmup_news.clone());
        spawn_local(async move {
            if handle.probe(now).await {
                news.add(handle);
            }
        });
    }
    for service in table.unproven_services() {
        let available: Vec<_> =
            table.of_service(&service).iter().filter(|it| it.is_available()).collect();
        // Gateways that start together try different endpoints.
        let salt = hash64(gateway.settings.name.as_bytes()) ^ now.0;
        if let Some(handle) = available.get(salt as usize % available.len().max(1)) {
            let (handle, policy) = ((*handle).clone(), gateway.settings.policy);
            spawn_local(async move { handle.try_once(&policy).await });
        }
    }
}

/// Tries a few endpoints of a service, and all if none of these can be reached; if none can at
/// all, the other services are checked as well.
async fn check(gateway: &Rc<Gateway>, service: &Name) {
    let is_candidate = |it: &EndpointHandle| it.is_available() && it.is_of(service);
    let mut handles = shuffled(gateway, is_candidate);
    if handles.is_empty() {
        return;
    }
    let rest = handles.split_off(SAMPLE_SIZE.min(handles.len()));
    if try_all(gateway, &handles).await > 0 {
        return;
    }
    let reached = try_all(gateway, &rest).await;
    spdlog::info!(
        "reach: service={service} checked={} reached={reached}",
        handles.len() + rest.len()
    );
    if reached == 0 {
        let services: Vec<Name> = gateway.endpoint_table.borrow().services().cloned().collect();
        services.iter().for_each(|it| start_check(gateway, it));
    }
}

/// Logs which services and builds the gateway has lost all endpoints of, or regained one of.
pub(crate) fn log_changes(gateway: &Gateway) {
    let table = gateway.endpoint_table.borrow();
    let unreached = table.unreached_groups();
    let before = gateway.unreached.replace(unreached.clone());
    for (group, reach) in unreached.iter().filter(|(group, _)| !before.contains_key(group)) {
        log_group(gateway, group, *reach);
    }
    for group in before.keys().filter(|group| !unreached.contains_key(group)) {
        log_group(gateway, group, table.reach_of(group));
    }
}

fn log_group(gateway: &Gateway, group: &EndpointGroup, reach: Reach) {
    let builds = gateway.builds.borrow();
    spdlog::info!(
        "reach: service={} build={:?} reachable={} ready={}",
        group.service,
        group.build.and_then(|it| builds.name(&group.service, it)),
        reach.reachable,
        reach.ready
    );
}

/// Returns whether an endpoint that cannot be reached is one of many: no other one of its
/// service accepts a connection either, while another gateway reaches the service.
pub(crate) async fn is_cut_off(gateway: &Gateway, unreachable: &EndpointHandle) -> bool {
    let service = unreachable.endpoint.borrow().service.clone();
    let group = EndpointGroup::of_service(service.clone());
    if gateway.peers.borrow().handover_targets(&group, gateway.now()).next().is_none() {
        return false;
    }
    let is_other = |it: &EndpointHandle| it.is_ready() && it.node() != unreachable.node();
    let mut others = shuffled(gateway, |it| is_other(it) && it.is_of(&service));
    if others.is_empty() {
        others = shuffled(gateway, is_other);
    }
    if others.is_empty() {
        return false;
    }
    let mut further = others.split_off(SAMPLE_SIZE.min(others.len()));
    further.truncate(MAX_FURTHER);
    !any_accepts(&others).await && !any_accepts(&further).await
}

async fn any_accepts(handles: &[Rc<EndpointHandle>]) -> bool {
    let results = join_all(handles.iter().map(|it| it.pool.try_connect())).await;
    results.contains(&true)
}

/// Returns the endpoints that fulfil a condition, in an order that differs each time.
fn shuffled(
    gateway: &Gateway,
    condition: impl Fn(&EndpointHandle) -> bool,
) -> Vec<Rc<EndpointHandle>> {
    let salt = gateway.now().0;
    let table = gateway.endpoint_table.borrow();
    let mut handles: Vec<Rc<EndpointHandle>> =
        table.handles().filter(|it| condition(it)).cloned().collect();
    handles.sort_unstable_by_key(|it| hash64(&(it.node() ^ salt).to_le_bytes()));
    handles
}

/// Tries to connect to all of `handles`, and records those that cannot be reached; returns
/// the number of the others.
async fn try_all(gateway: &Gateway, handles: &[Rc<EndpointHandle>]) -> usize {
    let policy = &gateway.settings.policy;
    let results = join_all(handles.iter().map(|it| it.try_once(policy))).await;
    results.into_iter().filter(|it| *it).count()
}
