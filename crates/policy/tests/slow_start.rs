//! Cold endpoints: what one gateway believes, and how loads rise afterwards.

use mimosaledge_core::Millis;
use mimosaledge_policy::{
    placement::Candidate,
    slow_start::{Pace, Warmup, permit_rate, raise_loads},
    slowness::Slowness,
};

/// How the endpoints start.
const PACE: Pace = Pace { duration_ms: 3_000, rate: 14.0 };
/// When the endpoint appears, or is found to be back.
const START: Millis = Millis(100_000);

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => { $( #[test] fn $name() { $body; } )* };
}

// Guards against sending to an endpoint that is cold (FAILBACK), and against sparing one that
// is not, in calm.
cases! {
    endpoint_that_appears_is_cold_unless_its_entry_says_otherwise => novelty_case();
    endpoint_of_the_first_list_is_cold_only_if_its_entry_says_so => first_list_case();
    entry_from_before_a_return_does_not_end_the_doubt => old_entry_case();
    news_prolongs_and_does_not_shorten => news_case();
    only_what_a_gateway_knows_itself_is_told_again => own_news_case();
    endpoint_is_not_believed_to_stay_cold_forever => odd_entry_case();
    gateways_that_tell_each_other_do_not_prolong_it => rumour_case();
    service_without_slow_start_has_no_cold_endpoints => no_pace_case();
    load_rises_without_a_step => ramp_case();
    cold_endpoint_draws_no_more_than_the_mean => mean_case();
    full_endpoints_do_not_make_a_cold_one_full => limit_case();
    issuers_that_do_not_hear_each_other_share_the_rate => share_case();
}

fn known() -> Warmup {
    let mut warmup = Warmup::default();
    warmup.set_pace(Some(PACE));
    warmup
}

fn appeared() -> Warmup {
    let mut warmup = Warmup::appeared(START);
    warmup.set_pace(Some(PACE));
    warmup
}

/// Three gateways find an endpoint to be back and tell each other every second, with a delay.
fn rumour_case() {
    let delay_ms = 200;
    let mut gateways = [known(), known(), known()];
    for warmup in &mut gateways {
        warmup.find(START);
    }
    for second in 1..20 {
        let sent = START + second * 1_000;
        let told = gateways.map(|it| it.own_left_ms(sent));
        for warmup in &mut gateways {
            for left_ms in told {
                warmup.apply_sample(left_ms, sent + delay_ms);
            }
        }
    }
    for warmup in gateways {
        assert!(!warmup.is_cold(START + PACE.duration_ms + delay_ms), "{warmup:?}");
    }
}

fn novelty_case() {
    assert_eq!(appeared().left_ms(START), 3_000);
    assert!(!appeared().is_cold(START + 3_000));
    let mut read = appeared();
    read.apply_entry(0, None, START + 10);
    assert!(!read.is_cold(START + 10));
    let mut told = appeared();
    told.apply_sample(0, START + 10);
    assert!(!told.is_cold(START + 10));
}

fn first_list_case() {
    let mut warmup = known();
    assert!(!warmup.apply_entry(0, None, START));
    assert!(!warmup.is_cold(START));
    assert!(warmup.apply_entry(2_000, None, START));
    assert_eq!(warmup.left_ms(START), 2_000);
    assert_eq!(warmup.cold_from(), START);
}

fn old_entry_case() {
    let mut warmup = known();
    assert!(warmup.find(START));
    for written_after in [None, Some(Millis(START.0 - 1))] {
        warmup.apply_entry(0, written_after, START + 500);
        assert_eq!(warmup.left_ms(START + 500), 2_500, "{written_after:?}");
    }
    warmup.apply_entry(0, Some(START), START + 500);
    assert!(!warmup.is_cold(START + 500));
}

fn news_case() {
    let mut warmup = known();
    warmup.apply_entry(2_000, None, START);
    assert!(!warmup.apply_sample(500, START));
    assert_eq!(warmup.left_ms(START), 2_000);
    assert!(warmup.apply_sample(3_500, START));
    assert_eq!(warmup.left_ms(START), 3_500);
    assert!(!warmup.apply_sample(3_600, START), "told again and again");
    assert!(warmup.apply_sample(1_500, START + 60_000), "cold once more");
    assert_eq!(warmup.cold_from(), START + 60_000);
}

/// What is only heard must not go round.
fn own_news_case() {
    let after = |change: fn(&mut Warmup)| {
        let mut warmup = known();
        change(&mut warmup);
        assert!(warmup.is_cold(START));
        warmup.own_left_ms(START) > 0
    };
    assert!(after(|it| assert!(it.find(START))));
    assert!(after(|it| assert!(it.apply_entry(2_000, None, START))));
    assert!(!after(|it| assert!(it.doubt(START))));
    assert!(!after(|it| assert!(it.apply_sample(2_000, START))));
    assert!(appeared().own_left_ms(START) == 0);
}

fn odd_entry_case() {
    let mut warmup = known();
    warmup.apply_entry(u64::MAX, None, START);
    warmup.apply_sample(u64::MAX, START);
    assert!(!warmup.is_cold(START + 60_000));
}

fn no_pace_case() {
    let mut warmup = Warmup::appeared(START);
    warmup.set_pace(None);
    assert!(!warmup.find(START));
    warmup.apply_entry(2_000, None, START);
    assert!(!warmup.is_cold(START));
    assert_eq!((warmup.rate(START), warmup.ramp(START)), (None, 0.0));
}

fn ramp_case() {
    let warmup = appeared();
    let ramps = (0..=70).map(|it| warmup.ramp(START + it * 100));
    let ramps: Vec<f64> = ramps.collect();
    assert_eq!((ramps[0], ramps[30], ramps[60]), (1.0, 1.0, 0.0));
    let steps = ramps.windows(2).map(|it| it[0] - it[1]);
    assert!(steps.into_iter().all(|it| (0.0..0.05).contains(&it)), "{ramps:?}");
    assert_eq!(known().ramp(START), 0.0);
}

fn raised(loads: &[f64], ramps: &[f64], limit: Option<f64>) -> Vec<f64> {
    let candidate = |load: &f64| Candidate {
        node: 0,
        load: *load,
        is_local: true,
        failure_rate: 0.0,
        refusal_rate: 0.0,
        slowness: Slowness::USUAL,
    };
    let mut candidates: Vec<Candidate> = loads.iter().map(candidate).collect();
    raise_loads(&mut candidates, ramps, limit);
    candidates.iter().map(|it| it.load).collect()
}

fn mean_case() {
    assert_eq!(raised(&[8.0, 4.0, 0.0], &[0.0, 0.0, 1.0], None), [8.0, 4.0, 6.0]);
    assert_eq!(raised(&[8.0, 4.0, 0.0], &[0.0, 0.0, 0.5], None), [8.0, 4.0, 3.0]);
    assert_eq!(raised(&[8.0, 4.0, 9.0], &[0.0, 0.0, 1.0], None), [8.0, 4.0, 9.0]);
    assert_eq!(raised(&[8.0, 0.0], &[1.0, 1.0], None), [8.0, 0.0]);
}

fn limit_case() {
    let loads = raised(&[30.0, 31.0, 2.0], &[0.0, 0.0, 1.0], Some(30.0));
    assert_eq!(loads, [30.0, 31.0, 29.0]);
}

fn share_case() {
    assert_eq!(permit_rate(10.0, 90, 90), Some(9.0));
    assert_eq!(permit_rate(10.0, 45, 90), Some(4.5));
    assert_eq!(permit_rate(10.0, 1, 90), None);
    assert_eq!(permit_rate(10.0, 1, 1), Some(9.0));
}
