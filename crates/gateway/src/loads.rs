//! Requests in flight and recent outcomes, at this gateway and at its peers.

use std::collections::HashMap;

use mimosaledge_core::{Millis, Name};
use mimosaledge_peer::{Outcomes, RequestCount};
use mimosaledge_policy::{
    arrival_rate::ArrivalRate,
    health::Tally,
    load::{LARGE_FLEET_MAX_REPORT_AGE_MS, MAX_REPORT_AGE_MS},
};

/// Requests in flight, at this gateway and its peers, and the peers' recent
/// outcomes.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    /// This gateway's requests, by truncated node number and prefix hash.
    own_requests: HashMap<(u32, u32), u16>,
    /// The peers' requests, by truncated node number.
    peer_endpoint_requests: HashMap<u32, u32>,
    /// The peers' requests, by truncated prefix hash.
    peer_prefix_requests: HashMap<u32, u32>,
    /// The peers' outcomes, by truncated node number.
    peer_outcomes: HashMap<u32, Tally>,
    /// Number of peers that the counts are from.
    peer_count: usize,
    /// Mean age of the peers' counts when they were set, in milliseconds.
    peer_age_ms: u64,
    /// When the peers' counts were set.
    peers_set_at: Millis,
    is_sampled: bool,
    /// Requests that this gateway has to place, by service.
    arrivals: HashMap<Name, ArrivalRate>,
}

impl Loads {
    /// Counts one more request of this gateway with this key.
    pub(crate) fn add_own(&mut self, key: (u32, u32)) {
        *self.own_requests.entry(key).or_insert(0) += 1;
    }

    /// Counts one request of this gateway with this key less.
    pub(crate) fn remove_own(&mut self, key: (u32, u32)) {
        if let Some(requests) = self.own_requests.get_mut(&key) {
            *requests -= 1;
            if *requests == 0 {
                self.own_requests.remove(&key);
            }
        }
    }

    /// Returns this gateway's requests in flight, by endpoint and prefix.
    pub(crate) fn own_request_counts(&self) -> Vec<RequestCount> {
        self.own_requests
            .iter()
            .map(|(&(endpoint, prefix), &requests)| RequestCount { endpoint, prefix, requests })
            .collect()
    }

    /// Returns the number of this gateway's requests for each prefix that
    /// several of them share.
    pub(crate) fn shared_prefix_counts(&self) -> Vec<RequestCount> {
        let mut prefixes: HashMap<u32, u16> = HashMap::new();
        for (&(_, prefix), requests) in self.own_requests.iter().filter(|(key, _)| key.1 != 0) {
            *prefixes.entry(prefix).or_insert(0) += requests;
        }
        let shared = prefixes.into_iter().filter(|(_, requests)| *requests > 1);
        shared
            .map(|(prefix, requests)| RequestCount {
                endpoint: RequestCount::ALL_ENDPOINTS,
                prefix,
                requests,
            })
            .collect()
    }

    /// Sets whether the loads of endpoints are estimated from what they report,
    /// as in a large fleet, rather than from the requests of all gateways.
    pub(crate) fn set_sampled(&mut self, is_sampled: bool) {
        self.is_sampled = is_sampled;
    }

    /// Returns whether the loads of endpoints are estimated from what they report.
    pub(crate) fn is_sampled(&self) -> bool {
        self.is_sampled
    }

    /// Records that a request for a service has to be placed.
    pub(crate) fn record_arrival(&mut self, service: &Name, now: Millis) {
        self.arrivals.entry(service.clone()).or_default().record(now);
    }

    /// Returns the number of requests for a service that this gateway has to place per
    /// millisecond.
    pub(crate) fn arrivals_per_ms(&self, service: &str, now: Millis) -> f64 {
        self.arrivals.get(service).copied().unwrap_or_default().per_ms(now)
    }

    /// Returns the number of peers whose requests are counted.
    pub(crate) fn peer_count(&self) -> usize {
        self.peer_count
    }

    /// Returns the age up to which the load that an endpoint reported is used,
    /// in milliseconds.
    pub(crate) fn max_report_age_ms(&self) -> u64 {
        if self.is_sampled { LARGE_FLEET_MAX_REPORT_AGE_MS } else { MAX_REPORT_AGE_MS }
    }

    /// Replaces the totals of the peers' requests in flight, each peer's of which were counted
    /// at one of the times `counted_at`.
    pub(crate) fn set_peer_requests<'a>(
        &mut self,
        reported: impl Iterator<Item = &'a RequestCount>,
        counted_at: &[Millis],
        now: Millis,
    ) {
        let total_age_ms: u64 = counted_at.iter().map(|it| now.since(*it)).sum();
        self.peer_count = counted_at.len();
        self.peer_age_ms = total_age_ms / counted_at.len().max(1) as u64;
        self.peers_set_at = now;
        self.peer_endpoint_requests.clear();
        self.peer_prefix_requests.clear();
        for request_count in reported {
            let requests = u32::from(request_count.requests);
            *self.peer_endpoint_requests.entry(request_count.endpoint).or_insert(0) += requests;
            if request_count.prefix != 0 {
                *self.peer_prefix_requests.entry(request_count.prefix).or_insert(0) += requests;
            }
        }
    }

    /// Replaces the totals of the peers' outcomes.
    pub(crate) fn set_peer_outcomes<'a>(&mut self, reported: impl Iterator<Item = &'a Outcomes>) {
        self.peer_outcomes.clear();
        for outcomes in reported {
            let tally = self.peer_outcomes.entry(outcomes.endpoint()).or_default();
            *tally = *tally + outcomes.to_tally();
        }
    }

    /// Returns the peers' outcomes at an endpoint.
    pub(crate) fn peer_outcomes(&self, node: u64) -> Tally {
        self.peer_outcomes.get(&(node as u32)).copied().unwrap_or_default()
    }

    /// Returns the mean age of the peers' counts, in milliseconds.
    pub(crate) fn peer_age_ms(&self, now: Millis) -> u64 {
        self.peer_age_ms + now.since(self.peers_set_at)
    }

    /// Returns what the peers' counts are based on, as fields of a log line.
    pub(crate) fn log_fields(&self, now: Millis) -> String {
        format!("peers={} counts_age_ms={}", self.peer_count, self.peer_age_ms(now))
    }

    /// Returns the number of the peers' requests in flight at an endpoint.
    pub(crate) fn peer_requests(&self, node: u64) -> u32 {
        self.peer_endpoint_requests.get(&(node as u32)).copied().unwrap_or(0)
    }

    /// Returns the number of requests in flight with a prefix, from all
    /// gateways.
    pub(crate) fn count_with_prefix(&self, prefix: u64) -> u32 {
        let short_prefix = prefix as u32;
        let own: u32 = self
            .own_requests
            .iter()
            .filter(|(key, _)| key.1 == short_prefix)
            .map(|(_, it)| u32::from(*it))
            .sum();
        own + self.peer_prefix_requests.get(&short_prefix).copied().unwrap_or(0)
    }
}
