//! The table of all listed endpoints, and endpoints as candidates for placement.

use std::{
    cell::Cell,
    collections::{BTreeMap, HashMap},
    net::Ipv4Addr,
    rc::Rc,
};

use mimosaledge_core::{Millis, Name};
use mimosaledge_policy::{
    Endpoint, EndpointGroup, Reach, load::MeanDuration, placement::Candidate, slowness::Slowness,
    unreported::Unreported,
};

use crate::{
    clock::Clock,
    endpoint_handle::{EndpointHandle, node_number},
    load_estimates::LoadEstimates,
    loads::Loads,
    settings::Settings,
    unlisted_handles::UnlistedHandles,
};

/// Returns endpoints of one service, whose loads are `estimates`, as candidates for placement.
pub(crate) fn to_candidates(
    handles: &[Rc<EndpointHandle>],
    settings: &Settings,
    estimates: &LoadEstimates,
    loads: &Loads,
    now: Millis,
) -> Vec<Candidate> {
    let known = estimates.loads.iter().zip(&estimates.slownesses);
    handles
        .iter()
        .zip(known)
        .map(|(it, (load, slowness))| {
            to_candidate(it, *load, *slowness, &settings.data_centre, loads, now)
        })
        .collect()
}

fn to_candidate(
    handle: &EndpointHandle,
    load: f64,
    slowness: Slowness,
    data_centre: &str,
    loads: &Loads,
    now: Millis,
) -> Candidate {
    let tally = handle.tally(now) + loads.peer_outcomes(handle.node());
    Candidate {
        node: handle.node(),
        load,
        is_local: &*handle.endpoint.borrow().data_centre == data_centre,
        failure_rate: tally.failure_rate(),
        refusal_rate: tally.refusal_rate(),
        slowness,
    }
}

/// Estimates the requests that the loads of a service's endpoints do not include yet.
pub(crate) fn estimate_unreported(
    service: &str,
    handles: &[Rc<EndpointHandle>],
    settings: &Settings,
    loads: &Loads,
    now: Millis,
) -> Unreported {
    let age_ms = loads_age_ms(handles, loads, now);
    let remaining_share = match handles.first() {
        Some(first) if settings.policy.age_loads => {
            first.load.mean_duration().remaining_share(age_ms)
        }
        _ => 1.0,
    };
    let own_per_ms = loads.arrivals_per_ms(service, now);
    // A gateway's own few requests say little of those of hundreds, and what endpoints report
    // includes these.
    let shares_room = settings.policy.share_room && !loads.is_sampled();
    let peers = if shares_room { loads.peer_count() } else { 0 };
    Unreported::estimate(own_per_ms, peers, age_ms, remaining_share)
}

/// Returns the mean age of the known loads, in milliseconds: that of the peers' counts, or in
/// a large fleet that of what the endpoints have reported.
fn loads_age_ms(handles: &[Rc<EndpointHandle>], loads: &Loads, now: Millis) -> u64 {
    if !loads.is_sampled() {
        return loads.peer_age_ms(now);
    }
    let ages = handles.iter().filter_map(|it| it.report(now)).map(|it| it.age_ms);
    let recent: Vec<u64> = ages.filter(|it| *it < loads.max_report_age_ms()).collect();
    recent.iter().sum::<u64>() / recent.len().max(1) as u64
}

/// Counts the endpoints that accept requests, and those of them that this gateway reaches.
pub(crate) fn count_reach<'a>(handles: impl Iterator<Item = &'a Rc<EndpointHandle>>) -> Reach {
    let mut reach = Reach::default();
    for handle in handles.filter(|it| it.is_ready()) {
        reach.add(handle.is_reachable(), handle.was_reached());
    }
    reach
}

/// Counts the endpoints of each build of a service, by its key.
fn reach_by_build(handles: &[Rc<EndpointHandle>]) -> BTreeMap<u64, Reach> {
    let mut builds: BTreeMap<u64, Reach> = BTreeMap::new();
    for handle in handles.iter().filter(|it| it.is_ready()) {
        let key = handle.endpoint.borrow().build_key();
        builds.entry(key).or_default().add(handle.is_reachable(), handle.was_reached());
    }
    builds
}

/// The handles of all listed endpoints, with indexes for lookup.
///
/// A handle belongs to an incarnation of an endpoint, not to its entry in the list: if the entry
/// is removed and the same incarnation is listed again, what was known of it still holds.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    handles: HashMap<u64, Rc<EndpointHandle>>,
    /// Incarnations that are not listed any more.
    unlisted: UnlistedHandles,
    /// The handles by the truncated node numbers that heartbeats use, also of those that are
    /// not listed any more.
    by_short_number: HashMap<u32, Rc<EndpointHandle>>,
    by_service: HashMap<Name, Vec<Rc<EndpointHandle>>>,
    /// Mean duration of the requests of each service.
    mean_durations: HashMap<Name, Rc<Cell<MeanDuration>>>,
}

