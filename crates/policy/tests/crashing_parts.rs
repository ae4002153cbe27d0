//! Recognition of a prompt part that crashes engines, among parts that were merely there.

use mimosaledge_core::Millis;
use mimosaledge_policy::crashing_parts::{
    CRASH_LIMIT, CrashStage, CrashSuspect, CrashingParts, Culprit, WAITING_CRASH_LIMIT,
};

const NOW: Millis = Millis(1_000_000);
const FIRST: u64 = 1;
const CRASHING: u64 = 2;
const RARE: u64 = 3;

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                $body;
            }
        )*
    };
}

// Guards against refusing too late, or what is sound (BUDGET, LOST).
cases! {
    part_is_refused_after_its_third_crash => third_crash_case();
    first_part_of_the_same_prompts_is_served => first_part_case(false);
    first_part_that_has_never_completed_is_served => first_part_case(true);
    part_that_was_merely_there_is_cleared_by_completion => completion_case();
    part_that_was_merely_there_is_cleared_by_the_culprit => explained_case();
    repeated_reports_count_once => repeated_case();
    late_reports_of_a_cleared_crash_do_not_count => late_report_case();
    engines_that_crash_together_count_once => common_cause_case();
    sound_part_is_refused_only_briefly => sound_part_case();
    part_that_crashes_again_after_its_quarantine_is_refused_at_once => second_quarantine_case();
    part_with_many_crashes_stays_refused => many_crashes_case();
}

// Guards against a part that is never recognized since its crashes cut the head of the response
// (LOST), and against refusing what merely waited at engines that crash (LOST).
cases! {
    part_that_waits_is_refused_after_its_fifth_crash => waiting_case();
    crashes_of_both_kinds_add_up => mixed_case();
    later_report_that_an_engine_had_begun_counts => upgraded_case();
    part_of_all_requests_that_waits_is_served => shared_part_case();
    part_that_has_just_completed_is_no_suspect_while_it_waits => recent_part_case();
}

fn suspect(part: u64, depth: u8, crash: u64) -> CrashSuspect {
    CrashSuspect { part, depth, crash }
}

fn is_refused(parts: &CrashingParts, part: u64, now: Millis) -> bool {
    parts.find_refused(&[part], now).is_some()
}

/// Records crashes half a second apart, each with `in_flight` parts.
fn crash(parts: &mut CrashingParts, crashes: std::ops::Range<u64>, in_flight: &[(u64, u8)]) {
    crash_at(CrashStage::Responding, parts, crashes, in_flight);
}

fn crash_at(
    stage: CrashStage,
    parts: &mut CrashingParts,
    crashes: std::ops::Range<u64>,
    in_flight: &[(u64, u8)],
) {
    for number in crashes {
        for (part, depth) in in_flight {
            parts.record_crash(suspect(*part, *depth, number), stage, NOW + 500 * number);
        }
    }
}

fn third_crash_case() {
    let mut parts = CrashingParts::default();
    crash(&mut parts, 0..2, &[(CRASHING, 1)]);
    assert!(!is_refused(&parts, CRASHING, NOW + 1_000));
    crash(&mut parts, 2..3, &[(CRASHING, 1)]);
    let culprit = parts.find_refused(&[FIRST, CRASHING], NOW + 1_000).unwrap();
    assert_eq!((culprit.part, culprit.retry_ms), (CRASHING, 120_000));
}

fn first_part_case(has_completed: bool) {
    let mut parts = CrashingParts::default();
    if !has_completed {
        parts.record_completion(&[FIRST], NOW);
    }
    crash(&mut parts, 0..6, &[(FIRST, 0), (CRASHING, 1)]);
    assert!(is_refused(&parts, CRASHING, NOW + 3_000));
    assert!(!is_refused(&parts, FIRST, NOW + 3_000));
}

