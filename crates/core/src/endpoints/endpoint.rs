use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{chart::StateMachine, hash::hash32, name::Name, time::Millis};

/// Shortest probation of an endpoint that is reachable again, in milliseconds; it
/// doubles with each flap.
const MIN_PROBATION_MS: u64 = 500;
/// Longest probation of a flapping endpoint, in milliseconds.
const MAX_PROBATION_MS: u64 = 30_000;
/// Time since the last failure after which the next recovery resets the flap
/// count, in milliseconds.
const FLAP_RESET_MS: u64 = 60_000;

/// Identifier of an endpoint: a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub u32);

impl EndpointId {
    /// Computes the identifier from the name of an endpoint.
    pub fn from_name(name: &str) -> EndpointId {
        EndpointId(hash32(name.as_bytes()))
    }
}

/// The kind of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model server that batches prompts.
    Engine,
    /// A plain HTTP back end.
    Service,
}

/// Entry of the VM list that describes an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointInfo {
    /// Unique name.
    pub name: Name,
    /// Engine or service.
    pub kind: EndpointKind,
    /// HTTP address.
    pub addr: SocketAddr,
    /// Data centre.
    pub data_centre: Name,
    /// Region of the data centre.
    pub region: Name,
}

/// State that an endpoint reports about itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Changes whenever the endpoint restarts.
    pub incarnation: u32,
    /// Requests running or waiting at the endpoint.
    pub load: u32,
    /// Whether the endpoint has announced that it is shutting down.
    pub leaving: bool,
    /// Hash of the model's name; zero for a service.
    pub model: u32,
}

/// A router's view of one endpoint.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Entry of the VM list.
    pub info: EndpointInfo,
    /// Most recent load report.
    pub report: LoadReport,
    /// Admitted load, as counted by the endpoint's admission home.
    pub admitted: u32,
    /// Requests of this router in flight at the endpoint.
    pub open: u32,
    health: StateMachine,
    flaps: u32,
    failed_at: Millis,
    probation_until: Millis,
}

impl Endpoint {
    pub(super) fn new(info: EndpointInfo, health: StateMachine) -> Endpoint {
        Endpoint {
            info,
            report: LoadReport::default(),
            admitted: 0,
            open: 0,
            health,
            flaps: 0,
            failed_at: Millis::default(),
            probation_until: Millis::default(),
        }
    }

    /// Returns the identifier of the endpoint.
    pub fn id(&self) -> EndpointId {
        EndpointId::from_name(&self.info.name)
    }

    /// Returns whether the endpoint may receive new requests.
    pub fn is_live(&self) -> bool {
        matches!(self.health.state(), "up" | "suspect")
    }

    /// Returns whether the endpoint has announced that it is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.health.is_in("leaving")
    }

    /// Returns the name of the health state, as in `charts/endpoint.yaml`.
    pub fn health(&self) -> &str {
        self.health.state()
    }

    /// Records a successful health check or response.
    ///
    /// An endpoint that was shutting down receives requests again only after a
    /// report of another incarnation that is not shutting down.
    pub fn record_success(&mut self, report: LoadReport, now: Millis) {
        if self.is_leaving() && report.incarnation != self.report.incarnation && !report.leaving {
            self.health.apply("replaced");
        }
        self.report = report;
        if report.leaving {
            self.health.apply("leaving");
            return;
        }
        let was_down = self.health.is_in("down");
        self.health.apply("answered");
        if was_down {
            self.enter_probation(now);
        } else if self.health.is_in("probation") && now >= self.probation_until {
            self.health.apply("steady");
        }
    }

    fn enter_probation(&mut self, now: Millis) {
        if now.since(self.failed_at) > FLAP_RESET_MS {
            self.flaps = 0;
        }
        let wait = MIN_PROBATION_MS.saturating_mul(1 << self.flaps.min(6));
        self.probation_until = now + wait.min(MAX_PROBATION_MS);
        self.flaps += 1;
    }

    /// Records a failed health check or a broken connection.
    pub fn record_failure(&mut self, now: Millis) {
        self.health.apply("failed");
        self.failed_at = now;
    }

    /// Records a refused connection, which marks the endpoint down at once because
    /// its process no longer listens.
    pub fn record_refused_connection(&mut self, now: Millis) {
        self.record_failure(now);
        if self.health.is_in("suspect") {
            self.record_failure(now);
        }
    }

    /// Applies a report from a health check or from the endpoint's admission home;
    /// if `up` is false, the endpoint is down and `report` is ignored.
    pub fn apply_report(&mut self, report: LoadReport, up: bool, now: Millis) {
        if up {
            self.record_success(report, now);
        } else {
            self.record_refused_connection(now);
        }
    }

    /// Records that `incarnation` is shutting down, unless another incarnation is
    /// known.
    pub fn record_leave_notice(&mut self, incarnation: u32) {
        if self.report.incarnation == incarnation || self.report.incarnation == 0 {
            self.report.incarnation = incarnation;
            self.health.apply("leaving");
        }
    }
}
