//! The platform's append-only log.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    Pending,
    error::{Error, Result},
    http::Call,
    meter::Meter,
};

/// Stream of configuration records.
pub const CONFIG_STREAM: &str = "config";
/// Stream of the stewards' lease claims.
pub const LEASE_STREAM: &str = "lease";

/// One record as read from the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Offset of the record.
    pub offset: u64,
    /// The record.
    pub body: String,
}

/// One answer to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Offset of the oldest record still kept; `next` if there is none.
    pub first: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// Records from the offset asked for on.
    pub records: Vec<LogEntry>,
}

/// An append-only log service with offsets.
pub trait Log {
    /// Appends a record and returns its offset.
    ///
    /// An error of category `Ambiguous` may hide an append that took effect.
    fn append<'a>(&'a self, stream: &'a str, body: String) -> Pending<'a, Result<u64>>;

    /// Reads the records from offset `from` on.
    fn read<'a>(&'a self, stream: &'a str, from: u64) -> Pending<'a, Result<Page>>;
}

/// The log service over HTTP.
#[derive(Debug, Clone)]
pub struct HttpLog {
    addr: SocketAddr,
    timeout: Duration,
    meter: Meter,
}

impl HttpLog {
    /// Creates a client of the log service at `addr`.
    pub fn new(addr: SocketAddr, timeout: Duration, meter: Meter) -> HttpLog {
        HttpLog { addr, timeout, meter }
    }
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

impl Log for HttpLog {
    fn append<'a>(&'a self, stream: &'a str, body: String) -> Pending<'a, Result<u64>> {
        Box::pin(async move {
            let call = Call::post(self.addr, format!("/log/{stream}"), body);
            let answer = call.timeout(self.timeout).meter(&self.meter).send_ok().await?;
            let appended: Appended = serde_json::from_slice(&answer).map_err(Error::malformed)?;
            Ok(appended.offset)
        })
    }

    fn read<'a>(&'a self, stream: &'a str, from: u64) -> Pending<'a, Result<Page>> {
        Box::pin(async move {
            let call = Call::get(self.addr, format!("/log/{stream}?from={from}"));
            let answer = call.timeout(self.timeout).meter(&self.meter).send_ok().await?;
            serde_json::from_slice(&answer).map_err(Error::malformed)
        })
    }
}
