//! Explanations of request outcomes from gateway logs.

use mimosaledge_cli::explain::explain;

const FIRST_LOG: &str = "\
1796337567001 info place: id=a-1 route=r endpoint=i-1 load=3 near=true failing=0.00 open=2 sent=0 config=13
1796337567002 info place: id=a-2 route=r endpoint=i-1 load=3 near=true failing=0.00 open=2 sent=0 config=13
1796337567048 info attempt: id=a-1 endpoint=i-1 outcome=Unknown cause=\"connection broken, idle_ms=None\" elapsed_ms=48
1796337567049 info retry: id=a-1 denied=true cause=budget
1796337567050 info request: id=a-1 refused=Unknown status=502 retry_ms=None config=13 elapsed_ms=49
";
const SECOND_LOG: &str = "\
  4.33 edge-1 1796337567090 info request: id=a-2 route=r endpoint=i-1 outcome=broken cause=\"silent\" last_event=Some(3) pieces=3
not a line of a log
1796337567099 warn log: lines_dropped=3
";

macro_rules! cases {
    ($($name:ident => $id:expr, $lines:expr, $cause:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let explanation = explain($id, [("one.log", FIRST_LOG), ("two.log", SECOND_LOG)]);
                assert_eq!(explanation.lines.len(), $lines);
                assert_eq!(explanation.cause, $cause);
                assert!(explanation.to_text().ends_with($cause));
            }
        )*
    };
}

cases! {
    lost_connection_without_retry_budget => "a-1", 4,
        "the connection was lost after the request was sent; it may have run; \
         1 attempts failed before that; the retry budget of the service was exhausted";
    interrupted_stream_across_two_logs => "a-2", 2,
        "the stream from i-1 was interrupted (silent) and not resumed";
    unknown_request => "a-3", 0,
        "no log line has this request id: it reached none of these gateways, or its lines were \
         dropped (look for lines_dropped)";
}

#[test]
fn lines_are_sorted_by_time() {
    let explanation = explain("a-2", [("two.log", SECOND_LOG), ("one.log", FIRST_LOG)]);
    assert!(explanation.lines[0].text.starts_with("place:"));
}
