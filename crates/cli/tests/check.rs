//! Validation of configuration and settings files by kind.

use assert_matches::assert_matches;
use mimosaledge_cli::check::{CheckError, FileKind, check_text};

const ROUTER: &str = "\
kind: router
name: r1
data_centre: z
region: r
http: 127.0.0.1:1
peer: 127.0.0.1:2
ops: 127.0.0.1:3
platform: 127.0.0.1:4
";
const STEWARD: &str = "kind: steward\nname: s\nplatform: 127.0.0.1:4\nweight_mib_per_s: 10\n";

macro_rules! accepted {
    ($($name:ident: $text:expr => $kind:ident;)*) => {$(
        #[test]
        fn $name() {
            assert_matches!(check_text($text), Ok(FileKind::$kind));
        }
    )*};
}

accepted! {
    lagyviz: include_str!("../../../deploy/lagyviz/config.yaml") => Configuration;
    senderos: include_str!("../../../deploy/senderos/config.yaml") => Configuration;
    router: ROUTER => Router;
    steward: STEWARD => Steward;
}

macro_rules! rejected {
    ($($name:ident: $text:expr => $code:expr, $message:expr;)*) => {$(
        #[test]
        fn $name() {
            let err = check_text(&$text).unwrap_err();
            assert_eq!(err.as_u16(), $code, "{err}");
            assert!(err.to_string().contains($message), "{err}");
        }
    )*};
}

rejected! {
    missing_kind: "name: x" => 5011, "kind";
    unknown_kind: "kind: toaster" => 5011, "kind";
    invalid_yaml: "kind: [" => 5000, "line";
    router_with_invalid_address: ROUTER.replace("127.0.0.1:3", "here") => 5012, "line 7";
    router_with_unknown_field: format!("{ROUTER}extra: 1\n") => 5012, "extra";
    router_with_zero_gossip_interval: format!("{ROUTER}limits: {{ gossip_ms: 0 }}\n") => 5012, "gossip_ms";
    steward_with_zero_weight_rate: STEWARD.replace("weight_mib_per_s: 10", "weight_mib_per_s: 0") => 5012, "above 0";
}

#[test]
fn missing_file_is_unreadable() {
    let err = mimosaledge_cli::check::check_file("no/such/file".as_ref()).unwrap_err();
    assert_matches!(err, CheckError::Unreadable(_));
}
