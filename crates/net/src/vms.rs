//! The platform's lagging list of live and leaving VMs.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use mimosaledge_core::name::Name;
use serde::{Deserialize, Serialize};

use crate::{
    Pending,
    error::{Error, Result},
    http::Call,
    meter::Meter,
};

/// HTTP status of a list that has not changed.
const UNCHANGED: u16 = 304;

/// What runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmKind {
    /// A router of the fleet.
    Router,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Unique name.
    pub name: Name,
    /// What runs on it.
    pub kind: VmKind,
    /// HTTP address.
    pub addr: SocketAddr,
    /// Address of the peer port; routers only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
    /// Data centre.
    pub data_centre: Name,
    /// Region of the data centre.
    pub region: Name,
    /// Whether the platform is about to take the VM away.
    #[serde(default)]
    pub leaving: bool,
}

/// A list of VMs that may lag behind the truth.
pub trait VmList {
    /// Returns the list, or `None` if it is as it was at the last call.
    fn changes(&self) -> Pending<'_, Result<Option<Vec<Vm>>>>;
}

/// The VM list over HTTP.
#[derive(Debug)]
pub struct HttpVmList {
    addr: SocketAddr,
    timeout: Duration,
    meter: Meter,
    tag: RefCell<Option<String>>,
}

impl HttpVmList {
    /// Creates a client of the VM list at `addr`.
    pub fn new(addr: SocketAddr, timeout: Duration, meter: Meter) -> HttpVmList {
        HttpVmList { addr, timeout, meter, tag: RefCell::default() }
    }
}

impl VmList for HttpVmList {
    fn changes(&self) -> Pending<'_, Result<Option<Vec<Vm>>>> {
        Box::pin(async move {
            let known = self.tag.borrow().clone();
            let call = Call::get(self.addr, "/vms").timeout(self.timeout).meter(&self.meter);
            let reply = call.known_tag(known).send().await?;
            match reply.status {
                200 => {
                    let vms = serde_json::from_slice(&reply.body).map_err(Error::malformed)?;
                    self.tag.replace(reply.tag);
                    Ok(Some(vms))
                }
                UNCHANGED => Ok(None),
                status => Err(Error::status(status)),
            }
        })
    }
}
