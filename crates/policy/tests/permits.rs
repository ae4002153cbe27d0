//! Rate limits that many gateways share, whose views of each other differ.

use std::{collections::HashSet, net::Ipv4Addr};

use assert_matches::assert_matches;
use mimosaledge_core::Millis;
use mimosaledge_policy::{
    issuers::{Issuers, TAKEOVER_MS},
    permits::{Claim, Decision, MeanSize, Permits, RequestSize},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Endpoint whose permits are shared.
const ENDPOINT: u64 = 77;
/// Requests per second that it accepts.
const RATE: f64 = 4.0;
/// Time of which each window is checked, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Duration of one simulation, in milliseconds.
const DURATION_MS: u64 = 40_000;
/// Time after which the first gateways issue permits, in milliseconds.
const START_MS: u64 = TAKEOVER_MS + 1_000;
/// Time within which a gateway learns that another one is ready, in milliseconds.
const JOIN_DELAY_MS: u64 = 1_300;
/// Interval at which any gateway stops or starts, in milliseconds.
const CHURN_MS: u64 = 1_200;
/// Interval at which the gateway that issues the permits stops or starts, in milliseconds.
const ISSUER_CHURN_MS: u64 = 9_000;
/// Time within which a gateway learns that another one has failed, in milliseconds.
const FAILURE_DELAY_MS: u64 = 5_000;

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => { $( #[test] fn $name() { $body; } )* };
}

// Guards against limits that add up to more than an endpoint accepts, or that are not used,
// however many gateways share them and however their views differ (LIMIT).
cases! {
    eight_gateways_share_a_rate_exactly => steady_case(8);
    eighty_seven_gateways_share_a_rate_exactly => steady_case(87);
    three_hundred_and_forty_gateways_share_a_rate_exactly => steady_case(340);
    eight_gateways_that_come_and_go_stay_within_the_limit => churn_case(8);
    eighty_seven_gateways_that_come_and_go_stay_within_the_limit => churn_case(87);
    gateways_that_start_together_stay_within_the_limit => joint_start_case();
    gateways_that_lose_sight_of_the_issuer_stay_within_the_limit => flapping_case();
    gateway_that_alone_wants_permits_gets_all => lone_demand_case();
    idle_endpoint_saves_few_permits => idle_case();
    leftover_permits_go_to_spare_claims => spare_case();
    successor_of_a_stopped_gateway_issues_at_once => resignation_case();
    denied_request_is_told_when_the_next_permit_is_issued => retry_case();
    requests_are_compared_to_the_mean_size => size_case();
}

/// A gateway with its own view of the others.
struct Gateway {
    address: Ipv4Addr,
    is_running: bool,
    issuers: Issuers,
    permits: Permits,
}

impl Gateway {
    fn new(index: usize, now: Millis) -> Gateway {
        let address = address(index);
        let issuers = Issuers::new(address, now);
        Gateway { address, is_running: true, issuers, permits: Permits::default() }
    }

    fn decide(&mut self, now: Millis) -> Decision {
        match self.issuers.own_start(ENDPOINT) {
            Some(from) => self.permits.request(ENDPOINT, RATE, Claim::Preferred, from, now),
            None => Decision::Denied(250),
        }
    }
}

fn address(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (index / 200) as u8, (index % 200) as u8 + 1)
}

struct Fleet {
    gateways: Vec<Gateway>,
    /// Changes of views to come: when, which gateway learns it, of which, and whether that
    /// one is ready.
    news: Vec<(Millis, usize, usize, bool)>,
    /// The gateways that each one believes to be ready.
    views: Vec<HashSet<usize>>,
    issued: Vec<Millis>,
    random: Pcg64,
}

impl Fleet {
    fn new(gateways: usize) -> Fleet {
        let all: HashSet<usize> = (0..gateways).collect();
        let mut fleet = Fleet {
            gateways: (0..gateways).map(|it| Gateway::new(it, Millis(0))).collect(),
            news: Vec::new(),
            views: vec![all; gateways],
            issued: Vec::new(),
            random: Pcg64::seed_from_u64(29),
        };
        for index in 0..gateways {
            fleet.update_view(index, Millis(0));
        }
        fleet
    }

    fn update_view(&mut self, index: usize, now: Millis) {
        let view: Vec<Ipv4Addr> = self.views[index].iter().map(|it| address(*it)).collect();
        self.gateways[index].issuers.update(view, |_| false, now);
    }

    /// Sends one request at the gateway `index`, which asks for a permit.
    fn request(&mut self, index: usize, now: Millis) -> Decision {
        let issuer = self.gateways[index].issuers.issuer(ENDPOINT);
        let Some(issuer) = self.gateways.iter_mut().find(|it| it.address == issuer) else {
            return Decision::Denied(250);
        };
        if !issuer.is_running {
            return Decision::Denied(250);
        }
        let decision = issuer.decide(now);
        if decision == Decision::Issued {
            self.issued.push(now);
        }
        decision
    }

    /// Stops or starts a gateway; each of the others learns of it at some time later.
    fn toggle(&mut self, index: usize, now: Millis) {
        let starts = !self.gateways[index].is_running;
        let delay_ms = if starts { JOIN_DELAY_MS } else { FAILURE_DELAY_MS };
        self.news.retain(|(_, learner, subject, _)| *learner != index && *subject != index);
        if starts {
            self.gateways[index] = Gateway::new(index, now);
            self.views[index] = HashSet::from([index]);
            self.update_view(index, now);
        } else {
            self.gateways[index].is_running = false;
        }
        for other in (0..self.gateways.len()).filter(|it| *it != index) {
            let at = now + self.random.random_range(0..delay_ms);
            self.news.push((at, other, index, starts));
            if starts && self.gateways[other].is_running {
                let at = now + self.random.random_range(0..JOIN_DELAY_MS);
                self.news.push((at, index, other, true));
            }
        }
    }

    fn deliver_news(&mut self, now: Millis) {
        let due: Vec<_> = self.news.iter().copied().filter(|it| it.0 <= now).collect();
        self.news.retain(|it| it.0 > now);
        for (_, learner, subject, is_ready) in due {
            if is_ready {
                self.views[learner].insert(subject);
            } else {
                self.views[learner].remove(&subject);
            }
            self.update_view(learner, now);
        }
    }

    /// Returns the greatest number of permits issued in a window.
    fn peak(&self) -> usize {
        let in_window = |first: &Millis| {
            self.issued.iter().filter(|it| *it >= first && it.since(*first) < WINDOW_MS).count()
        };
        self.issued.iter().map(in_window).max().unwrap_or_default()
    }
}

/// Returns the number of requests that may arrive in a window.
fn max_arrivals() -> usize {
    (RATE * 1.5 * WINDOW_MS as f64 / 1_000.0) as usize + 5
}

fn steady_case(gateways: usize) {
    let mut fleet = Fleet::new(gateways);
    for ms in (0..DURATION_MS).step_by(20) {
        let index = fleet.random.random_range(0..gateways);
        fleet.request(index, Millis(ms));
    }
    let expected = (DURATION_MS - TAKEOVER_MS) as f64 / 1_000.0 * RATE;
    let issued = fleet.issued.len() as f64;
    assert!((expected - 2.0..=expected + 2.0).contains(&issued), "{issued} of {expected}");
    assert!(fleet.peak() <= (RATE * WINDOW_MS as f64 / 1_000.0) as usize + 2);
}

fn churn_case(gateways: usize) {
    let mut fleet = Fleet::new(gateways);
    for ms in (0..DURATION_MS).step_by(20) {
        let now = Millis(ms);
        fleet.deliver_news(now);
        if ms > START_MS && ms.is_multiple_of(CHURN_MS) {
            let any = fleet.random.random_range(0..gateways);
            fleet.toggle(any, now);
        }
        if ms > START_MS && ms.is_multiple_of(ISSUER_CHURN_MS) {
            let issuer = fleet.gateways[0].issuers.issuer(ENDPOINT);
            let issuer = fleet.gateways.iter().position(|it| it.address == issuer).unwrap();
            fleet.toggle(issuer, now);
        }
        for _ in 0..3 {
            let index = fleet.random.random_range(0..gateways);
            if fleet.gateways[index].is_running {
                fleet.request(index, now);
            }
        }
    }
    assert!(fleet.peak() <= max_arrivals(), "{} permits in {WINDOW_MS} ms", fleet.peak());
    assert!(fleet.issued.len() > 20, "{} permits", fleet.issued.len());
}

fn joint_start_case() {
    let mut fleet = Fleet::new(87);
    for ms in (0..DURATION_MS).step_by(20) {
        let now = Millis(ms);
        fleet.deliver_news(now);
        for index in 0..20 {
            if ms == START_MS * 2 {
                fleet.toggle(index, now);
                fleet.toggle(index, now);
            }
            fleet.request(index, now);
        }
    }
    assert!(fleet.peak() <= max_arrivals(), "{} permits in {WINDOW_MS} ms", fleet.peak());
}

fn flapping_case() {
    let mut fleet = Fleet::new(8);
    let issuer = fleet.gateways[0].issuers.issuer(ENDPOINT);
    let issuer = fleet.gateways.iter().position(|it| it.address == issuer).unwrap();
    for ms in (0..DURATION_MS).step_by(20) {
        let now = Millis(ms);
        if ms.is_multiple_of(2_000) || ms % 2_000 == 100 {
            for index in (0..8).filter(|it| *it != issuer) {
                fleet.news.push((now, index, issuer, ms.is_multiple_of(2_000)));
            }
        }
        fleet.deliver_news(now);
        for index in 0..8 {
            fleet.request(index, now);
        }
    }
    assert!(fleet.peak() <= max_arrivals(), "{} permits in {WINDOW_MS} ms", fleet.peak());
}

fn lone_demand_case() {
    let mut fleet = Fleet::new(340);
    for ms in (0..DURATION_MS).step_by(20) {
        fleet.request(5, Millis(ms));
    }
    let expected = (DURATION_MS - TAKEOVER_MS) as f64 / 1_000.0 * RATE;
    assert!(fleet.issued.len() as f64 >= expected - 2.0, "{} permits", fleet.issued.len());
}

fn request(permits: &mut Permits, claim: Claim, ms: u64) -> Decision {
    permits.request(ENDPOINT, RATE, claim, Millis(0), Millis(ms))
}

fn idle_case() {
    let mut permits = Permits::default();
    request(&mut permits, Claim::Preferred, 0);
    let issued =
        (0..10).filter(|_| request(&mut permits, Claim::Preferred, 20_000) == Decision::Issued);
    assert_eq!(issued.count(), 2);
}

fn spare_case() {
    let mut permits = Permits::default();
    assert_eq!(request(&mut permits, Claim::Spare, 300), Decision::Denied(200));
    assert_eq!(request(&mut permits, Claim::Preferred, 300), Decision::Issued);
    assert_eq!(request(&mut permits, Claim::Spare, 1_000), Decision::Issued);
    assert_eq!(request(&mut permits, Claim::Spare, 1_000), Decision::Denied(250));
    assert_eq!(request(&mut permits, Claim::Preferred, 1_000), Decision::Issued);
}

fn resignation_case() {
    let gateways: Vec<Ipv4Addr> = (0..8).map(address).collect();
    let issuer = {
        let mut issuers = Issuers::new(gateways[0], Millis(0));
        issuers.update(gateways.clone(), |_| false, Millis(0));
        issuers.issuer(ENDPOINT)
    };
    let rest: Vec<Ipv4Addr> = gateways.iter().copied().filter(|it| *it != issuer).collect();
    let now = Millis(10_000);
    for (has_resigned, expected) in [(true, now), (false, now + TAKEOVER_MS)] {
        let starts: Vec<Millis> = rest
            .iter()
            .filter_map(|own| {
                let mut issuers = Issuers::new(*own, Millis(0));
                issuers.update(gateways.clone(), |_| false, Millis(0));
                assert_eq!(issuers.own_start(ENDPOINT), None);
                issuers.update(rest.clone(), |it| has_resigned && it == issuer, now);
                issuers.own_start(ENDPOINT)
            })
            .collect();
        assert_eq!(starts, [expected]);
    }
}

fn retry_case() {
    let mut permits = Permits::default();
    let start = Millis(5_000);
    let Decision::Denied(wait_ms) =
        permits.request(ENDPOINT, RATE, Claim::Preferred, start, Millis(4_000))
    else {
        panic!("issued before the gateway may issue permits");
    };
    let at = Millis(4_000) + wait_ms;
    let before = Millis(4_000) + (wait_ms - 1);
    let decision = permits.request(ENDPOINT, RATE, Claim::Preferred, start, before);
    assert_matches!(decision, Decision::Denied(1..=2));
    let decision = permits.request(ENDPOINT, RATE, Claim::Preferred, start, at);
    assert_eq!(decision, Decision::Issued);
}

fn size_case() {
    let mut mean = MeanSize::default();
    assert_eq!(mean.record(300), RequestSize::Large);
    assert_eq!(mean.record(300), RequestSize::Large);
    assert_eq!(mean.record(24), RequestSize::Small);
    assert_eq!(mean.record(300), RequestSize::Large);
}
