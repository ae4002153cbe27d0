//! Tests of the steward lease: at any time at most one steward has a valid
//! fencing token.

use mimosaledge_core::{
    Millis,
    lease::{Action, Claim, Lease, RENEW_INTERVAL_MS, TERM_MS},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A steward that reads the log at its own pace and pauses at random.
struct Steward {
    lease: Lease,
    next_offset: usize,
    paused_until: u64,
    outbox: Option<Claim>,
}

fn steward(id: u64, now: u64) -> Steward {
    let lease = Lease::new(id, Millis(now));
    Steward { lease, next_offset: 0, paused_until: 0, outbox: None }
}

/// Simulates three stewards and a log with outages; returns the number of steps
/// at which some steward could give orders.
fn run_simulation(seed: u64) -> usize {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut log: Vec<Claim> = Vec::new();
    let mut stewards: Vec<Steward> = (1..=3).map(|id| steward(id, 0)).collect();
    let mut log_up_at = 0;
    let mut held_steps = 0;
    let mut highest_token = 0;
    for now in (0..120_000).step_by(100) {
        if rng.random_range(0..600) == 0 {
            log_up_at = now + rng.random_range(0..15_000);
        }
        for it in stewards.iter_mut().filter(|it| now >= it.paused_until) {
            step_steward(it, &mut log, now, now >= log_up_at, &mut rng);
            if rng.random_range(0..300) == 0 {
                it.paused_until = now + rng.random_range(0..20_000);
            }
        }
        // Paused stewards are checked too: one could resume at any time and act
        // on its view of the lease.
        let tokens: Vec<u64> =
            stewards.iter().filter_map(|it| it.lease.fencing_token(Millis(now))).collect();
        assert!(tokens.len() <= 1, "seed {seed}: two stewards may give orders at {now}");
        if let Some(&token) = tokens.first() {
            assert!(token >= highest_token, "seed {seed}: the fencing token decreased");
            highest_token = token;
            held_steps += 1;
        }
    }
    held_steps
}

fn step_steward(
    it: &mut Steward,
    log: &mut Vec<Claim>,
    now: u64,
    log_up: bool,
    rng: &mut Pcg64Mcg,
) {
    // A claim may be appended long after it was sent, for example after an outage.
    if log_up && let Some(claim) = it.outbox.take() {
        log.push(claim);
    }
    if log_up && rng.random_range(0..3) > 0 {
        while let Some(&claim) = log.get(it.next_offset) {
            it.lease.apply_claim(it.next_offset as u64, claim, Millis(now));
            it.next_offset += 1;
        }
    }
    if let Action::Append(claim) = it.lease.tick(Millis(now)) {
        it.outbox = Some(claim);
    }
}

#[test]
fn at_most_one_steward_holds_the_lease() {
    let held_steps: usize = (0..200).map(run_simulation).sum();
    // The lease must also be available: some steward holds it in more than half
    // of the steps.
    let steps = 200 * 1_200;
    assert!(held_steps * 10 > steps * 5, "held for {held_steps} of {steps} steps");
}

#[test]
fn holder_stops_before_its_term_ends() {
    let mut lease = Lease::new(1, Millis(0));
    let Action::Append(claim) = lease.tick(Millis(TERM_MS)) else { panic!("no claim") };
    lease.apply_claim(0, claim, Millis(TERM_MS + 50));
    assert_eq!(lease.fencing_token(Millis(TERM_MS + 100)), Some(0));
    assert_eq!(lease.fencing_token(Millis(2 * TERM_MS - 100)), None);
}

#[test]
fn renewal_keeps_the_fencing_token() {
    let mut lease = Lease::new(1, Millis(0));
    let Action::Append(first) = lease.tick(Millis(TERM_MS)) else { panic!("no claim") };
    lease.apply_claim(7, first, Millis(TERM_MS));
    let Action::Append(second) = lease.tick(Millis(TERM_MS + RENEW_INTERVAL_MS)) else {
        panic!("no claim")
    };
    lease.apply_claim(8, second, Millis(TERM_MS + RENEW_INTERVAL_MS));
    assert_eq!(lease.fencing_token(Millis(TERM_MS + RENEW_INTERVAL_MS)), Some(7));
}

#[test]
fn claim_with_a_stale_parent_is_ignored() {
    let mut lease = Lease::new(1, Millis(0));
    lease.apply_claim(0, Claim { holder: 2, serial: 1, parent: None }, Millis(0));
    lease.apply_claim(1, Claim { holder: 3, serial: 1, parent: None }, Millis(0));
    assert_eq!(lease.active().unwrap().holder, 2);
}
