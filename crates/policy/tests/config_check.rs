//! Checks of a configuration before it is sent.

use mimosaledge_policy::{
    ConfigExtension, FleetConfig, Homes, RetryPolicy, Route, Service, SlowStart, Target,
    config::Workspace,
    config_check::{differences, problems},
};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        path_prefix: prefix.into(),
        targets: vec![Target { service: "app".into(), weight: 1 }],
        retry: RetryPolicy::Never,
        streaming: false,
        anonymous: false,
        sticky: false,
        timeout_ms: 3_000,
        latency_goal_ms: 300,
        gap_goal_ms: 0,
        priority: 1,
        max_attempts: 1,
    }
}

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: name.into(),
        priority: None,
        keys: keys.iter().map(|it| (*it).into()).collect(),
    }
}

fn homes(name: &str, region: &str) -> Homes {
    Homes { name: name.into(), regions: vec![region.into()] }
}

fn sound() -> FleetConfig {
    FleetConfig {
        version: 7,
        routes: vec![route("r", "/r/"), route("s", "/s/")],
        services: vec![Service { name: "app".into(), max_conns: 100, batch_slots: Some(8) }],
        workspaces: Some(vec![workspace("w", &["k1", "k2"]), workspace("v", &["k3"])]),
        ..FleetConfig::default()
    }
}

/// Names a case: what is changed in a sound configuration, and what is said of it.
macro_rules! problem_cases {
    ($($name:ident: $change:expr => $($message:expr),*;)*) => {$(
        #[test]
        fn $name() {
            let mut config = sound();
            let change: fn(&mut FleetConfig) = $change;
            change(&mut config);
            let found: Vec<String> = problems(&config).iter().map(ToString::to_string).collect();
            let expected: &[&str] = &[$($message),*];
            assert_eq!(found, expected);
        }
    )*};
}

problem_cases! {
    sound_configuration_has_no_problem: |_| {} => ;
    later_route_hides_an_earlier_one: |it| {
        it.routes.push(Route { host: "A.example".into(), ..route("t", "/r/") });
    } => "route r: never matches, route t has its host and path prefix";
    prefix_without_slash_never_matches: |it| it.routes[0].path_prefix = "/r".into() =>
        "route r: never matches, no request has its path prefix";
    host_with_port_never_matches: |it| it.routes[0].host = "a.example:80".into() =>
        "route r: never matches, no request has its host";
    names_are_repeated: |it| it.routes[1].name = "r".into() => "route r: name is repeated";
    service_is_missing_and_another_unused: |it| it.services[0].name = "other".into() =>
        "route r: service app is not configured", "route s: service app is not configured",
        "service other: no route uses it";
    route_without_service: |it| it.routes[0].targets.clear() => "route r: no service";
    limits_contradict_each_other: |it| {
        it.routes[0].timeout_ms = 200;
        it.routes[1].max_attempts = 0;
    } => "route r: timeout of 200 ms is below a goal of 300 ms", "route s: number of attempts is 0";
    cold_endpoints_get_more_than_their_slots: |it| it.extension = ConfigExtension {
        slow_starts: vec![SlowStart { service: "app".into(), duration_ms: 3_000, rate: 40.0 }],
        ..ConfigExtension::default()
    } => "service app: cold endpoints get 12.0 requests at once, and have 8 slots";
    key_of_two_workspaces: |it| it.workspaces = Some(vec![
        workspace("w", &["k", "k"]), workspace("v", &["k"]), workspace("u", &[]),
    ]) => "workspace w: an API key is repeated", "workspace u: no API key",
        "workspace w: an API key identifies workspace v instead";
    homes_share_no_region: |it| it.extension = ConfigExtension {
        routes: vec![homes("r", "north")],
        workspaces: vec![homes("w", "south"), homes("v", "north")],
        ..ConfigExtension::default()
    } => "workspace w: requests to route r have no region that both allow";
}

/// Names a case: what is changed in the configuration in force, and what that does; a leading
/// `!` marks what takes something away from callers.
macro_rules! difference_cases {
    ($($name:ident: $change:expr => $($message:expr),*;)*) => {$(
        #[test]
        fn $name() {
            let mut new = FleetConfig { version: 8, ..sound() };
            let change: fn(&mut FleetConfig) = $change;
            change(&mut new);
            let to_text = |it: &mimosaledge_policy::config_check::Difference| {
                format!("{}{it}", if it.is_breaking() { "!" } else { "" })
            };
            let found: Vec<String> = differences(&sound(), &new).iter().map(to_text).collect();
            let expected: &[&str] = &[$($message),*];
            assert_eq!(found, expected);
        }
    )*};
}

difference_cases! {
    same_configuration_differs_in_nothing: |_| {} => ;
    version_must_rise: |it| it.version = 7 =>
        "!version 7: does not take effect, version 7 is in force";
    route_is_replaced: |it| it.routes[0].path_prefix = "/t/".into() =>
        "!route r: removed, its requests get 404 or another route", "route r: added";
    renamed_route_is_the_same: |it| it.routes[0].name = "q".into() => ;
    limits_and_targets_change: |it| {
        it.routes[0].timeout_ms = 4_000;
        it.routes[0].targets.push(Target { service: "b".into(), weight: 1 });
        it.routes[1].targets[0].weight = 9;
    } => "route r: timeout in ms 4000, was 3000",
        "route r: requests go to other services or other shares of them";
    keys_are_removed_moved_and_added: |it| it.workspaces = Some(vec![
        workspace("w", &["k1"]), workspace("v", &["k2", "k4"]),
    ]) => "!workspace v: 1 API keys removed, their requests get 401",
        "workspace w: 1 API keys identify another workspace", "workspace v: 1 API keys added";
    keys_are_not_required_any_more: |it| it.workspaces = None =>
        "workspaces: requests need no API key";
}
