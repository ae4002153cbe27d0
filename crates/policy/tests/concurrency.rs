//! Requests in flight at endpoints that must not have to refuse many.

use std::net::Ipv4Addr;

use mimosaledge_core::Millis;
use mimosaledge_policy::{
    concurrency::{Capacity, Concurrency, Holder},
    permits::Decision,
};

const ENDPOINT: u64 = 5;
const CAPACITY: Capacity = Capacity { slots: 6, max_refusals: 4 };
/// Time in which a request ends at the latest, in milliseconds.
const TTL_MS: u64 = 1_500;

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => { $( #[test] fn $name() { $body; } )* };
}

// Guards against more requests in flight at a brittle endpoint than it runs (LIMIT), and against
// slots that are lost with a gateway or a datagram.
cases! {
    burst_of_many_gateways_fills_the_slots_only => burst_case();
    slot_is_free_after_its_request => release_case();
    slot_of_a_lost_gateway_is_free_after_the_deadline => expiry_case();
    refusals_stop_admission_until_a_second_has_passed => refusal_case();
    new_issuer_admits_nothing_at_first => takeover_case();
    permit_that_is_returned_twice_frees_one_slot => repeated_case();
}

fn holder(number: u32) -> Holder {
    (Ipv4Addr::new(10, 0, 0, (number % 87) as u8), number)
}

fn request(concurrency: &mut Concurrency, number: u32, ms: u64) -> Decision {
    concurrency.request(ENDPOINT, CAPACITY, holder(number), TTL_MS, Millis(0), Millis(ms))
}

fn count_issued(concurrency: &mut Concurrency, numbers: std::ops::Range<u32>, ms: u64) -> usize {
    numbers.filter(|it| request(concurrency, *it, ms) == Decision::Issued).count()
}

fn burst_case() {
    let mut concurrency = Concurrency::default();
    assert_eq!(count_issued(&mut concurrency, 0..500, 10), 6);
}

fn release_case() {
    let mut concurrency = Concurrency::default();
    assert_eq!(count_issued(&mut concurrency, 0..6, 10), 6);
    concurrency.release(ENDPOINT, holder(2), false, Millis(30));
    assert_eq!(count_issued(&mut concurrency, 10..20, 30), 1);
}

fn expiry_case() {
    let mut concurrency = Concurrency::default();
    assert_eq!(count_issued(&mut concurrency, 0..10, 10), 6);
    assert_eq!(count_issued(&mut concurrency, 10..20, 9 + TTL_MS), 0);
    assert_eq!(count_issued(&mut concurrency, 20..30, 10 + TTL_MS), 6);
}

fn refusal_case() {
    let mut concurrency = Concurrency::default();
    assert_eq!(count_issued(&mut concurrency, 0..4, 10), 4);
    for (number, ms) in [(0, 20), (1, 40)] {
        concurrency.release(ENDPOINT, holder(number), true, Millis(ms));
    }
    assert_eq!(request(&mut concurrency, 10, 50), Decision::Denied(970));
    assert_eq!(request(&mut concurrency, 11, 1_019), Decision::Denied(1));
    assert_eq!(request(&mut concurrency, 12, 1_020), Decision::Issued);
}

fn takeover_case() {
    let mut concurrency = Concurrency::default();
    let start = Millis(2_000);
    let decision = concurrency.request(ENDPOINT, CAPACITY, holder(0), TTL_MS, start, Millis(1_500));
    assert_eq!(decision, Decision::Denied(500));
}

fn repeated_case() {
    let mut concurrency = Concurrency::default();
    assert_eq!(count_issued(&mut concurrency, 0..6, 10), 6);
    for _ in 0..3 {
        concurrency.release(ENDPOINT, holder(2), false, Millis(30));
    }
    assert_eq!(count_issued(&mut concurrency, 10..20, 30), 1);
}