impl EndpointTable {
    /// Updates the table to match the endpoint list; requests in flight at a
    /// removed endpoint continue. New ones are connected to from the address `local`, and
    /// count as unreachable at first if all others of their service are.
    pub(crate) fn update<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a Endpoint>,
        local: Ipv4Addr,
        clock: Clock,
    ) {
        let now = clock.now();
        let is_first = self.handles.is_empty() && self.unlisted.iter().next().is_none();
        let unreached: Vec<Name> =
            self.unreached_groups().into_keys().filter_map(EndpointGroup::into_service).collect();
        let mut previous = std::mem::take(&mut self.handles);
        self.by_service.clear();
        self.by_short_number.clear();
        for endpoint in listed {
            let node = node_number(endpoint);
            let handle = match previous.remove(&node).or_else(|| self.unlisted.take(node, now)) {
                Some(handle) => {
                    *handle.endpoint.borrow_mut() = endpoint.clone();
                    handle
                }
                None => {
                    let mean_duration = self.mean_durations.entry(endpoint.service.clone());
                    let mean_duration = mean_duration.or_default().clone();
                    let new = EndpointHandle::new(endpoint.clone(), local, mean_duration, clock);
                    let new = if is_first { new } else { new.with_unknown_start() };
                    if unreached.contains(&endpoint.service) {
                        new.doubt();
                    }
                    Rc::new(new)
                }
            };
            self.by_service.entry(endpoint.service.clone()).or_default().push(handle.clone());
            self.by_short_number.insert(node as u32, handle.clone());
            self.handles.insert(node, handle);
        }
        self.unlisted.remove_expired(now);
        for handle in previous.into_values() {
            handle.pool.clear();
            self.unlisted.add(handle, now);
        }
        for handle in self.unlisted.iter() {
            self.by_short_number.entry(handle.node() as u32).or_insert_with(|| handle.clone());
        }
    }

    /// Returns the endpoints of a service.
    pub(crate) fn of_service(&self, service: &str) -> &[Rc<EndpointHandle>] {
        self.by_service.get(service).map_or(&[], |it| it.as_slice())
    }

    /// Returns the services of which this gateway has reached no endpoint yet, or none any more.
    pub(crate) fn unproven_services(&self) -> Vec<Name> {
        let is_unproven =
            |it: &&Name| self.reach_of(&EndpointGroup::of_service(Name::clone(it))).is_unproven();
        self.services().filter(is_unproven).cloned().collect()
    }

    /// Iterates over the services that have endpoints.
    pub(crate) fn services(&self) -> impl Iterator<Item = &Name> {
        self.by_service.keys()
    }

    /// Returns the endpoint with this node number.
    pub(crate) fn find(&self, node: u64) -> Option<Rc<EndpointHandle>> {
        self.handles.get(&node).cloned()
    }

    /// Returns the handle of a listed incarnation.
    pub(crate) fn find_listed(&self, endpoint: &Endpoint) -> Option<Rc<EndpointHandle>> {
        self.find(node_number(endpoint))
    }

    /// Returns the endpoint with this truncated node number.
    pub(crate) fn find_short(&self, short_number: u32) -> Option<&EndpointHandle> {
        self.by_short_number.get(&short_number).map(|it| &**it)
    }

    /// Counts the endpoints that accept requests, and those of them that this gateway reaches.
    pub(crate) fn count_ready(&self) -> Reach {
        count_reach(self.handles.values())
    }

    /// Counts those of one group.
    pub(crate) fn reach_of(&self, group: &EndpointGroup) -> Reach {
        count_reach(self.of_service(&group.service).iter().filter(|it| it.is_in(group)))
    }

    /// Returns the groups of which this gateway reaches no endpoint: whole services, and
    /// builds of services that it reaches otherwise.
    pub(crate) fn unreached_groups(&self) -> BTreeMap<EndpointGroup, Reach> {
        let mut unreached = BTreeMap::new();
        for (service, handles) in &self.by_service {
            let whole = EndpointGroup::of_service(service.clone());
            let reach = self.reach_of(&whole);
            if reach.is_cut_off() {
                unreached.insert(whole, reach);
                continue;
            }
            if reach.ready > reach.reachable {
                let builds = reach_by_build(handles).into_iter();
                let lost = builds.filter(|(_, reach)| reach.is_cut_off());
                let to_group =
                    |build| EndpointGroup { service: service.clone(), build: Some(build) };
                unreached.extend(lost.map(|(build, reach)| (to_group(build), reach)));
            }
        }
        unreached
    }

    /// Iterates over all endpoints.
    pub(crate) fn handles(&self) -> impl Iterator<Item = &Rc<EndpointHandle>> {
        self.handles.values()
    }
}
