use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{chart::StateMachine, hash::hash32, name::Name, time::Millis};

/// First wait before an endpoint that came back is trusted, in milliseconds.
const MIN_PROBATION_MS: u64 = 500;
/// Longest wait before a flapping endpoint is trusted, in milliseconds.
const MAX_PROBATION_MS: u64 = 30_000;
/// Time without a failure after which flaps are forgotten, in milliseconds.
const FLAP_RESET_MS: u64 = 60_000;

/// Identifier of an endpoint: a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub u32);

impl EndpointId {
    /// Derives the identifier from an endpoint's name.
    pub fn from_name(name: &str) -> EndpointId {
        EndpointId(hash32(name.as_bytes()))
    }
}

/// The kind of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// What the VM list says of an endpoint.
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

/// What an endpoint reports of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Changes whenever the endpoint restarts.
    pub incarnation: u32,
    /// Requests running or waiting at the endpoint.
    pub load: u32,
    /// Whether the endpoint has given notice that it leaves.
    pub leaving: bool,
    /// Hash of the model's name; zero for a service.
    pub model: u32,
}

/// One endpoint as a router sees it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// What the VM list says.
    pub info: EndpointInfo,
    /// The last report.
    pub report: LoadReport,
    /// Load counted by the endpoint's admission home.
    pub admitted: u32,
    /// Requests that this router has open at the endpoint.
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

    /// Returns the endpoint's identifier.
    pub fn id(&self) -> EndpointId {
        EndpointId::from_name(&self.info.name)
    }

    /// Returns whether new work may go to the endpoint.
    pub fn is_live(&self) -> bool {
        matches!(self.health.state(), "up" | "suspect")
    }

    /// Returns whether the endpoint has given notice that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.health.is_in("leaving")
    }

    /// Returns the state of the endpoint's health chart.
    pub fn health(&self) -> &str {
        self.health.state()
    }

    /// Takes in a successful probe or answer.
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

    /// Takes in a failed probe or a connection that broke.
    pub fn record_failure(&mut self, now: Millis) {
        self.health.apply("failed");
        self.failed_at = now;
    }

    /// Takes in a refused connection: the process is gone.
    pub fn record_refused_connection(&mut self, now: Millis) {
        self.record_failure(now);
        if self.health.is_in("suspect") {
            self.record_failure(now);
        }
    }

    /// Takes in what the endpoint's admission home says of it.
    pub fn apply_report(&mut self, report: LoadReport, up: bool, now: Millis) {
        if up {
            self.record_success(report, now);
        } else {
            self.record_refused_connection(now);
        }
    }

    /// Takes in a leave notice for `incarnation`.
    pub fn record_leave_notice(&mut self, incarnation: u32) {
        if self.report.incarnation == incarnation || self.report.incarnation == 0 {
            self.report.incarnation = incarnation;
            self.health.apply("leaving");
        }
    }
}
