//! Interface to the platform's store, which holds the configuration and the
//! entries of endpoints and gateways.

use std::{net::Ipv4Addr, time::Duration};

use mimosaledge_core::Name;
use mimosaledge_net::LocalBoxFuture;
use mimosaledge_policy::{BuildId, FleetConfig, endpoints::Change};

use crate::error::Result;

/// A topic of the store, which is a log of keyed records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// The fleet's configuration, and the evacuated data centres.
    Config,
    /// Entries of endpoints.
    Endpoints,
    /// Entries of gateways.
    Gateways,
    /// Builds that endpoints have, or have had lately.
    Builds,
}

/// The entry by which other gateways discover a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayEntry {
    /// Name of the gateway's VM.
    pub name: Name,
    /// Address of the gateway's VM.
    pub address: Ipv4Addr,
}

/// What an entry in the endpoint list says of the endpoint's start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryWarmup {
    /// The endpoint's identifier.
    pub id: Name,
    /// Start time of its process in Unix milliseconds, if it is given.
    pub started_ms: Option<u64>,
    /// Time for which it stays cold, in milliseconds.
    pub left_ms: u64,
}

/// A decoded record.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// A version of the configuration.
    Config(Box<FleetConfig>),
    /// An evacuation of a data centre, in the topic of the configuration.
    Evacuation {
        /// The data centre.
        data_centre: Name,
        /// Whether it is evacuated, or taken back.
        in_force: bool,
    },
    /// A change of the endpoint list.
    Endpoint(Change),
    /// What the entry before it says of the endpoint's start.
    Warmup(EntryWarmup),
    /// An entry of a gateway.
    Gateway(GatewayEntry),
    /// A build.
    Build(BuildId),
    /// A record that cannot be decoded.
    Unreadable {
        /// The record's key.
        key: Name,
        /// Why it cannot be decoded.
        reason: Name,
    },
}

/// Records returned by one call, and the position of the next call.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// The records, oldest first.
    pub records: Vec<Record>,
    /// The offset from which to read later records.
    pub next: u64,
    /// The offset at which the topic ended when the page was read.
    pub end: u64,
    /// Size of the records, in bytes.
    pub bytes: usize,
    /// The store's era, which rises each time it is restored from an older copy,
    /// or `None` if the store does not report it.
    pub era: Option<u64>,
    /// The last key of this page, if another page of the newest records
    /// follows; the call for that page passes it as `after`.
    pub more: Option<Name>,
}

impl Page {
    /// Appends the next page of a list of the newest records.
    ///
    /// The pages together are not an atomic snapshot: the lower of their
    /// offsets is kept, so that changes made between the calls are read again.
    /// Both pages must be of the same era.
    pub(crate) fn append(mut self, page: Page) -> Page {
        self.records.extend(page.records);
        Page {
            records: self.records,
            next: self.next.min(page.next),
            bytes: self.bytes + page.bytes,
            ..page
        }
    }
}

/// The platform's store.
pub trait Store {
    /// Reads the newest record of each key of a topic, starting after the key
    /// `after` if one is given; a long list takes several calls.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn newest(&self, topic: Topic, after: Option<Name>) -> LocalBoxFuture<'_, Result<Page>>;

    /// Reads records from the offset `from`, at most `max_kb` KB of them; waits up to
    /// `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails, or if the records have expired; see
    /// [`crate::Error::is_expired`].
    fn read(
        &self,
        topic: Topic,
        from: u64,
        max_kb: usize,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Page>>;

    /// Writes this gateway's entry; returns the store's era, or `None` if the store
    /// does not report it.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn register(&self, entry: GatewayEntry) -> LocalBoxFuture<'_, Result<Option<u64>>>;

    /// Writes the record of a build, or removes it if it counts no longer.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn record_build(&self, id: BuildId, is_recent: bool) -> LocalBoxFuture<'_, Result<()>>;
}
