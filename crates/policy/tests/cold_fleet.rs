//! Many gateways that all want the same cold endpoint, while their views of each other and of the
//! endpoint differ.

use std::net::Ipv4Addr;

use mimosaledge_core::Millis;
use mimosaledge_policy::{
    issuers::Issuers,
    permits::{Claim, Decision, Permits},
    slow_start::{Pace, Warmup, permit_rate},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const ENDPOINT: u64 = 77;
/// The endpoint stays cold for long, so that issuers change meanwhile.
const PACE: Pace = Pace { duration_ms: 12_000, rate: 14.0 };
/// Requests that may arrive in a second: one and a half times the rate, and five.
const MAX_ARRIVALS: usize = 26;
/// When the endpoint is back.
const COLD_FROM: Millis = Millis(20_000);
const TICK_MS: u64 = 5;
/// Requests per second that gateways send to the endpoint while they do not know that it is cold:
/// its part of the service's.
const USUAL_PER_S: f64 = 6.0;
/// Requests per second that they want to send to it when they know, since it is the emptiest.
const WANTED_PER_S: f64 = 60.0;
/// Longest time until a gateway learns that the endpoint is cold: by a datagram, or, if that is
/// lost, from the list.
const NEWS_MS: (u64, u64) = (60, 1_200);
/// Share of lost datagrams.
const LOSS: f64 = 0.1;
/// Time until gateways notice that others are silent, in milliseconds.
const DETECTION_MS: std::ops::Range<u64> = 1_800..5_000;
/// Longest time from a permit to its request, in milliseconds.
const MAX_UNUSED_MS: u64 = 100;

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => { $( #[test] fn $name() { $body; } )* };
}

// Guards against more requests in a second than a cold endpoint stands, from all gateways
// together, in touch or not (FAILBACK).
cases! {
    ninety_gateways_that_learn_of_it_late => all_times(90, Split::None);
    three_hundred_and_forty_gateways_that_learn_of_it_late => all_times(340, Split::None);
    half_of_ninety_gateways_cut_off => all_times(90, Split::Groups(2));
    half_of_three_hundred_and_forty_gateways_cut_off => all_times(340, Split::Groups(2));
    gateways_in_three_groups => all_times(90, Split::Groups(3));
    gateways_in_many_groups => all_times(90, Split::Groups(30));
    issuer_of_ninety_cut_off => all_times(90, Split::Issuer);
    issuer_of_three_hundred_and_forty_cut_off => all_times(340, Split::Issuer);
    issuer_of_ninety_frozen => all_times(90, Split::FrozenIssuer);
    every_gateway_alone_sends_nothing_to_it => alone_case();
}

/// Which gateways cannot hear each other for a while.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Split {
    None,
    /// All, but those of the same one of so many groups.
    Groups(usize),
    /// The issuer and the others.
    Issuer,
    /// As `Issuer`; the issuer does nothing meanwhile.
    FrozenIssuer,
}

struct Gateway {
    address: Ipv4Addr,
    group: usize,
    issuers: Issuers,
    permits: Permits,
    warmup: Warmup,
    learns_at: Millis,
    notices_at: Millis,
    heard: usize,
}

struct Fleet {
    gateways: Vec<Gateway>,
    arrivals: Vec<Millis>,
    issued: usize,
    random: Pcg64,
}

fn address(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (index / 200) as u8, (index % 200) as u8 + 1)
}

impl Fleet {
    fn new(count: usize, split: Split, split_at: Millis) -> Fleet {
        let mut random = Pcg64::seed_from_u64(split_at.0);
        let all: Vec<Ipv4Addr> = (0..count).map(address).collect();
        let mut first = Issuers::new(all[0], Millis(0));
        first.update(all.clone(), |_| false, Millis(0));
        let issuer = first.issuer(ENDPOINT);
        let gateways = all.iter().enumerate().map(|(index, address)| {
            let mut issuers = Issuers::new(*address, Millis(0));
            issuers.update(all.clone(), |_| false, Millis(0));
            let mut warmup = Warmup::default();
            warmup.set_pace(Some(PACE));
            let news_ms = if random.random_bool(LOSS) { NEWS_MS.1 } else { NEWS_MS.0 };
            Gateway {
                address: *address,
                group: match split {
                    Split::None => 0,
                    Split::Groups(groups) => index % groups,
                    Split::Issuer | Split::FrozenIssuer => usize::from(*address == issuer),
                },
                issuers,
                permits: Permits::default(),
                warmup,
                learns_at: COLD_FROM + random.random_range(0..news_ms),
                notices_at: split_at + random.random_range(DETECTION_MS),
                heard: count,
            }
        });
        let gateways = gateways.collect();
        Fleet { gateways, arrivals: Vec::new(), issued: 0, random }
    }

