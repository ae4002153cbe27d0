//! Which build a stream that a client resumes belongs to: what is remembered, for how long
//! and by whom, and when it need not be known.

use std::net::Ipv4Addr;

use mimosaledge_core::{Millis, hash::hash64};
use mimosaledge_policy::{
    Endpoint, EndpointState,
    builds::Builds,
    stream_origins::{StreamOrigin, StreamOrigins, holders},
};

const NOW: Millis = Millis(1_000_000);
const MINUTE_MS: u64 = 60_000;

fn endpoint(id: &str, service: &str, build: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        started_ms: None,
        service: service.into(),
        address: "10.0.0.1:80".parse().unwrap(),
        build: build.into(),
        data_centre: "hall-1".into(),
        slots: 8,
        state: EndpointState::Ready,
    }
}

fn builds(listed: &[Endpoint]) -> Builds {
    let mut builds = Builds::new(true);
    builds.record(listed.iter(), NOW);
    builds
}

fn gateways(count: u16) -> impl Iterator<Item = Ipv4Addr> {
    (0..count).map(|it| Ipv4Addr::new(10, 0, (it >> 8) as u8, it as u8))
}

#[test]
fn builds_of_two_services_differ_also_under_one_name() {
    let [a, b] = ["a", "b"].map(|it| endpoint("i-1", it, "v1").build_key());
    assert_ne!(a, b);
    assert_eq!(a, endpoint("i-2", "a", "v1").build_key());
}

#[test]
fn first_origin_of_a_stream_stays_until_it_expires() {
    let mut origins = StreamOrigins::default();
    origins.record(StreamOrigin { attempt: 1, build: 10 }, NOW);
    origins.record(StreamOrigin { attempt: 1, build: 20 }, NOW + 10);
    assert_eq!(origins.find(1), Some(StreamOrigin { attempt: 1, build: 10 }));
    assert_eq!(origins.find(2), None);
    origins.record(StreamOrigin { attempt: 2, build: 10 }, NOW + MINUTE_MS);
    assert_eq!(origins.find(1), None);
}

#[test]
fn only_build_is_known_unless_another_one_has_left_lately() {
    let [old, new] = ["v1", "v2"].map(|it| endpoint(it, "a", it));
    let mut builds = builds(std::slice::from_ref(&old));
    assert_eq!(builds.only_build("a", NOW), Some(old.build_key()));
    assert_eq!(builds.only_build("b", NOW), None);
    // The whole list changes at once, long after it was first recorded.
    let changed = NOW + 10 * MINUTE_MS;
    builds.record([&new].into_iter(), changed);
    assert_eq!(builds.only_build("a", changed + MINUTE_MS - 1), None);
    assert_eq!(builds.only_build("a", changed + MINUTE_MS), Some(new.build_key()));
}

#[test]
fn several_builds_side_by_side_leave_the_origin_unknown() {
    let listed = [endpoint("1", "a", "v1"), endpoint("2", "a", "v2"), endpoint("3", "b", "v1")];
    let builds = builds(&listed);
    assert_eq!(builds.only_build("a", NOW + 10 * MINUTE_MS), None);
    assert_eq!(builds.only_build("b", NOW), Some(listed[2].build_key()));
    assert_eq!(builds.name("a", listed[1].build_key()).map(|it| &**it), Some("v2"));
    assert_eq!(builds.name("b", listed[1].build_key()), None);
}

/// Six of ten gateways are killed at once; a survivor asks the ten that it prefers.
#[test]
fn most_streams_are_known_after_most_gateways_were_killed() {
    for count in [8, 59, 340] {
        let survives = |it: &Ipv4Addr| hash64(&it.octets()) % 10 < 4;
        let mut known = 0;
        for attempt in 0..1_000 {
            let attempt = hash64(&u64::to_le_bytes(attempt));
            let remembering = holders(attempt, gateways(count), 3);
            let asked = holders(attempt, gateways(count).filter(survives), 10);
            known += u32::from(remembering.iter().any(|it| asked.contains(it)));
        }
        assert!(known > 600, "{known} of 1000 streams known with {count} gateways");
    }
}
