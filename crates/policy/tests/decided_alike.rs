//! What gateways decide alike without a message. Builds that run side by side must agree on
//! it, so these values are those of earlier builds.

use std::net::Ipv4Addr;

use mimosaledge_core::{
    Millis,
    hash::{hash32, hash64, rendezvous_score},
};
use mimosaledge_policy::{
    Endpoint, EndpointState,
    endpoints::{Change, Endpoints},
    issuers::Issuers,
    membership::ring_position,
    stream_origins,
};

const NOW: Millis = Millis(1_000_000);

fn gateway(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, 0, number)
}

fn gateways() -> impl Iterator<Item = Ipv4Addr> {
    (1..=9).map(gateway)
}

fn endpoint(id: &str, state: EndpointState, started_ms: Option<u64>) -> Endpoint {
    Endpoint {
        id: id.into(),
        started_ms,
        service: "app".into(),
        address: "10.4.64.47:8120".parse().unwrap(),
        build: "v1".into(),
        data_centre: "hall-1".into(),
        slots: 16,
        state,
    }
}

#[test]
fn hashes() {
    assert_eq!(hash64(b"gateway"), 0x7bec9605f8dc863d);
    assert_eq!(hash32(b"gateway"), 0xf8dc863d);
    let score = rendezvous_score(77, 0x1122_3344, 1.0);
    assert_eq!(score.to_bits(), 0x400402d0c8937a97);
}

#[test]
fn order_on_the_ring() {
    let mut order: Vec<Ipv4Addr> = gateways().collect();
    order.sort_unstable_by_key(|it| ring_position(*it));
    assert_eq!(
        order.iter().map(|it| it.octets()[3]).collect::<Vec<_>>(),
        [4, 3, 8, 9, 1, 2, 7, 5, 6]
    );
    assert_eq!(ring_position(gateway(1)), 0x956bc4031f278e7e);
}

#[test]
fn issuers_of_permits() {
    let mut issuers = Issuers::new(gateway(1), NOW);
    issuers.update(gateways().collect(), |_| false, NOW);
    let chosen: Vec<u8> = (0..8).map(|it| issuers.issuer(it * 1_000).octets()[3]).collect();
    assert_eq!(chosen, [1, 4, 6, 2, 7, 8, 2, 9]);
}

#[test]
fn holders_of_stream_origins() {
    let chosen = stream_origins::holders(0xabcd, gateways(), 3);
    assert_eq!(chosen.iter().map(|it| it.octets()[3]).collect::<Vec<_>>(), [4, 1, 8]);
}

#[test]
fn digest_of_a_list() {
    let mut list = Endpoints::default();
    for it in [
        endpoint("i-1", EndpointState::Ready, Some(1_770_000_000_123)),
        endpoint("i-2", EndpointState::Draining, None),
    ] {
        list.apply(Change::Upsert(it), NOW);
    }
    assert_eq!(list.digest(), 0x723761774c2ed56b);
}

#[test]
fn key_of_a_build() {
    assert_eq!(endpoint("i-1", EndpointState::Ready, None).build_key(), 0x5b7385e658055453);
}
