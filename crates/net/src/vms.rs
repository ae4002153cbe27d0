//! Client of the platform's VM list, which is eventually consistent.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use mimosaledge_core::name::Name;
use serde::{Deserialize, Serialize};

use crate::{
    LocalBoxFuture,
    error::{Error, Result},
    http::Call,
    meter::Meter,
};

/// HTTP status 304 Not Modified.
const NOT_MODIFIED: u16 = 304;

/// The kind of process that runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmKind {
    /// A router of the fleet.
    Router,
    /// A model server, which batches prompts.
    Engine,
    /// A plain HTTP back end.
    Service,
}

/// An entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Unique name.
    pub name: Name,
    /// What runs on it.
    pub kind: VmKind,
    /// HTTP address.
    pub addr: SocketAddr,
    /// Address for traffic between routers; set only for routers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Region of the data centre.
    pub region: Name,
    /// Whether the platform is about to remove the VM.
    #[serde(default)]
    pub leaving: bool,
}

/// A list of VMs that may be stale.
pub trait VmList {
    /// Fetches the list; returns `None` if it has not changed since the previous
    /// call.
    fn fetch_if_changed(&self) -> LocalBoxFuture<'_, Result<Option<Vec<Vm>>>>;
}

/// A client of the VM list over HTTP, which polls it with a conditional GET.
#[derive(Debug)]
pub struct HttpVmList {
    addr: SocketAddr,
    timeout: Duration,
    meter: Meter,
    etag: RefCell<Option<String>>,
}

impl HttpVmList {
    /// Creates a client of the VM list at `addr`.
    pub fn new(addr: SocketAddr, timeout: Duration, meter: Meter) -> HttpVmList {
        HttpVmList { addr, timeout, meter, etag: RefCell::default() }
    }
}

impl VmList for HttpVmList {
    fn fetch_if_changed(&self) -> LocalBoxFuture<'_, Result<Option<Vec<Vm>>>> {
        Box::pin(async move {
            let known_etag = self.etag.borrow().clone();
            let call = Call::get(self.addr, "/vms").timeout(self.timeout).meter(&self.meter);
            let reply = call.if_none_match(known_etag).send().await?;
            match reply.status {
                200 => {
                    let vms = serde_json::from_slice(&reply.body).map_err(Error::malformed)?;
                    self.etag.replace(reply.etag);
                    Ok(Some(vms))
                }
                NOT_MODIFIED => Ok(None),
                status => Err(Error::status(status)),
            }
        })
    }
}
