//! Clients of the platform that the fleet runs on.
//!
//! The platform gives an append-only [`Log`] and a [`VmList`]. Both are traits,
//! so that routers and stewards meet the platform, a stand-in or a fake alike.
//! The HTTP helpers serve the other programs of the fleet too.

pub mod error;
pub mod http;
pub mod incarnation;
pub mod log;
pub mod logging;
pub mod meter;
pub mod pool;
pub mod runtime;
pub mod server;
pub mod vms;

use std::{future::Future, pin::Pin};

pub use crate::{
    error::{Category, Error, Result},
    log::{HttpLog, Log, LogEntry, Page},
    meter::Meter,
    vms::{HttpVmList, Vm, VmKind, VmList},
};

/// A boxed future of a trait object's method, bound to one thread.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;
