//! One message of each kind, with the bytes that earlier builds sent for it.

use std::net::Ipv4Addr;

use mimosaledge_peer::{
    ChangeBatch, CrashReport, EndpointLimits, Heartbeat, LimitSample, ListUpdate, LoadSample,
    Message, Outcomes, PermitRequest, RequestCount, StateSummary, SuspectReport, SyncRequest,
    SyncResponse,
};
use mimosaledge_policy::{
    Endpoint, EndpointState, FleetConfig, Limits, Position, RetryPolicy, Route, Service, Target,
    config::Workspace, crashing_parts::CrashSuspect, endpoints::Change, health::Tally,
    membership::FailureReport, permits::Claim, stream_origins::StreamOrigin,
};

// BEGIN SAMPLES
fn address(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 0, last)
}

fn summary() -> StateSummary {
    StateSummary {
        version: 115,
        era: 1,
        position: Position { era: 1, offset: 436 },
        digest: 0x1122_3344_5566_7788,
        list_age_ms: 120,
        config_age_ms: 980,
    }
}

fn limits() -> LimitSample {
    let limits = EndpointLimits { rate: Some(12.5), max_refusals: Some(7) };
    LimitSample { endpoint: 0xcafe_f00d, limits, age_ms: 333 }
}

fn suspect() -> SuspectReport {
    SuspectReport { suspect: CrashSuspect { part: 900, depth: 2, crash: 77 }, age_ms: 40 }
}

fn endpoint(id: &str, state: EndpointState) -> Endpoint {
    Endpoint {
        id: id.into(),
        started_ms: Some(1_770_000_000_123),
        service: "app".into(),
        address: "10.4.64.47:8120".parse().unwrap(),
        build: "v1".into(),
        data_centre: "hall-1".into(),
        slots: 16,
        state,
    }
}

fn changes() -> Vec<Change> {
    vec![
        Change::Upsert(endpoint("i-1", EndpointState::Ready)),
        Change::Upsert(endpoint("i-2", EndpointState::Draining)),
        Change::Remove("i-3".into()),
    ]
}

fn config() -> FleetConfig {
    let route = Route {
        name: "r-1".into(),
        host: "host.example".into(),
        path_prefix: "/a/".into(),
        targets: vec![Target { service: "app".into(), weight: 3 }],
        retry: RetryPolicy::Resume,
        streaming: true,
        anonymous: false,
        sticky: true,
        timeout_ms: 12_000,
        latency_goal_ms: 600,
        gap_goal_ms: 400,
        priority: 1,
        max_attempts: 2,
    };
    FleetConfig {
        version: 115,
        routes: vec![route],
        services: vec![Service { name: "app".into(), max_conns: 1_900, batch_slots: Some(16) }],
        limits: Limits::default(),
        workspaces: Some(vec![Workspace {
            name: "firm".into(),
            priority: Some(2),
            keys: vec!["key-1".into()],
        }]),
        ..FleetConfig::default()
    }
}

fn heartbeat() -> Heartbeat {
    let tally = Tally { successes: 12.34, failures: 3.0, refusals: 0.5 };
    Heartbeat {
        ready: true,
        cut_off: false,
        summary: summary(),
        request_counts: vec![RequestCount { endpoint: 5, prefix: 6, requests: 7 }],
        samples: vec![LoadSample::new(0xdead_beef, 9, 250)],
        outcomes: vec![Outcomes::from_tally(0xdead_beef, tally).unwrap()],
        limits: vec![limits()],
        crashes: vec![CrashReport { fingerprint: 1, endpoint: 2 }],
        suspects: vec![suspect()],
        sound_parts: vec![901],
        known_peers: vec![address(2), address(3)],
        failure_report: FailureReport { suspected: vec![address(4)], dead: vec![address(5)] },
        ..Heartbeat::default()
    }
}

fn change_batch() -> ChangeBatch {
    let mut batch = ChangeBatch::default();
    batch.add(0x99, 0x1122_3344_5566_7788, changes());
    batch
}

pub(crate) fn messages() -> Vec<(&'static str, Message)> {
    vec![
        ("heartbeat", Message::Heartbeat(Box::new(heartbeat()))),
        ("changes", Message::Changes(summary(), change_batch())),
        ("stream_origin", Message::StreamOrigin(StreamOrigin { attempt: 11, build: 12 })),
        ("origin_query", Message::OriginQuery(13)),
        ("suspects", Message::Suspects(vec![suspect()])),
        ("limits", Message::Limits(vec![limits()])),
        (
            "permit_request",
            Message::PermitRequest(PermitRequest {
                number: 3,
                endpoint: 0xcafe,
                claim: Claim::Spare,
                ttl_ms: 1_500,
                limits: limits(),
                warmup_ms: 0,
            }),
        ),
        (
            "permit_response",
            Message::PermitResponse { number: 3, endpoint: 0xcafe, retry_ms: Some(250) },
        ),
        ("permit_release", Message::PermitRelease { number: 3, endpoint: 0xcafe, refused: true }),
    ]
}

pub(crate) fn sync_request() -> SyncRequest {
    SyncRequest { version: 114, position: Position { era: 1, offset: 430 }, digest: 0x99 }
}

pub(crate) fn sync_responses() -> Vec<(&'static str, SyncResponse)> {
    let position = Position { era: 1, offset: 436 };
    let response = |config, list| SyncResponse { config, list, position, age_ms: 45 };
    let full = vec![endpoint("i-1", EndpointState::Ready)];
    vec![
        ("sync_unchanged", response(None, ListUpdate::Unchanged)),
        ("sync_changes", response(None, ListUpdate::Changes(changes()))),
        ("sync_full", response(Some(config()), ListUpdate::Full(full))),
    ]
}
// END SAMPLES
