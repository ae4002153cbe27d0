//! Recognition of a prompt part that crashes engines, among parts that were merely there.

use mimosaledge_core::Millis;
use mimosaledge_policy::crashing_parts::{CRASH_LIMIT, CrashSuspect, CrashingParts};

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

fn suspect(part: u64, depth: u8, crash: u64) -> CrashSuspect {
    CrashSuspect { part, depth, crash }
}

fn is_refused(parts: &CrashingParts, part: u64, now: Millis) -> bool {
    parts.find_refused(&[part], now).is_some()
}

/// Records crashes half a second apart, each with `in_flight` parts.
fn crash(parts: &mut CrashingParts, crashes: std::ops::Range<u64>, in_flight: &[(u64, u8)]) {
    for number in crashes {
        for (part, depth) in in_flight {
            parts.record_crash(suspect(*part, *depth, number), NOW + 500 * number);
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
    assert!(parts.record_crash(suspect(CRASHING, 1, 7), NOW));
    for number in 1..10 {
        assert!(!parts.record_crash(suspect(CRASHING, 1, 7), NOW + 300 * number));
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
        parts.record_crash(suspect(FIRST, 0, number), NOW + number);
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
    parts.record_crash(suspect(CRASHING, 1, 9), released);
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
    parts.record_crash(suspect(CRASHING, 1, 900), much_later);
    assert!(is_refused(&parts, CRASHING, much_later));
}
