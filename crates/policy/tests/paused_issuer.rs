//! A gateway that issues permits and is paused, while another one takes over.

use std::net::Ipv4Addr;

use mimosaledge_core::Millis;
use mimosaledge_policy::issuers::{Issuers, TAKEOVER_MS};

const ENDPOINT: u64 = 77;
/// Time after which others notice that a gateway is silent, in milliseconds.
const DETECTION_MS: u64 = 1_800;
/// Time after which a gateway hears others again, and they hear it, in milliseconds.
const HEARTBEAT_MS: u64 = 900;

fn gateways() -> Vec<Ipv4Addr> {
    (1..=5).map(|it| Ipv4Addr::new(10, 1, 0, it)).collect()
}

/// The view of the gateway that issues permits, and those of the others, at the time 0.
fn views() -> (Issuers, Vec<Issuers>) {
    let mut views: Vec<Issuers> = Vec::new();
    for own in gateways() {
        let mut issuers = Issuers::new(own, Millis(0));
        issuers.update(gateways(), |_| false, Millis(0));
        views.push(issuers);
    }
    let first = views.iter_mut().position(|it| it.own_start(ENDPOINT).is_some()).unwrap();
    (views.remove(first), views)
}

#[test]
fn issuer_that_was_paused_waits_until_its_successor_has_stopped() {
    for pause_ms in [4_500, 6_000, 20_000] {
        let (mut paused, mut others) = views();
        let address = gateways().into_iter().find(|it| paused.issuer(ENDPOINT) == *it).unwrap();
        let paused_at = Millis(10_000);
        let noticed = paused_at + DETECTION_MS;
        let rest: Vec<Ipv4Addr> = gateways().into_iter().filter(|it| *it != address).collect();
        let mut taken_over = Vec::new();
        for view in &mut others {
            view.update(rest.clone(), |_| false, noticed);
            taken_over.extend(view.own_start(ENDPOINT));
        }
        assert_eq!(taken_over, [noticed + TAKEOVER_MS], "one successor");
        let woken = paused_at + pause_ms;
        let is_stopped = woken + HEARTBEAT_MS;
        paused.restart(woken);
        let start = paused.own_start(ENDPOINT).unwrap();
        assert!(start >= is_stopped, "both issue permits for {} ms", is_stopped.since(start));
        for view in &mut others {
            view.update(gateways(), |_| false, is_stopped);
            assert_eq!(view.own_start(ENDPOINT), None);
        }
    }
}

#[test]
fn issuer_that_was_paused_issues_no_first_permit_at_once() {
    let (mut paused, _) = views();
    let woken = Millis(50_000);
    paused.restart(woken);
    assert_eq!(paused.own_start(ENDPOINT), Some(woken + TAKEOVER_MS));
}