    /// Gives a gateway a view of the others: all, or those of its group.
    fn set_view(&mut self, index: usize, is_split: bool, now: Millis) {
        let group = self.gateways[index].group;
        let in_view = |it: &&Gateway| !is_split || it.group == group;
        let view: Vec<Ipv4Addr> =
            self.gateways.iter().filter(in_view).map(|it| it.address).collect();
        self.gateways[index].heard = view.len();
        self.gateways[index].issuers.update(view, |_| false, now);
    }

    /// Sends a request of the gateway `index` to the endpoint if it may.
    fn request(&mut self, index: usize, is_split: bool, is_frozen: bool, now: Millis) {
        let asker = &mut self.gateways[index];
        if !asker.warmup.is_cold(now) {
            self.arrivals.push(now);
            return;
        }
        let (issuer, group, known) =
            (asker.issuers.issuer(ENDPOINT), asker.group, self.gateways.len());
        let Some(issuer) = self.gateways.iter_mut().find(|it| it.address == issuer) else { return };
        let is_heard = issuer.group == group || !is_split;
        let Some(from) = issuer.issuers.own_start(ENDPOINT) else { return };
        if !is_heard || (is_frozen && issuer.group == 1) {
            return;
        }
        if !issuer.warmup.is_cold(now) {
            issuer.warmup.find(now);
        }
        let Some(rate) = permit_rate(PACE.rate, issuer.heard, known) else { return };
        let from = from.max(issuer.warmup.cold_from());
        let decision = issuer.permits.request(ENDPOINT, rate, Claim::Preferred, from, now);
        if decision == Decision::Issued {
            self.issued += 1;
            self.arrivals.push(now + self.random.random_range(0..MAX_UNUSED_MS));
        }
    }

    fn run(&mut self, split: Split, split_at: Millis, healed_at: Millis) {
        let count = self.gateways.len();
        for ms in (COLD_FROM.0 - 12_000..COLD_FROM.0 + PACE.duration_ms).step_by(TICK_MS as usize) {
            let now = Millis(ms);
            let is_split = split != Split::None && now >= split_at && now < healed_at;
            let is_frozen = is_split && split == Split::FrozenIssuer;
            for index in 0..count {
                let gateway = &mut self.gateways[index];
                let is_awake = !(is_frozen && gateway.group == 1);
                if now >= gateway.learns_at && !gateway.warmup.is_cold(now) {
                    gateway.warmup.find(now);
                }
                let is_due = |at: Millis| now >= at && now.since(at) < TICK_MS;
                if is_split && is_awake && is_due(gateway.notices_at) {
                    self.set_view(index, true, now);
                } else if split != Split::None && is_due(healed_at) {
                    if split == Split::FrozenIssuer && gateway.group == 1 {
                        gateway.issuers.restart(now);
                    }
                    gateway.notices_at = healed_at + self.random.random_range(0..1_300);
                    self.set_view(index, false, now);
                }
            }
            let per_s = if now < COLD_FROM { 0.0 } else { WANTED_PER_S };
            if self.random.random_bool(per_s * TICK_MS as f64 / 1_000.0) {
                let index = self.random.random_range(0..count);
                let knows = self.gateways[index].warmup.is_cold(now);
                if knows || self.random.random_bool(USUAL_PER_S / WANTED_PER_S) {
                    self.request(index, is_split, is_frozen, now);
                }
            }
        }
    }

    /// Returns the greatest number of requests that arrive in a second.
    fn peak(&mut self) -> usize {
        self.arrivals.sort_unstable();
        let in_window = |(at, first): (usize, &Millis)| {
            self.arrivals[at..].iter().take_while(|it| it.since(*first) < 1_000).count()
        };
        self.arrivals.iter().enumerate().map(in_window).max().unwrap_or_default()
    }
}

/// Plays the split at several times before and after the endpoint is back.
fn all_times(count: usize, split: Split) {
    for before_ms in [0, 1_000, 2_000, 3_000, 4_000, 6_000, 8_000] {
        for length_ms in [3_000, 6_000, 12_000] {
            let split_at = Millis(COLD_FROM.0 - before_ms);
            let mut fleet = Fleet::new(count, split, split_at);
            fleet.run(split, split_at, split_at + length_ms);
            let peak = fleet.peak();
            assert!(peak <= MAX_ARRIVALS, "{peak}, split {before_ms} ms before for {length_ms} ms");
            assert!(peak > 0);
        }
    }
}

fn alone_case() {
    let split_at = Millis(COLD_FROM.0 - 8_000);
    let split = Split::Groups(90);
    let mut fleet = Fleet::new(90, split, split_at);
    fleet.run(split, split_at, split_at + 30_000);
    assert_eq!(fleet.issued, 0);
    assert!(fleet.peak() <= MAX_ARRIVALS);
}
