//! Tests of configuration errors and their positions.

use mimosaledge_core::config::{Category, Config};

const VALID: &str = "\
kind: configuration
deployment: test
workspaces:
  - { name: a, share: 1 }
  - { name: b, share: 2 }
classes:
  - { name: chat, target: engine, priority: 5, deadline_ms: 1000, queue_ms: 100, idempotent: true }
models:
  - { name: m, version: 1, weight_mib: 10 }
engines:
  - { name: e1, model: m }
presets:
  - { name: ordinary, load_bound: 1.25, engine_slots: 8, queue_limit: 8, progress_ms: 1, retry_percent: 10, body_limit: 10 }
  - { name: peak, load_bound: 1.25, engine_slots: 8, queue_limit: 8, progress_ms: 1, retry_percent: 10, body_limit: 10 }
  - { name: maintenance, load_bound: 1.25, engine_slots: 8, queue_limit: 8, progress_ms: 1, retry_percent: 10, body_limit: 10 }
";

/// Defines a test that makes one change to [`VALID`] and checks the error.
macro_rules! error_tests {
    ($($name:ident: $original:expr => $replacement:expr, $category:ident, line $line:expr;)*) => {$(
        #[test]
        fn $name() {
            let text = VALID.replacen($original, $replacement, 1);
            assert_ne!(text, VALID);
            let err = Config::from_yaml(&text).unwrap_err();
            assert_eq!((err.category(), err.line()), (Category::$category, $line), "{err}");
        }
    )*};
}

error_tests! {
    unknown_field: "share: 1" => "share: 1, extra: 2", Syntax, line 4;
    unknown_top_level_field: "deployment: test" => "deployment: test\nextra: 1", Syntax, line 3;
    missing_field: ", share: 1" => "", Syntax, line 4;
    wrong_type: "share: 1" => "share: many", Syntax, line 4;
    duration_with_unit: "deadline_ms: 1000" => "deadline_ms: 1s", Syntax, line 7;
    invalid_yaml: "workspaces:" => "workspaces: [", Syntax, line 4;
    wrong_kind: "kind: configuration" => "kind: router", Syntax, line 1;
    duplicate_workspace: "name: b" => "name: a", Duplicate, line 5;
    duplicate_preset: "name: peak" => "name: ordinary", Duplicate, line 14;
    unknown_model: "model: m" => "model: n", Reference, line 11;
    share_of_zero: "share: 1" => "share: 0", Range, line 4;
    priority_too_high: "priority: 5" => "priority: 10", Range, line 7;
    engine_class_not_idempotent: "idempotent: true" => "idempotent: false", Range, line 7;
    queue_time_above_deadline: "queue_ms: 100" => "queue_ms: 1001", Range, line 7;
    load_bound_below_one: "load_bound: 1.25" => "load_bound: 0.9", Range, line 13;
    load_bound_not_a_number: "load_bound: 1.25" => "load_bound: .nan", Range, line 13;
    zero_engine_slots: "engine_slots: 8" => "engine_slots: 0", Range, line 13;
    name_with_space: "name: a," => "name: 'a b',", Range, line 4;
    missing_preset: "  - { name: maintenance, load_bound: 1.25, engine_slots: 8, queue_limit: 8, progress_ms: 1, retry_percent: 10, body_limit: 10 }\n" => "", MissingPreset, line 13;
}

#[test]
fn valid_configuration_is_accepted() {
    let config = Config::from_yaml(VALID).unwrap();
    assert_eq!(config.workspaces.len(), 2);
    assert_eq!(config.presets.len(), 3);
}

#[test]
fn message_contains_code_and_position() {
    let text = VALID.replacen("load_bound: 1.25", "load_bound: 0.9", 1);
    let message = Config::from_yaml(&text).unwrap_err().to_string();
    assert_eq!(message, "load_bound below 1.0 cannot be reached (code 5003) at line 13 column 35");
}

#[test]
fn error_in_the_last_section_yields_no_configuration() {
    let text = VALID.replace(
        "body_limit: 10 }\n  - { name: maintenance",
        "body_limit: 0 }\n  - { name: maintenance",
    );
    assert!(Config::from_yaml(&text).is_err());
}
