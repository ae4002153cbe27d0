//! Streams split into events, which are checked and resumed.

use mimosaledge_policy::events::EventSplitter;
use proptest::prelude::*;

fn stream(from: u64, to: u64) -> String {
    (from..=to).map(|id| format!("id: {id}\ndata: x\n\n")).collect()
}

#[test]
fn resumed_stream_has_no_gaps_or_duplicates() {
    let mut splitter = EventSplitter::default();
    let mut out = Vec::new();
    splitter.push(format!("{}id: 4\nda", stream(1, 3)).as_bytes(), &mut out).unwrap();
    assert!(!splitter.is_at_boundary());
    assert_eq!(splitter.last_id(), Some(3));
    splitter.restart();
    splitter.push(stream(3, 6).as_bytes(), &mut out).unwrap();
    assert!(splitter.is_at_boundary());
    assert_eq!(String::from_utf8(out).unwrap(), stream(1, 6));
    splitter.restart();
    splitter.push(stream(8, 8).as_bytes(), &mut Vec::new()).unwrap_err();
}

/// Names a case: bytes after the first three events of a stream, and whether they may follow.
macro_rules! continuations {
    ($($name:ident: $bytes:expr => $is_valid:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut splitter = EventSplitter::default();
            let mut out = Vec::new();
            let pushed = splitter.push(format!("{}{}", stream(1, 3), $bytes).as_bytes(), &mut out);
            assert_eq!(pushed.is_ok(), $is_valid);
            assert_eq!(splitter.has_failed(), !$is_valid);
            // The events before an invalid one are not lost.
            assert!(String::from_utf8(out).unwrap().starts_with(&stream(1, 3)));
        }
    )*};
}

continuations! {
    next_event_follows: stream(4, 4) => true;
    comment_follows: ": keep-alive\n\n" => true;
    text_does_not_follow: "out of memory\n\n" => false;
    head_of_a_response_does_not_follow: "HTTP/1.1 500 Error\r\nContent-Length: 5\r\n\r\n" => false;
    repeated_event_does_not_follow: stream(3, 3) => false;
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn chunk_sizes_do_not_change_the_events(chunk_sizes in prop::collection::vec(1usize..30, 1..40)) {
        let expected = stream(1, 20);
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut rest = expected.as_bytes();
        for size in chunk_sizes.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (chunk, after) = rest.split_at((*size).min(rest.len()));
            splitter.push(chunk, &mut out).unwrap();
            rest = after;
        }
        prop_assert_eq!(out, expected.as_bytes());
        prop_assert_eq!(splitter.last_id(), Some(20));
    }

    #[test]
    fn arbitrary_input_does_not_panic_or_grow(chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..20)) {
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let total: usize = chunks.iter().map(Vec::len).sum();
        for chunk in &chunks {
            if splitter.push(chunk, &mut out).is_err() {
                break;
            }
        }
        prop_assert!(out.len() <= total);
    }
}
