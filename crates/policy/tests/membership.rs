//! Failure detection in a simulated fleet, in virtual time and with datagram
//! loss.

use std::net::Ipv4Addr;

use mimosaledge_core::Millis;
use mimosaledge_policy::{
    PolicySettings,
    membership::{FailureReport, Membership},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Maximum heartbeat traffic of one gateway, sent and received, in bytes per
/// second.
const MAX_TRAFFIC_PER_S: u64 = 11_000;
/// Payload of a heartbeat that carries eight loads, in bytes.
const HEARTBEAT_BYTES: usize = 96;
/// Bytes of IP and UDP headers per datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;
/// Share of datagrams that are lost.
const DATAGRAM_LOSS: f64 = 0.02;
/// Time within which nearly all gateways detect a failure, in milliseconds.
const DETECTION_MS: u64 = 7_000;
/// Time after a loss from which no directory may name a lost gateway, in milliseconds.
const FORGETTING_MS: u64 = 6_000;
/// Time within which gateways that start together discover each other, in
/// milliseconds.
const DISCOVERY_MS: u64 = 45_000;

fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, (number / 250) as u8, (number % 250) as u8 + 1)
}

struct Gateway {
    membership: Membership,
    round: u64,
    next_round: u64,
    alive: bool,
    sent_bytes: u64,
    received_bytes: u64,
}

struct Fleet {
    gateways: Vec<Gateway>,
    now: u64,
    random: Pcg64,
}

impl Fleet {
    /// Starts gateways that have each other's addresses from the store.
    fn start(count: usize) -> Fleet {
        let gateways = (0..count)
            .map(|number| {
                let mut membership =
                    Membership::new(address(number), PolicySettings::default().mesh_peers);
                (0..count).for_each(|it| membership.add(address(it), Millis(0)));
                let next_round = number as u64 % 400;
                Gateway {
                    membership,
                    round: 0,
                    next_round,
                    alive: true,
                    sent_bytes: 0,
                    received_bytes: 0,
                }
            })
            .collect();
        Fleet { gateways, now: 0, random: Pcg64::seed_from_u64(5) }
    }

    fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            for at in 0..self.gateways.len() {
                if self.gateways[at].alive && self.gateways[at].next_round <= self.now {
                    self.send_heartbeats(at);
                }
            }
            self.now += 10;
        }
    }

    fn send_heartbeats(&mut self, at: usize) {
        let now = Millis(self.now);
        let gateway = &mut self.gateways[at];
        let recipients = gateway.membership.recipients(gateway.round, HEARTBEAT_BYTES, now);
        let report = gateway.membership.failure_report(now);
        gateway.round += 1;
        gateway.next_round = self.now + gateway.membership.round_interval_ms();
        let bytes = HEARTBEAT_BYTES as u64 + DATAGRAM_HEADER_BYTES;
        gateway.sent_bytes += bytes * recipients.len() as u64;
        for to in recipients {
            let [_, _, high, low] = to.octets();
            let to = &mut self.gateways[usize::from(high) * 250 + usize::from(low) - 1];
            if !to.alive || self.random.random_bool(DATAGRAM_LOSS) {
                continue;
            }
            to.received_bytes += bytes;
            to.membership.record_heartbeat(address(at), now);
            to.membership.apply_report(&report, address(at), now);
        }
    }

    /// Returns the share of the other live gateways that regard gateway
    /// `subject` as alive.
    fn share_regarding_alive(&self, subject: usize) -> f64 {
        let others =
            || self.gateways.iter().enumerate().filter(|(at, it)| *at != subject && it.alive);
        let regarding_alive =
            others().filter(|(_, it)| it.membership.is_alive(address(subject), Millis(self.now)));
        regarding_alive.count() as f64 / others().count() as f64
    }

    fn max_traffic(&self) -> u64 {
        self.gateways.iter().map(|it| it.sent_bytes + it.received_bytes).max().unwrap()
    }
}

macro_rules! fleets {
    ($($name:ident => $count:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_failures_are_detected($count);
        }
    )*};
}

fleets! {
    failures_are_detected_among_8_gateways => 8;
    failures_are_detected_among_60_gateways => 60;
    failures_are_detected_among_340_gateways => 340;
}

