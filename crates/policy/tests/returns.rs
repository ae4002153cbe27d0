//! Requests that come back after a refusal.
//!
//! The load: more requests than a service has room for, for seconds; those that are refused come
//! back beside new ones.

use mimosaledge_policy::returns::{UsualDeadlines, delay_ms, prefer};

#[test]
fn client_that_has_waited_is_told_by_its_deadline() {
    let mut usual = UsualDeadlines::default();
    assert!(!usual.record(&"pay".into(), 3_000));
    assert!(!usual.record(&"pay".into(), 2_980));
    assert!(usual.record(&"pay".into(), 2_700));
    assert!(!usual.record(&"read".into(), 2_700));
}

#[test]
fn shorter_deadline_becomes_usual_after_a_while() {
    let mut usual = UsualDeadlines::default();
    usual.record(&"pay".into(), 3_000);
    let returns = (0..2_000).filter(|_| usual.record(&"pay".into(), 2_000)).count();
    assert!(returns < 1_999);
    assert!(!usual.record(&"pay".into(), 2_000));
}

#[test]
fn returning_requests_go_before_new_ones_within_the_room() {
    for (admission, returned) in [(0.9, 0.1), (0.7, 0.3), (0.5, 0.5), (0.2, 0.6)] {
        let of_new = prefer(admission, returned, false);
        let of_returned = prefer(admission, returned, true);
        assert!(of_returned > of_new && of_new > 0.0, "{of_new} {of_returned}");
        let admitted = of_new * (1.0 - returned) + of_returned * returned;
        assert!(admitted <= admission + 1e-9, "{admission} {returned}: {admitted}");
    }
}

// With full precedence every request would be refused once and then be late.
#[test]
fn new_requests_keep_half_of_their_admission_beside_as_many_that_return() {
    for admission in [0.5, 0.7, 0.9] {
        let of_new = prefer(admission, 0.5, false);
        assert!(of_new >= admission / 2.0, "{admission}: {of_new}");
    }
}

#[test]
fn requests_of_workspaces_within_their_share_return_first() {
    let delays = |excess: f64| {
        let delays = (0..200).map(move |it| delay_ms(2_000, excess, &format!("attempt-{it}")));
        delays.collect::<Vec<u64>>()
    };
    let (least_served, greedy) = (delays(0.0), delays(1.0));
    let middle = 2_000 * 33 / 200;
    assert!(greedy.iter().all(|it| *it >= middle));
    assert!(least_served.iter().any(|it| *it < middle / 2));
    assert!(least_served.iter().zip(&greedy).all(|(first, second)| first <= second));
    let spread = greedy.iter().max().unwrap() - greedy.iter().min().unwrap();
    assert!(spread > 200, "returns of one workspace come together: {spread}");
}

#[test]
fn told_time_lies_within_a_third_of_what_the_client_still_waits() {
    let is_within = |it: &String| delay_ms(900, 1.0, it) <= 300;
    assert!((0..100).map(|it| format!("{it}")).all(|it| is_within(&it)));
}