fn completion_case() {
    let mut parts = CrashingParts::default();
    crash(&mut parts, 0..2, &[(RARE, 1)]);
    assert_eq!(parts.record_completion(&[FIRST, RARE], NOW + 1_000), [RARE]);
    crash(&mut parts, 2..4, &[(RARE, 1)]);
    assert!(!is_refused(&parts, RARE, NOW + 2_000));
    crash(&mut parts, 4..5, &[(RARE, 1)]);
    assert!(is_refused(&parts, RARE, NOW + 2_000));
    parts.record_completion(&[RARE], NOW + 2_000);
    assert!(!is_refused(&parts, RARE, NOW + 2_000));
}

fn explained_case() {
    let mut parts = CrashingParts::default();
    // The rare part reaches the limit first, since a report is late.
    crash(&mut parts, 0..3, &[(RARE, 1)]);
    assert!(is_refused(&parts, RARE, NOW + 1_500));
    crash(&mut parts, 0..4, &[(CRASHING, 1)]);
    assert!(is_refused(&parts, CRASHING, NOW + 2_000));
    assert!(!is_refused(&parts, RARE, NOW + 2_000));
}

fn repeated_case() {
    let mut parts = CrashingParts::default();
    assert!(parts.record_crash(suspect(CRASHING, 1, 7), CrashStage::Responding, NOW));
    for number in 1..10 {
        assert!(!parts.record_crash(
            suspect(CRASHING, 1, 7),
            CrashStage::Responding,
            NOW + 300 * number
        ));
    }
    assert!(!is_refused(&parts, CRASHING, NOW + 3_000));
}

fn late_report_case() {
    let mut parts = CrashingParts::default();
    crash(&mut parts, 0..2, &[(RARE, 1)]);
    parts.record_completion(&[RARE], NOW + 600);
    crash(&mut parts, 0..2, &[(RARE, 1)]);
    crash(&mut parts, 2..4, &[(RARE, 1)]);
    assert!(!is_refused(&parts, RARE, NOW + 2_000));
}

fn common_cause_case() {
    let mut parts = CrashingParts::default();
    for number in 0..9 {
        parts.record_crash(suspect(FIRST, 0, number), CrashStage::Responding, NOW + number);
    }
    assert!(!is_refused(&parts, FIRST, NOW + 10));
}

fn sound_part_case() {
    let mut parts = CrashingParts::default();
    parts.record_completion(&[FIRST], NOW);
    crash(&mut parts, 0..CRASH_LIMIT as u64, &[(FIRST, 0)]);
    assert!(is_refused(&parts, FIRST, NOW + 1_000));
    assert!(!is_refused(&parts, FIRST, NOW + 6_000));
}

fn second_quarantine_case() {
    let mut parts = CrashingParts::default();
    crash(&mut parts, 0..3, &[(CRASHING, 1)]);
    let released = NOW + 121_000;
    assert!(!is_refused(&parts, CRASHING, released));
    parts.record_crash(suspect(CRASHING, 1, 9), CrashStage::Responding, released);
    let culprit = parts.find_refused(&[CRASHING], released).unwrap();
    assert_eq!(culprit.retry_ms, 240_000);
}

fn many_crashes_case() {
    let mut parts = CrashingParts::default();
    crash(&mut parts, 0..200, &[(CRASHING, 1)]);
    let after_last = NOW + 200 * 500 + 60_000;
    assert!(is_refused(&parts, CRASHING, after_last));
    let much_later = NOW + 2 * 3_600_000;
    assert!(!is_refused(&parts, CRASHING, much_later));
    parts.record_crash(suspect(CRASHING, 1, 900), CrashStage::Responding, much_later);
    assert!(is_refused(&parts, CRASHING, much_later));
}

// Guards against a gateway that starts and sends what all others refuse (BUDGET).
cases! {
    part_that_others_refuse_is_refused_until_it_completes => learned_case();
    part_that_others_refuse_is_served_if_it_has_just_completed => learned_sound_case();
}

