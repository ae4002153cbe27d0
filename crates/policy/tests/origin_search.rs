//! When a stream of unknown origin may go on at the only build that a gateway knows.

use std::net::Ipv4Addr;

use mimosaledge_core::Millis;
use mimosaledge_policy::origin_search::OriginSearch;

const STARTED: Millis = Millis(1_000_000);

fn gateway(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number)
}

/// Names a case: how many gateways are asked and how many of these do not know the stream,
/// whether the list is current, when the last complete read of it was started, and whether
/// the stream may go on.
macro_rules! cases {
    ($($name:ident: $asked:expr, $denials:expr, $current:expr, $read:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let asked: Vec<Ipv4Addr> = (0..$asked).map(gateway).collect();
            let mut search = OriginSearch::new(&asked, STARTED);
            asked.iter().take($denials).for_each(|it| search.record_denial(*it));
            assert_eq!(search.is_of_known_build($current, $read), $expected);
        }
    )*};
}

cases! {
    silence_proves_nothing: 10, 0, true, None => false;
    half_of_the_gateways_prove_nothing: 10, 5, true, None => false;
    most_gateways_prove_it: 10, 6, true, None => true;
    most_gateways_prove_nothing_about_a_stale_list: 10, 10, false, None => false;
    gateway_that_knows_no_other_has_no_majority: 0, 0, true, None => false;
    read_since_the_client_came_proves_it: 10, 0, false, Some(STARTED) => true;
    // A process that stood still acted on what was true before.
    read_before_the_client_came_proves_nothing: 10, 0, true, Some(Millis(STARTED.0 - 1)) => false;
}

#[test]
fn answers_of_one_gateway_and_of_strangers_count_once_and_never() {
    let asked: Vec<Ipv4Addr> = (0..3).map(gateway).collect();
    let mut search = OriginSearch::new(&asked, STARTED);
    for from in [gateway(0), gateway(0), gateway(9)] {
        search.record_denial(from);
    }
    assert_eq!(search.denials(), 1);
    assert!(!search.is_of_known_build(true, None));
}
