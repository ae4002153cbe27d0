//! The store that lists endpoints, configuration and gateways.

use std::{net::Ipv4Addr, time::Duration};

use mimosaledge_core::Name;
use mimosaledge_net::LocalBoxFuture;
use mimosaledge_policy::{FleetConfig, endpoints::Change};

use crate::error::Result;

/// A stream of records in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// The operators' configuration.
    Config,
    /// The endpoints' entries.
    Endpoints,
    /// The gateways' entries.
    Gateways,
}

/// A gateway's entry, by which the others find it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayEntry {
    /// The VM's name.
    pub name: Name,
    /// The VM's address.
    pub address: Ipv4Addr,
}

/// A record, decoded.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// A version of the configuration.
    Config(Box<FleetConfig>),
    /// A change of the list of endpoints.
    Endpoint(Change),
    /// A gateway.
    Gateway(GatewayEntry),
    /// A record that cannot be used.
    Unreadable {
        /// The record's key.
        key: Name,
        /// What is wrong with it.
        reason: Name,
    },
}

/// Records and the offset after them.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// The records, oldest first.
    pub records: Vec<Record>,
    /// Where to read on.
    pub next: u64,
    /// The key after which a list of the newest records goes on, if it does.
    pub more: Option<Name>,
}

impl Page {
    /// Appends the page that follows in a list of the newest records.
    ///
    /// Pages are no snapshot: what changes between them is read again.
    pub(crate) fn followed_by(mut self, page: Page) -> Page {
        self.records.extend(page.records);
        Page { records: self.records, next: self.next.min(page.next), more: page.more }
    }
}

/// The platform's store, as the gateway sees it.
pub trait Store {
    /// Reads the newest record of each key of a topic, or of each key behind
    /// `after`; a long list takes several calls.
    ///
    /// # Errors
    ///
    /// Returns why the store did not answer as asked.
    fn newest(&self, topic: Topic, after: Option<Name>) -> LocalBoxFuture<'_, Result<Page>>;

    /// Reads records from an offset on; waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns why the store did not answer as asked; see [`crate::Error::is_expired`].
    fn read(&self, topic: Topic, from: u64, wait: Duration) -> LocalBoxFuture<'_, Result<Page>>;

    /// Writes the gateway's own entry.
    ///
    /// # Errors
    ///
    /// Returns why the store did not answer as asked.
    fn register(&self, entry: GatewayEntry) -> LocalBoxFuture<'_, Result<()>>;
}
