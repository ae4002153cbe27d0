//! Heartbeats of a fleet, in virtual time and with lost datagrams.

use std::net::Ipv4Addr;

use mimosaledge_core::Millis;
use mimosaledge_policy::membership::{FailureReport, Membership};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Control traffic of one gateway, sent and received, in bytes a second.
const TRAFFIC_BOUND: u64 = 11_000;
/// Payload of a heartbeat with eight loads, in bytes.
const BEAT_BYTES: usize = 96;
/// Headers of a datagram, in bytes.
const HEADER_BYTES: u64 = 28;
/// Share of datagrams that are lost.
const LOSS: f64 = 0.02;
/// Longest time until nearly all gateways know of a death, in milliseconds.
const KNOWN_DEAD_MS: u64 = 7_000;
/// Time in which a fleet that starts at once comes to know itself.
const START_MS: u64 = 45_000;

fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, (number / 250) as u8, (number % 250) as u8 + 1)
}

struct Gateway {
    membership: Membership,
    round: u64,
    due: u64,
    alive: bool,
    sent: u64,
    received: u64,
}

struct Fleet {
    gateways: Vec<Gateway>,
    now: u64,
    random: Pcg64,
}

impl Fleet {
    /// Starts gateways that the store has named to each other.
    fn start(count: usize) -> Fleet {
        let gateways = (0..count)
            .map(|number| {
                let mut membership = Membership::new(address(number));
                (0..count).for_each(|it| membership.add(address(it), Millis(0)));
                let due = number as u64 % 400;
                Gateway { membership, round: 0, due, alive: true, sent: 0, received: 0 }
            })
            .collect();
        Fleet { gateways, now: 0, random: Pcg64::seed_from_u64(5) }
    }

    fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            for at in 0..self.gateways.len() {
                if self.gateways[at].alive && self.gateways[at].due <= self.now {
                    self.beat(at);
                }
            }
            self.now += 10;
        }
    }

    fn beat(&mut self, at: usize) {
        let now = Millis(self.now);
        let gateway = &mut self.gateways[at];
        let recipients = gateway.membership.recipients(gateway.round, BEAT_BYTES, now);
        let losses = gateway.membership.failure_report(now);
        gateway.round += 1;
        gateway.due = self.now + gateway.membership.round_interval_ms();
        let bytes = BEAT_BYTES as u64 + HEADER_BYTES;
        gateway.sent += bytes * recipients.len() as u64;
        for to in recipients {
            let [_, _, high, low] = to.octets();
            let to = &mut self.gateways[usize::from(high) * 250 + usize::from(low) - 1];
            if !to.alive || self.random.random_bool(LOSS) {
                continue;
            }
            to.received += bytes;
            to.membership.record_heartbeat(address(at), now);
            to.membership.apply_report(&losses, address(at), now);
        }
    }

    /// Returns the share of living gateways that take `of` for alive.
    fn believers(&self, of: usize) -> f64 {
        let others = || self.gateways.iter().enumerate().filter(|(at, it)| *at != of && it.alive);
        let believers =
            others().filter(|(_, it)| it.membership.is_alive(address(of), Millis(self.now)));
        believers.count() as f64 / others().count() as f64
    }

    fn traffic(&self) -> u64 {
        self.gateways.iter().map(|it| it.sent + it.received).max().unwrap()
    }
}

macro_rules! fleets {
    ($($name:ident => $count:expr;)*) => {$(
        #[test]
        fn $name() {
            live_gateways_are_known_and_dead_ones_soon_are_not($count);
        }
    )*};
}

fleets! {
    eight_gateways_know_each_other => 8;
    sixty_gateways_know_each_other => 60;
    hundreds_of_gateways_know_each_other => 340;
}

fn live_gateways_are_known_and_dead_ones_soon_are_not(count: usize) {
    let mut fleet = Fleet::start(count);
    fleet.run_for(START_MS);
    for at in 0..count {
        assert!(fleet.believers(at) > 0.98, "{} know {at}", fleet.believers(at));
    }
    let dead: Vec<usize> = (0..count).filter(|it| it % 5 == 3).collect();
    dead.iter().for_each(|it| fleet.gateways[*it].alive = false);
    fleet.run_for(KNOWN_DEAD_MS);
    let missed: f64 = dead.iter().map(|it| fleet.believers(*it)).sum::<f64>() / dead.len() as f64;
    assert!(missed < 0.05, "{missed} of the others are not told of a death");
    let live: Vec<f64> =
        (0..count).filter(|it| it % 5 != 3).map(|it| fleet.believers(it)).collect();
    assert!(live.iter().sum::<f64>() / live.len() as f64 > 0.98);
}

#[test]
fn traffic_does_not_grow_with_a_large_fleet() {
    for count in [150, 340] {
        let mut fleet = Fleet::start(count);
        fleet.run_for(START_MS);
        let before = fleet.traffic();
        fleet.run_for(20_000);
        let per_s = (fleet.traffic() - before) / 20;
        assert!(per_s < TRAFFIC_BOUND, "{per_s} bytes a second with {count} gateways");
    }
}

#[test]
fn restarted_gateway_is_alive_at_its_first_heartbeat() {
    let mut members = Membership::new(address(0));
    members.record_heartbeat(address(1), Millis(100));
    let losses = FailureReport { suspected: vec![address(1)], dead: Vec::new() };
    members.apply_report(&losses, address(2), Millis(200));
    assert!(members.is_alive(address(1), Millis(300)), "one report is not enough");
    members.apply_report(&losses, address(2), Millis(250));
    assert!(members.is_alive(address(1), Millis(300)), "nor are two by one gateway");
    members.apply_report(&losses, address(3), Millis(260));
    assert!(!members.is_alive(address(1), Millis(300)));
    members.record_heartbeat(address(1), Millis(400));
    assert!(members.is_alive(address(1), Millis(400)));
}

#[test]
fn silent_gateway_is_forgotten() {
    let mut members = Membership::new(address(0));
    members.add(address(1), Millis(0));
    members.record_heartbeat(address(2), Millis(50_000));
    assert_eq!(members.remove_silent(Millis(60_000)), [address(1)]);
    assert!(members.remove_silent(Millis(100_000)).is_empty());
}
