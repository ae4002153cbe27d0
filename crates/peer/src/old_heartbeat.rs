//! The heartbeat of [`Version::BEFORE_PERMITS`](crate::Version::BEFORE_PERMITS).

use std::net::Ipv4Addr;

use mimosaledge_policy::membership::FailureReport;
use serde::{Deserialize, Serialize};

use crate::{
    heartbeat::Heartbeat,
    heartbeat_extension::HeartbeatExtension,
    load_sample::LoadSample,
    outcomes::Outcomes,
    reports::{CrashReport, SuspectReport},
    request_count::RequestCount,
    state_summary::StateSummary,
};

/// A [`Heartbeat`] without what was added later; the fields are the same.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct OldHeartbeat {
    ready: bool,
    summary: StateSummary,
    request_counts: Vec<RequestCount>,
    samples: Vec<LoadSample>,
    outcomes: Vec<Outcomes>,
    crashes: Vec<CrashReport>,
    suspects: Vec<SuspectReport>,
    sound_parts: Vec<u64>,
    known_peers: Vec<Ipv4Addr>,
    failure_report: FailureReport,
}

impl From<&Heartbeat> for OldHeartbeat {
    fn from(it: &Heartbeat) -> OldHeartbeat {
        OldHeartbeat {
            ready: it.ready,
            summary: it.summary,
            request_counts: it.request_counts.clone(),
            samples: it.samples.clone(),
            outcomes: it.outcomes.clone(),
            crashes: it.crashes.clone(),
            suspects: it.suspects.clone(),
            sound_parts: it.sound_parts.clone(),
            known_peers: it.known_peers.clone(),
            failure_report: it.failure_report.clone(),
        }
    }
}

impl From<OldHeartbeat> for Heartbeat {
    fn from(it: OldHeartbeat) -> Heartbeat {
        Heartbeat {
            ready: it.ready,
            cut_off: false,
            summary: it.summary,
            request_counts: it.request_counts,
            samples: it.samples,
            outcomes: it.outcomes,
            limits: Vec::new(),
            crashes: it.crashes,
            suspects: it.suspects,
            sound_parts: it.sound_parts,
            known_peers: it.known_peers,
            failure_report: it.failure_report,
            unreached: Vec::new(),
            extension: HeartbeatExtension::default(),
        }
    }
}
