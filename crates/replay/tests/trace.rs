//! Tests of trace parsing and generation, load skew and target checks.

use mimosaledge_replay::{
    measures::{Idempotency, Measures, Skew},
    sampler::LoadSample,
    targets::Targets,
    trace::Trace,
    workload::{Deployment, Volume, generate},
};

const HEADER: &str = "{\"trace\":1,\"deployment\":\"d\",\"model\":\"m\"}";
const VOLUME: Volume = Volume { requests: 50, rate: 10.0, surge: true };

fn event(at_ms: u64) -> String {
    format!(
        "{{\"at_ms\":{at_ms},\"workspace\":\"w\",\"chat\":\"c\",\"class\":\"k\",\"data_centre\":\"z\"}}"
    )
}

macro_rules! malformed {
    ($($name:ident: $text:expr => $message:expr;)*) => {$(
        #[test]
        fn $name() {
            let message = Trace::from_text(&$text).unwrap_err().to_string();
            assert!(message.contains($message), "{message}");
        }
    )*};
}

malformed! {
    empty_trace: "" => "header missing at line 1";
    unknown_version: HEADER.replace("1,", "2,") => "unknown version 2 at line 1";
    unknown_field: format!("{HEADER}\n{}", event(1).replace("data_centre", "place")) => "at line 2";
    truncated_json: format!("{HEADER}\n{}\n{{", event(1)) => "at line 3";
    event_out_of_order: format!("{HEADER}\n{}\n{}", event(2), event(1)) => "earlier than the one before it at line 3";
}

#[test]
fn generated_trace_is_deterministic_and_round_trips() {
    let trace = generate(Deployment::Senderos, VOLUME, 7);
    assert_eq!(Trace::from_text(&trace.to_text()).unwrap(), trace);
    assert_eq!(generate(Deployment::Senderos, VOLUME, 7), trace);
    assert_ne!(generate(Deployment::Senderos, VOLUME, 8), trace);
}

fn sample(loads: &[u32]) -> LoadSample {
    let loads = loads.iter().enumerate().map(|(index, load)| (index.to_string(), *load)).collect();
    LoadSample { elapsed: std::time::Duration::ZERO, loads }
}

#[test]
fn skew_ignores_samples_with_low_load() {
    // The mean loads are 4, 4 and 1; the last is below the minimum of 2.
    let samples = [sample(&[5, 4, 3]), sample(&[6, 3, 3]), sample(&[3, 0, 0])];
    let skew = Skew::from_samples(&samples, 1.25);
    assert_eq!((skew.samples, skew.over_bound, skew.p999), (2, 0.5, 1.5));
}

#[test]
fn missed_targets_are_reported() {
    let idempotency = Idempotency { max_runs: 2, ..Idempotency::default() };
    let measures = Measures { requests: 10, completed: 9, idempotency, ..Measures::default() };
    let targets =
        Targets { whole_share: Some(1.0), key_runs: Some(1), wrong: Some(0), ..Targets::default() };
    let missed = targets.missed(&measures);
    assert_eq!(missed.len(), 2);
    assert!(missed[0].starts_with("whole_share") && missed[1].starts_with("key_runs"));
}
