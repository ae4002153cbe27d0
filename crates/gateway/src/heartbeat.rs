//! What gateways tell each other.

use std::net::Ipv4Addr;

use mimosaledge_policy::{endpoints::Change, membership::FailureReport};
use serde::{Deserialize, Serialize};

use crate::loads::{Load, Outcomes, Sample};

/// Most changes of the list of endpoints in one datagram; others copy the list.
const MAX_NEWS: usize = 32;

/// A request that was open when an endpoint died.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Death {
    pub(crate) fingerprint: u64,
    pub(crate) endpoint: u64,
}

/// What a gateway knows of configuration and endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Stamp {
    /// Version of the configuration.
    pub(crate) version: u64,
    /// How far the list of endpoints has been read.
    pub(crate) offset: u64,
    /// Digest of that list.
    pub(crate) digest: u64,
    /// Time since it was read, in milliseconds.
    pub(crate) age_ms: u64,
}

/// Changes of the list of endpoints that a gateway has read.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct News {
    /// Digest of the list that the changes follow on.
    pub(crate) before: u64,
    /// The changes.
    pub(crate) changes: Vec<Change>,
    #[serde(skip)]
    after: u64,
}

impl News {
    /// Adds changes that lead from one digest to another.
    pub(crate) fn add(&mut self, before: u64, after: u64, changes: Vec<Change>) {
        if self.changes.is_empty() || self.after != before {
            *self = News { before, changes, after };
        } else {
            self.changes.extend(changes);
            self.after = after;
        }
        if self.changes.len() > MAX_NEWS {
            self.changes.clear();
        }
    }
}

/// A datagram between gateways.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Sent by all, at a pace that falls with their number.
    Heartbeat(Heartbeat),
    /// Sent by those that have just read changes of the list of endpoints.
    News(Stamp, News),
}

/// What one gateway tells the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// Whether the gateway takes requests.
    pub(crate) ready: bool,
    /// Configuration and list of endpoints that it has.
    pub(crate) stamp: Stamp,
    /// Its requests under way; in a large fleet only those that share a prefix.
    pub(crate) loads: Vec<Load>,
    /// Loads that endpoints have told it lately; in a large fleet only.
    pub(crate) samples: Vec<Sample>,
    /// How its latest requests ended, where any failed.
    pub(crate) outcomes: Vec<Outcomes>,
    /// Requests that were open when an endpoint died.
    pub(crate) deaths: Vec<Death>,
    /// Some gateways that take requests.
    pub(crate) known: Vec<Ipv4Addr>,
    /// Gateways that do not answer.
    pub(crate) losses: FailureReport,
}
