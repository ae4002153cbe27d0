//! Which builds of a service count, and what a process that has just started may take for known.

use std::net::{Ipv4Addr, SocketAddrV4};

use mimosaledge_core::Millis;
use mimosaledge_policy::{BuildId, Endpoint, EndpointState, builds::Builds};

/// Time for which a build counts after its last endpoint has left, in milliseconds.
const RETENTION_MS: u64 = 60_000;

fn id(build: &str) -> BuildId {
    BuildId { service: "app".into(), build: build.into() }
}

fn endpoint(build: &str) -> Endpoint {
    Endpoint {
        id: format!("i-{build}").into(),
        started_ms: Some(1),
        service: "app".into(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 80),
        build: build.into(),
        data_centre: "hall-1".into(),
        slots: 8,
        state: EndpointState::Ready,
    }
}

fn record(builds: &mut Builds, listed: &[&str], now: u64) {
    let endpoints: Vec<Endpoint> = listed.iter().map(|it| endpoint(it)).collect();
    builds.record(endpoints.iter(), Millis(now));
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                $body
            }
        )*
    };
}

// Guards against a process that takes the build it finds for the only one there has been (ORDER).
cases! {
    first_process_knows_the_only_build => {
        let mut builds = Builds::new(true);
        record(&mut builds, &["v1"], 0);
        assert_eq!(builds.only_build("app", Millis(0)), Some(id("v1").key()));
    };
    later_process_does_not_know_what_has_left => {
        let mut builds = Builds::new(false);
        record(&mut builds, &["v2"], 0);
        assert_eq!(builds.only_build("app", Millis(0)), None);
    };
    build_that_is_recorded_alone_is_the_only_one => {
        let mut builds = Builds::new(false);
        record(&mut builds, &["v2"], 0);
        builds.remember(&id("v2"), Millis(0));
        assert_eq!(builds.only_build("app", Millis(0)), Some(id("v2").key()));
    };
    build_that_is_recorded_and_not_listed_counts_for_a_while => {
        let mut builds = Builds::new(false);
        record(&mut builds, &["v2"], 0);
        builds.remember(&id("v2"), Millis(0));
        builds.remember(&id("v1"), Millis(500));
        assert_eq!(builds.only_build("app", Millis(RETENTION_MS)), None);
        assert_eq!(builds.recent(Millis(0)), [id("v1"), id("v2")].into());
        let later = Millis(RETENTION_MS + 500);
        assert_eq!(builds.only_build("app", later), Some(id("v2").key()));
        assert_eq!(builds.recent(later), [id("v2")].into());
    };
    record_that_is_read_before_the_list_counts_as_well => {
        let mut builds = Builds::new(false);
        builds.remember(&id("v1"), Millis(0));
        record(&mut builds, &["v2"], 500);
        assert_eq!(builds.only_build("app", Millis(500)), None);
    };
    record_does_not_make_a_listed_build_leave => {
        let mut builds = Builds::new(false);
        record(&mut builds, &["v1"], 0);
        builds.remember(&id("v1"), Millis(0));
        let later = Millis(2 * RETENTION_MS);
        assert_eq!(builds.recent(later), [id("v1")].into());
    };
    records_of_another_service_say_nothing => {
        let mut builds = Builds::new(false);
        record(&mut builds, &["v1"], 0);
        builds.remember(&BuildId { service: "desk".into(), build: "v1".into() }, Millis(0));
        assert_eq!(builds.only_build("app", Millis(0)), None);
    };
    // Guards against a record from which a third process concludes that there was no other
    // build (ORDER).
    process_that_does_not_know_all_builds_records_none => {
        let mut builds = Builds::new(false);
        record(&mut builds, &["v2"], 0);
        assert!(builds.recordable(Millis(0)).is_empty());
        assert_eq!(builds.recordable(Millis(RETENTION_MS)), [id("v2")].into());
        builds.remember(&id("v1"), Millis(500));
        assert_eq!(builds.recordable(Millis(500)), [id("v1"), id("v2")].into());
    };
    process_that_has_run_for_long_knows_by_itself => {
        let mut builds = Builds::new(false);
        record(&mut builds, &["v1"], 1_000);
        assert_eq!(builds.only_build("app", Millis(RETENTION_MS)), None);
        let known = builds.only_build("app", Millis(RETENTION_MS + 1_000));
        assert_eq!(known, Some(id("v1").key()));
    };
}
