//! Metrics of a gateway, in the Prometheus text format.

use eyre::Result;
use mimosaledge_core::Name;
use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

use crate::{evacuation::EvacuationState, load_metrics::LoadMetrics};

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0, 15.0];

/// Metrics of a gateway.
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) cut_off_requests: IntCounterVec,
    pub(crate) first_byte: Histogram,
    pub(crate) failed_attempts: IntCounterVec,
    pub(crate) retries: IntCounter,
    pub(crate) resumes: IntCounter,
    pub(crate) store_calls: IntCounterVec,
    pub(crate) peer_bytes: IntCounterVec,
    pub(crate) peer_rejected: IntCounterVec,
    pub(crate) permits: IntCounterVec,
    pub(crate) cold_denials: IntCounter,
    pub(crate) forwards: IntCounterVec,
    cold_endpoints: IntGauge,
    pub(crate) memory_decisions: IntCounterVec,
    pub(crate) held_bytes: IntGauge,
    pub(crate) client_connections: IntGauge,
    pub(crate) loads: LoadMetrics,
    pub(crate) room_refusals: IntCounterVec,
    top_workspaces: GaugeVec,
    version: IntGauge,
    gateways: IntGauge,
    evacuation_age: IntGaugeVec,
    evacuated_requests: IntGaugeVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub(crate) fn new() -> Result<Metrics> {
        let registry = Registry::new();
        let requests = IntCounterVec::new(
            Opts::new(
                "mimosaledge_requests_total",
                "Requests by HTTP status, those of other gateways included.",
            ),
            &["status"],
        )?;
        let cut_off_requests = IntCounterVec::new(
            Opts::new(
                "mimosaledge_cut_off_requests_total",
                "Clients' requests for which this gateway reached no endpoint, by HTTP status.",
            ),
            &["status"],
        )?;
        let first_byte = Histogram::with_opts(
            HistogramOpts::new(
                "mimosaledge_first_byte_seconds",
                "Time from a request's arrival to the head of its answer.",
            )
            .buckets(LATENCY_BUCKETS_S.to_vec()),
        )?;
        let failed_attempts = IntCounterVec::new(
            Opts::new(
                "mimosaledge_failed_attempts_total",
                "Attempts without a usable response, by what is known of them.",
            ),
            &["outcome"],
        )?;
        let retries =
            IntCounter::new("mimosaledge_repeats_total", "Requests sent to a further endpoint.")?;
        let resumes =
            IntCounter::new("mimosaledge_resumes_total", "Streams resumed at a further endpoint.")?;
        let store_calls = IntCounterVec::new(
            Opts::new("mimosaledge_store_calls_total", "Calls to the store by topic and outcome."),
            &["topic", "outcome"],
        )?;
        let peer_bytes = IntCounterVec::new(
            Opts::new("mimosaledge_peer_bytes_total", "Bytes of heartbeats with IP headers."),
            &["direction"],
        )?;
        let peer_rejected = IntCounterVec::new(
            Opts::new(
                "mimosaledge_peer_rejected_total",
                "Datagrams that could not be decoded, by cause.",
            ),
            &["cause"],
        )?;
        let permits = IntCounterVec::new(
            Opts::new(
                "mimosaledge_permits_total",
                "Permits for endpoints that limit their rate, by decision.",
            ),
            &["decision"],
        )?;
        let cold_denials = IntCounter::new(
            "mimosaledge_cold_denials_total",
            "Permits denied for endpoints that are cold.",
        )?;
        let cold_endpoints =
            IntGauge::new("mimosaledge_cold_endpoints", "Endpoints that count as cold now.")?;
        let forwards = IntCounterVec::new(
            Opts::new(
                "mimosaledge_forwards_total",
                "Requests handed over to another gateway, by outcome.",
            ),
            &["outcome"],
        )?;
        let memory_decisions = IntCounterVec::new(
            Opts::new(
                "mimosaledge_memory_decisions_total",
                "What was refused or given up for want of memory, by decision.",
            ),
            &["decision"],
        )?;
        let held_bytes = IntGauge::new("mimosaledge_held_bytes", "Bytes held for clients.")?;
        let client_connections =
            IntGauge::new("mimosaledge_client_connections", "Connections of clients.")?;
        let room_refusals = IntCounterVec::new(
            Opts::new(
                "mimosaledge_room_refusals_total",
                "Requests refused since endpoints that report no load have no room, by service \
                 and whether the client seems to have been refused before.",
            ),
            &["service", "client"],
        )?;
        let top_workspaces = GaugeVec::new(
            Opts::new(
                "mimosaledge_top_workspace_requests",
                "Recent requests at this gateway of the workspaces that send most, by rank; only \
                 of services that lack room.",
            ),
            &["service", "rank"],
        )?;
        let version =
            IntGauge::new("mimosaledge_config_version", "Version of the configuration in force.")?;
        let gateways = IntGauge::new("mimosaledge_gateways", "Gateways alive, this one included.")?;
        let evacuation_age = IntGaugeVec::new(
            Opts::new(
                "mimosaledge_evacuation_seconds",
                "Time since a data centre was evacuated; absent for the others.",
            ),
            &["data_centre"],
        )?;
        let evacuated_requests = IntGaugeVec::new(
            Opts::new(
                "mimosaledge_evacuated_requests",
                "Requests of this gateway that still run in an evacuated data centre.",
            ),
            &["data_centre"],
        )?;
        registry.register(Box::new(evacuation_age.clone()))?;
        registry.register(Box::new(evacuated_requests.clone()))?;
        let loads = LoadMetrics::register(&registry)?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(cut_off_requests.clone()))?;
        registry.register(Box::new(first_byte.clone()))?;
        registry.register(Box::new(failed_attempts.clone()))?;
        registry.register(Box::new(retries.clone()))?;
        registry.register(Box::new(resumes.clone()))?;
        registry.register(Box::new(store_calls.clone()))?;
        registry.register(Box::new(peer_bytes.clone()))?;
        registry.register(Box::new(peer_rejected.clone()))?;
        registry.register(Box::new(forwards.clone()))?;
        registry.register(Box::new(permits.clone()))?;
        registry.register(Box::new(cold_denials.clone()))?;
        registry.register(Box::new(cold_endpoints.clone()))?;
        registry.register(Box::new(memory_decisions.clone()))?;
        registry.register(Box::new(held_bytes.clone()))?;
        registry.register(Box::new(client_connections.clone()))?;
        registry.register(Box::new(room_refusals.clone()))?;
        registry.register(Box::new(top_workspaces.clone()))?;
        registry.register(Box::new(version.clone()))?;
        registry.register(Box::new(gateways.clone()))?;
        Ok(Metrics {
            registry,
            requests,
            cut_off_requests,
            first_byte,
            failed_attempts,
            retries,
            resumes,
            store_calls,
            peer_bytes,
            peer_rejected,
            permits,
            cold_denials,
            forwards,
            cold_endpoints,
            memory_decisions,
            held_bytes,
            client_connections,
            loads,
            room_refusals,
            top_workspaces,
            version,
            gateways,
            evacuation_age,
            evacuated_requests,
        })
    }

    /// Sets the evacuated data centres.
    pub(crate) fn set_evacuations(&self, evacuations: &[EvacuationState]) {
        self.evacuation_age.reset();
        self.evacuated_requests.reset();
        for EvacuationState { data_centre, age_ms, requests } in evacuations {
            let age_s = i64::try_from(age_ms / 1_000).unwrap_or(i64::MAX);
            self.evacuation_age.with_label_values(&[&**data_centre]).set(age_s);
            self.evacuated_requests.with_label_values(&[&**data_centre]).set((*requests).into());
        }
    }

    /// Sets the version of the configuration and the number of live gateways.
    pub(crate) fn set_state(&self, version: u64, gateways: usize) {
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.gateways.set(gateways as i64);
    }

    /// Sets the number of endpoints that count as cold.
    pub(crate) fn set_cold_endpoints(&self, count: usize) {
        self.cold_endpoints.set(count as i64);
    }

    /// Sets the recent requests of the workspaces that send most to each of some services; others
    /// are dropped.
    pub(crate) fn set_top_workspaces(&self, services: &[(Name, Vec<f64>)]) {
        self.top_workspaces.reset();
        for (service, requests) in services {
            for (at, requests) in requests.iter().enumerate() {
                let rank = (at + 1).to_string();
                self.top_workspaces.with_label_values(&[&**service, &rank]).set(*requests);
            }
        }
    }

    /// Returns the current values of all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    pub(crate) fn to_text(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