fn assert_failures_are_detected(count: usize) {
    let mut fleet = Fleet::start(count);
    fleet.run_for(DISCOVERY_MS);
    for at in 0..count {
        assert!(
            fleet.share_regarding_alive(at) > 0.98,
            "{} regard {at} as alive",
            fleet.share_regarding_alive(at)
        );
    }
    let dead: Vec<usize> = (0..count).filter(|it| it % 5 == 3).collect();
    dead.iter().for_each(|it| fleet.gateways[*it].alive = false);
    fleet.run_for(DETECTION_MS);
    let undetected: f64 =
        dead.iter().map(|it| fleet.share_regarding_alive(*it)).sum::<f64>() / dead.len() as f64;
    assert!(undetected < 0.05, "{undetected} of the others have not detected a failure");
    let live: Vec<f64> =
        (0..count).filter(|it| it % 5 != 3).map(|it| fleet.share_regarding_alive(it)).collect();
    assert!(live.iter().sum::<f64>() / live.len() as f64 > 0.98);
}

macro_rules! losses {
    ($($name:ident => $count:expr, $lost:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_lost_are_forgotten($count, $lost);
        }
    )*};
}

losses! {
    lost_gateway_of_9_is_forgotten => 9, 1;
    lost_gateways_of_9_are_forgotten => 9, 6;
    lost_gateway_of_90_is_forgotten => 90, 1;
    lost_gateways_of_90_are_forgotten => 90, 54;
    lost_gateway_of_340_is_forgotten => 340, 1;
    lost_gateways_of_340_are_forgotten => 340, 68;
    most_gateways_of_340_are_forgotten => 340, 204;
}

fn assert_lost_are_forgotten(count: usize, lost: usize) {
    let mut fleet = Fleet::start(count);
    fleet.run_for(DISCOVERY_MS);
    let lost: Vec<usize> = (0..lost).map(|it| it * count / lost).collect();
    lost.iter().for_each(|it| fleet.gateways[*it].alive = false);
    fleet.run_for(FORGETTING_MS);
    for at in lost {
        let share = fleet.share_regarding_alive(at);
        assert_eq!(share, 0.0, "{share} of the others still regard {at} as alive");
    }
}

#[test]
fn traffic_of_a_large_fleet_is_bounded() {
    for count in [150, 340] {
        let mut fleet = Fleet::start(count);
        fleet.run_for(DISCOVERY_MS);
        let before = fleet.max_traffic();
        fleet.run_for(20_000);
        let per_s = (fleet.max_traffic() - before) / 20;
        assert!(per_s < MAX_TRAFFIC_PER_S, "{per_s} bytes per second with {count} gateways");
    }
}

#[test]
fn two_reports_mark_a_gateway_dead_until_its_next_heartbeat() {
    let mut members = Membership::new(address(0), PolicySettings::default().mesh_peers);
    members.record_heartbeat(address(1), Millis(100));
    let report = FailureReport { suspected: vec![address(1)], dead: Vec::new() };
    members.apply_report(&report, address(2), Millis(200));
    assert!(members.is_alive(address(1), Millis(300)), "one report is not enough");
    members.apply_report(&report, address(2), Millis(250));
    assert!(members.is_alive(address(1), Millis(300)), "nor are two reports by one gateway");
    members.apply_report(&report, address(3), Millis(260));
    assert!(!members.is_alive(address(1), Millis(300)));
    members.record_heartbeat(address(1), Millis(400));
    assert!(members.is_alive(address(1), Millis(400)));
}

// Guards against directories that name a lost gateway since others still name it.
#[test]
fn gateway_that_others_name_is_not_alive_before_its_heartbeat() {
    let mut members = Membership::new(address(0), PolicySettings::default().mesh_peers);
    members.record_heartbeat(address(1), Millis(0));
    let silent = Millis(30_000);
    for named in [address(1), address(2)] {
        members.add(named, silent);
        assert!(!members.is_alive(named, silent));
    }
    members.record_heartbeat(address(1), silent);
    assert!(members.is_alive(address(1), silent));
}

#[test]
fn silent_gateway_is_removed() {
    let mut members = Membership::new(address(0), PolicySettings::default().mesh_peers);
    members.add(address(1), Millis(0));
    members.record_heartbeat(address(2), Millis(50_000));
    assert_eq!(members.remove_silent(Millis(60_000)), [address(1)]);
    assert!(members.remove_silent(Millis(100_000)).is_empty());
}

// Guards against more retries than allowed because gateways that do not hear each other
// divide the allowance by the number of those they hear.
#[test]
fn silent_gateways_keep_their_share_of_the_retry_budget() {
    let mut membership = Membership::new(address(0), PolicySettings::default().mesh_peers);
    for number in 1..8 {
        membership.record_heartbeat(address(number), Millis(0));
    }
    let now = Millis(30_000);
    assert_eq!(membership.alive(now).count(), 0);
    assert_eq!(membership.known_count(), 7);
    membership.remove_silent(Millis(60_000));
    assert_eq!(membership.known_count(), 0);
}
