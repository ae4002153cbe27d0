//! Clients of the platform, and networking shared by all programs of the fleet.
//!
//! The platform provides an append-only [`Log`] and a [`VmList`]. Both are
//! traits, so that tests can replace the platform. The other modules contain the
//! HTTP client and server, the connection pool, logging and the event loop.

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

/// A boxed future that is not `Send`, as returned by the methods of object-safe
/// traits.
pub type LocalBoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;
