//! At most one steward believes that it may give orders at any moment.

use mimosaledge_core::{
    Millis,
    lease::{Action, Claim, Lease, RENEW_MS, TERM_MS},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A steward with its own place in the log and its own pauses.
struct Steward {
    lease: Lease,
    read: usize,
    paused_until: u64,
    outbox: Option<Claim>,
}

fn steward(id: u64, now: u64) -> Steward {
    let lease = Lease::new(id, Millis(now));
    Steward { lease, read: 0, paused_until: 0, outbox: None }
}

/// Runs three stewards against one log that is away at times; returns the
/// steps at which some steward could give orders.
fn run(seed: u64) -> usize {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut log: Vec<Claim> = Vec::new();
    let mut stewards: Vec<Steward> = (1..=3).map(|id| steward(id, 0)).collect();
    let mut log_back_at = 0;
    let mut held = 0;
    let mut newest_fence = 0;
    for now in (0..120_000).step_by(100) {
        if rng.random_range(0..600) == 0 {
            log_back_at = now + rng.random_range(0..15_000);
        }
        for it in stewards.iter_mut().filter(|it| now >= it.paused_until) {
            act(it, &mut log, now, now >= log_back_at, &mut rng);
            if rng.random_range(0..300) == 0 {
                it.paused_until = now + rng.random_range(0..20_000);
            }
        }
        // A paused steward may wake at any moment and act on what it believes.
        let fences: Vec<u64> =
            stewards.iter().filter_map(|it| it.lease.fence(Millis(now))).collect();
        assert!(fences.len() <= 1, "seed {seed}: two stewards may give orders at {now}");
        if let Some(&fence) = fences.first() {
            assert!(fence >= newest_fence, "seed {seed}: the fencing number went back");
            newest_fence = fence;
            held += 1;
        }
    }
    held
}

fn act(it: &mut Steward, log: &mut Vec<Claim>, now: u64, log_up: bool, rng: &mut Pcg64Mcg) {
    // A claim that was sent may reach the log late, even after an outage.
    if log_up && let Some(claim) = it.outbox.take() {
        log.push(claim);
    }
    if log_up && rng.random_range(0..3) > 0 {
        while let Some(&claim) = log.get(it.read) {
            it.lease.read(it.read as u64, claim, Millis(now));
            it.read += 1;
        }
    }
    if let Action::Append(claim) = it.lease.tick(Millis(now)) {
        it.outbox = Some(claim);
    }
}

#[test]
fn one_holder_at_a_time() {
    let held: usize = (0..200).map(run).sum();
    // The lease must be of use, too: some steward holds it most of the time.
    let steps = 200 * 1_200;
    assert!(held * 10 > steps * 5, "held for {held} of {steps} steps");
}

#[test]
fn holder_stops_before_its_term_ends() {
    let mut lease = Lease::new(1, Millis(0));
    let Action::Append(claim) = lease.tick(Millis(TERM_MS)) else { panic!("no claim") };
    lease.read(0, claim, Millis(TERM_MS + 50));
    assert_eq!(lease.fence(Millis(TERM_MS + 100)), Some(0));
    assert_eq!(lease.fence(Millis(2 * TERM_MS - 100)), None);
}

#[test]
fn renewal_keeps_the_fencing_number() {
    let mut lease = Lease::new(1, Millis(0));
    let Action::Append(first) = lease.tick(Millis(TERM_MS)) else { panic!("no claim") };
    lease.read(7, first, Millis(TERM_MS));
    let Action::Append(second) = lease.tick(Millis(TERM_MS + RENEW_MS)) else { panic!("no claim") };
    lease.read(8, second, Millis(TERM_MS + RENEW_MS));
    assert_eq!(lease.fence(Millis(TERM_MS + RENEW_MS)), Some(7));
}

#[test]
fn claim_on_an_old_lease_is_ignored() {
    let mut lease = Lease::new(1, Millis(0));
    lease.read(0, Claim { holder: 2, serial: 1, parent: None }, Millis(0));
    lease.read(1, Claim { holder: 3, serial: 1, parent: None }, Millis(0));
    assert_eq!(lease.held().unwrap().holder, 2);
}
