//! Client of the platform's append-only log.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    LocalBoxFuture,
    error::{Error, Result},
    http::Call,
    meter::Meter,
};

/// Name of the stream of configuration records.
pub const CONFIG_STREAM: &str = "config";
/// Name of the stream of lease claims by stewards.
pub const LEASE_STREAM: &str = "lease";

/// A record read from the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Offset of the record.
    pub offset: u64,
    /// Content of the record.
    pub body: String,
}

/// The result of one read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Offset of the oldest retained record; equal to `next` if there is none.
    pub first: u64,
    /// Offset that the next append will be assigned.
    pub next: u64,
    /// Records from the requested offset on.
    pub records: Vec<LogEntry>,
}

/// An append-only log, divided into named streams.
pub trait Log {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// After an error of [`Category::Ambiguous`](crate::Category::Ambiguous) the
    /// record may or may not have been appended.
    fn append<'a>(&'a self, stream: &'a str, body: String) -> LocalBoxFuture<'a, Result<u64>>;

    /// Reads the records of a stream from offset `from` on.
    fn read<'a>(&'a self, stream: &'a str, from: u64) -> LocalBoxFuture<'a, Result<Page>>;
}

/// A client of the log over HTTP.
#[derive(Debug, Clone)]
pub struct HttpLog {
    addr: SocketAddr,
    timeout: Duration,
    meter: Meter,
}

impl HttpLog {
    /// Creates a client of the log at `addr`.
    pub fn new(addr: SocketAddr, timeout: Duration, meter: Meter) -> HttpLog {
        HttpLog { addr, timeout, meter }
    }
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: u64,
}

impl Log for HttpLog {
    fn append<'a>(&'a self, stream: &'a str, body: String) -> LocalBoxFuture<'a, Result<u64>> {
        Box::pin(async move {
            let call = Call::post(self.addr, format!("/log/{stream}"), body);
            let response = call.timeout(self.timeout).meter(&self.meter).send_ok().await?;
            let appended: AppendResponse =
                serde_json::from_slice(&response).map_err(Error::malformed)?;
            Ok(appended.offset)
        })
    }

    fn read<'a>(&'a self, stream: &'a str, from: u64) -> LocalBoxFuture<'a, Result<Page>> {
        Box::pin(async move {
            let call = Call::get(self.addr, format!("/log/{stream}?from={from}"));
            let response = call.timeout(self.timeout).meter(&self.meter).send_ok().await?;
            serde_json::from_slice(&response).map_err(Error::malformed)
        })
    }
}
