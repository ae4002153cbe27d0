//! Sends no requests to the endpoints of evacuated data centres.
//!
//! The operators' records are read with the configuration; heartbeats pass them on to gateways
//! that start or cannot reach the store. Requests that run at an endpoint of such a data centre
//! end there.

use std::{collections::BTreeSet, net::Ipv4Addr, rc::Rc};

use mimosaledge_core::Name;
use mimosaledge_peer::EvacuationSummary;
use mimosaledge_policy::evacuations::{DataCentre, Evacuation, EvacuationList};

use crate::{
    cursor::Read, endpoint_handle::EndpointHandle, gateway::Gateway, store::Record, warmup,
};

/// An evacuated data centre, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EvacuationState {
    /// Name of the data centre, or its number if the name is not known here.
    pub(crate) data_centre: Name,
    /// Time since this gateway learned of the evacuation, in milliseconds.
    pub(crate) age_ms: u64,
    /// Requests of this gateway that still run there.
    pub(crate) requests: u32,
}

/// Applies the records of one read of the configuration's topic.
pub(crate) fn apply_read(gateway: &Gateway, read: &Read) {
    let records: Vec<Evacuation> = read.records.iter().filter_map(to_evacuation).collect();
    let (position, now) = (read.position, gateway.now());
    let mut evacuations = gateway.evacuations.borrow_mut();
    let changes = if read.is_snapshot {
        let in_force = records.iter().filter(|it| it.in_force);
        let data_centres: BTreeSet<DataCentre> = in_force.map(|it| it.data_centre).collect();
        evacuations.apply_list(EvacuationList { position, data_centres }, now)
    } else {
        evacuations.apply_records(&records, position, now)
    };
    drop(evacuations);
    remember_names(gateway, read);
    publish_changes(gateway, &changes, "store");
}

/// Remembers the names of evacuated data centres, since other gateways tell only numbers.
fn remember_names(gateway: &Gateway, read: &Read) {
    let mut names = gateway.evacuation_names.borrow_mut();
    for record in &read.records {
        if let Record::Evacuation { data_centre, in_force: true } = record {
            names.insert(DataCentre::from_name(data_centre), data_centre.clone());
        }
    }
    let evacuations = gateway.evacuations.borrow();
    names.retain(|it, _| evacuations.is_evacuated(*it));
}

fn to_evacuation(record: &Record) -> Option<Evacuation> {
    let Record::Evacuation { data_centre, in_force } = record else { return None };
    let data_centre = DataCentre::from_name(data_centre);
    Some(Evacuation { data_centre, in_force: *in_force })
}

/// Applies the evacuations that the gateway `from` knows.
pub(crate) fn apply_summary(gateway: &Gateway, summary: &EvacuationSummary, from: Ipv4Addr) {
    let data_centres = summary.data_centres.iter().copied().map(DataCentre).collect();
    let list = EvacuationList { position: summary.position, data_centres };
    let changes = gateway.evacuations.borrow_mut().apply_list(list, gateway.now());
    publish_changes(gateway, &changes, &from.to_string());
}

/// Returns the evacuations for other gateways, if there have been any.
pub(crate) fn summary(gateway: &Gateway) -> Option<EvacuationSummary> {
    let list = gateway.evacuations.borrow().to_list()?;
    let data_centres = list.data_centres.into_iter().map(|it| it.0).collect();
    Some(EvacuationSummary { position: list.position, data_centres })
}

/// Puts the list of a restored store in force once it is due.
pub(crate) fn run_maintenance(gateway: &Gateway) {
    let changes = gateway.evacuations.borrow_mut().settle(gateway.now());
    publish_changes(gateway, &changes, "restored store");
}

/// Marks the endpoints of evacuated data centres, also of new ones; returns those that are
/// taken back.
pub(crate) fn mark_endpoints(gateway: &Gateway) -> Vec<Rc<EndpointHandle>> {
    let evacuations = gateway.evacuations.borrow();
    let mut returned = Vec::new();
    for handle in gateway.endpoint_table.borrow().handles() {
        let is_evacuated = evacuations.any() && evacuations.is_evacuated(data_centre_of(handle));
        if handle.set_evacuated(is_evacuated) && !is_evacuated {
            returned.push(handle.clone());
        }
    }
    returned
}

/// Returns the evacuated data centres, with what still runs there.
pub(crate) fn states(gateway: &Gateway) -> Vec<EvacuationState> {
    let now = gateway.now();
    let state = |(data_centre, since)| EvacuationState {
        data_centre: name_of(gateway, data_centre),
        age_ms: now.since(since),
        requests: endpoints_of(gateway, data_centre).iter().map(|it| it.load.in_flight()).sum(),
    };
    gateway.evacuations.borrow().iter().map(state).collect()
}

/// Returns the share of endpoints that are not evacuated, from 0 to 1.
pub(crate) fn share_left(endpoints: &[&Rc<EndpointHandle>]) -> f64 {
    let left = endpoints.iter().filter(|it| !it.is_evacuated()).count();
    left as f64 / endpoints.len().max(1) as f64
}

fn publish_changes(gateway: &Gateway, changes: &[Evacuation], source: &str) {
    if changes.is_empty() {
        return;
    }
    for change in changes {
        log_change(gateway, *change, source);
    }
    // Endpoints that got no requests may have become cold.
    warmup::mark_returned(gateway, mark_endpoints(gateway).into_iter());
}

fn log_change(gateway: &Gateway, change: Evacuation, source: &str) {
    let endpoints = endpoints_of(gateway, change.data_centre);
    spdlog::info!(
        "evacuation: data_centre={} in_force={} position={} source={source:?} endpoints={} \
         requests={}",
        name_of(gateway, change.data_centre),
        change.in_force,
        gateway.evacuations.borrow().position(),
        endpoints.len(),
        endpoints.iter().map(|it| it.load.in_flight()).sum::<u32>()
    );
}

fn endpoints_of(gateway: &Gateway, data_centre: DataCentre) -> Vec<Rc<EndpointHandle>> {
    let table = gateway.endpoint_table.borrow();
    table.handles().filter(|it| data_centre_of(it) == data_centre).cloned().collect()
}

fn data_centre_of(handle: &EndpointHandle) -> DataCentre {
    DataCentre::from_name(&handle.endpoint.borrow().data_centre)
}

/// Returns the name of a data centre, as far as it is known here.
fn name_of(gateway: &Gateway, data_centre: DataCentre) -> Name {
    let is_named = |it: &&Name| DataCentre::from_name(it) == data_centre;
    if let Some(name) = gateway.settings.regions.keys().find(is_named) {
        return name.clone();
    }
    if let Some(name) = gateway.evacuation_names.borrow().get(&data_centre) {
        return name.clone();
    }
    match endpoints_of(gateway, data_centre).first() {
        Some(handle) => handle.endpoint.borrow().data_centre.clone(),
        None => format!("{:08x}", data_centre.0).as_str().into(),
    }
}