fn learned_case() {
    let mut parts = CrashingParts::default();
    parts.learn_refusal(Culprit { part: CRASHING, retry_ms: 9_000 }, NOW);
    parts.learn_refusal(Culprit { part: CRASHING, retry_ms: 5_000 }, NOW);
    assert_eq!(parts.refusals(NOW), [Culprit { part: CRASHING, retry_ms: 9_000 }]);
    assert!(!is_refused(&parts, CRASHING, NOW + 9_000));
    parts.record_completion(&[CRASHING], NOW + 1_000);
    assert!(!is_refused(&parts, CRASHING, NOW + 1_000));
}

fn learned_sound_case() {
    let mut parts = CrashingParts::default();
    parts.record_completion(&[CRASHING], NOW);
    parts.learn_refusal(Culprit { part: CRASHING, retry_ms: 9_000 }, NOW + 5_000);
    assert!(!is_refused(&parts, CRASHING, NOW + 5_000));
}

/// Completes requests with other parts.
fn complete_others(parts: &mut CrashingParts) {
    for number in 0..4 {
        parts.record_completion(&[100 + number], NOW);
    }
}

fn waiting_case() {
    let mut parts = CrashingParts::default();
    let limit = WAITING_CRASH_LIMIT as u64;
    crash_at(CrashStage::Waiting, &mut parts, 0..limit - 1, &[(CRASHING, 1)]);
    complete_others(&mut parts);
    assert!(!is_refused(&parts, CRASHING, NOW + 2_500));
    crash_at(CrashStage::Waiting, &mut parts, limit - 1..limit, &[(CRASHING, 1)]);
    let culprit = parts.find_refused(&[FIRST, CRASHING], NOW + 2_000).unwrap();
    assert_eq!((culprit.part, culprit.retry_ms), (CRASHING, 30_000));
}

fn mixed_case() {
    let mut parts = CrashingParts::default();
    crash_at(CrashStage::Waiting, &mut parts, 0..2, &[(CRASHING, 1)]);
    complete_others(&mut parts);
    crash(&mut parts, 2..3, &[(CRASHING, 1)]);
    assert!(!is_refused(&parts, CRASHING, NOW + 1_500));
    crash(&mut parts, 3..4, &[(CRASHING, 1)]);
    assert!(is_refused(&parts, CRASHING, NOW + 2_000));
}

fn upgraded_case() {
    let mut parts = CrashingParts::default();
    crash_at(CrashStage::Waiting, &mut parts, 0..3, &[(CRASHING, 1)]);
    assert!(!is_refused(&parts, CRASHING, NOW + 1_500));
    crash(&mut parts, 0..3, &[(CRASHING, 1)]);
    assert!(is_refused(&parts, CRASHING, NOW + 1_500));
}

fn shared_part_case() {
    let mut parts = CrashingParts::default();
    crash_at(CrashStage::Waiting, &mut parts, 0..50, &[(FIRST, 0)]);
    assert!(!is_refused(&parts, FIRST, NOW + 25_000));
    // What completes then has the part.
    parts.record_completion(&[FIRST, RARE], NOW + 25_000);
    assert!(!is_refused(&parts, FIRST, NOW + 25_000));
}

fn recent_part_case() {
    let mut parts = CrashingParts::default();
    parts.record_completion(&[FIRST], NOW);
    complete_others(&mut parts);
    crash_at(CrashStage::Waiting, &mut parts, 0..60, &[(FIRST, 0)]);
    complete_others(&mut parts);
    assert!(!is_refused(&parts, FIRST, NOW + 30_000));
    // It has not completed for a while.
    crash_at(CrashStage::Waiting, &mut parts, 60..65, &[(FIRST, 0)]);
    assert!(!is_refused(&parts, FIRST, NOW + 32_500));
    complete_others(&mut parts);
    assert!(is_refused(&parts, FIRST, NOW + 32_500));
}
