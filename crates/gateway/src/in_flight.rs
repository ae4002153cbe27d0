//! A request in flight at an endpoint.

use std::{cell::RefCell, rc::Rc};

use mimosaledge_core::Millis;

use crate::{endpoint_handle::EndpointHandle, loads::Loads};

/// Counts a request as in flight at an endpoint until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    handle: Rc<EndpointHandle>,
    key: (u32, u32),
    loads: Rc<RefCell<Loads>>,
    started: Millis,
    /// Requests at the endpoint when this one was sent, this one included.
    load: f64,
}

impl InFlight {
    /// Starts counting a request at `handle`.
    pub(crate) fn new(
        handle: Rc<EndpointHandle>,
        prefix: Option<u64>,
        loads: Rc<RefCell<Loads>>,
    ) -> InFlight {
        let key = (handle.node() as u32, prefix.unwrap_or(0) as u32);
        loads.borrow_mut().add_own(key);
        let started = handle.now();
        handle.load.add_request();
        let load = handle.load.in_flight() + loads.borrow().peer_requests(handle.node());
        InFlight { handle, key, loads, started, load: load.into() }
    }

    /// Returns when the request was sent.
    pub(crate) fn started(&self) -> Millis {
        self.started
    }

    /// Returns the number of requests at the endpoint when this one was sent, as far as known.
    pub(crate) fn load(&self) -> f64 {
        self.load
    }

    /// Returns the endpoint.
    pub(crate) fn handle(&self) -> &Rc<EndpointHandle> {
        &self.handle
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.handle.load.remove_request(self.handle.now().since(self.started));
        self.loads.borrow_mut().remove_own(self.key);
    }
}
