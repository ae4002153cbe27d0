use std::{
    collections::{BTreeMap, HashSet},
    rc::Rc,
};

use super::{Endpoint, EndpointId, EndpointInfo, EndpointKind};
use crate::chart::{Chart, Result};

/// The endpoints known to a router, by identifier.
#[derive(Debug)]
pub struct Endpoints {
    chart: Rc<Chart>,
    table: BTreeMap<EndpointId, Endpoint>,
}

impl Endpoints {
    /// Creates an empty table.
    ///
    /// # Errors
    ///
    /// Returns an error if the embedded health chart is invalid.
    pub fn new() -> Result<Endpoints> {
        let chart = Rc::new(Chart::from_yaml(include_str!("../../charts/endpoint.yaml"))?);
        Ok(Endpoints { chart, table: BTreeMap::new() })
    }

    /// Replaces the set of endpoints by those in the VM list.
    ///
    /// Endpoints that remain listed keep their state. `leaving` holds the
    /// endpoints that the list marks as shutting down.
    pub fn apply_vm_list(&mut self, infos: Vec<EndpointInfo>, leaving: &HashSet<EndpointId>) {
        let listed: HashSet<EndpointId> =
            infos.iter().map(|info| EndpointId::from_name(&info.name)).collect();
        self.table.retain(|id, _| listed.contains(id));
        for info in infos {
            let id = EndpointId::from_name(&info.name);
            let chart = &self.chart;
            let endpoint = self
                .table
                .entry(id)
                .and_modify(|known| known.info = info.clone())
                .or_insert_with(|| Endpoint::new(info.clone(), chart.start()));
            if leaving.contains(&id) {
                let incarnation = endpoint.report.incarnation;
                endpoint.record_leave_notice(incarnation);
            }
        }
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns the endpoint with identifier `id`.
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.table.get(&id)
    }

    /// Returns a mutable reference to the endpoint with identifier `id`.
    pub fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.table.get_mut(&id)
    }

    /// Iterates over all endpoints in order of identifier.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        self.table.iter().map(|(&id, endpoint)| (id, endpoint))
    }

    /// Iterates over the services that may receive new requests.
    pub fn live_services(&self) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        self.live(EndpointKind::Service)
    }

    /// Iterates over the engines that may receive new requests and serve the model
    /// with hash `model`.
    pub fn live_engines(&self, model: u32) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        self.live(EndpointKind::Engine).filter(move |(_, engine)| engine.report.model == model)
    }

    fn live(&self, kind: EndpointKind) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        self.iter().filter(move |(_, it)| it.info.kind == kind && it.is_live())
    }
}
