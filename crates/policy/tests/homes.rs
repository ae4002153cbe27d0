//! Home regions of routes and workspaces, which their requests do not leave.

use mimosaledge_core::{Name, hash::hash32};
use mimosaledge_policy::{
    ConfigExtension, FleetConfig, Homes, Limits, RetryPolicy, Route, Target,
    config::{AuthorizedRequest, RouteTable, Workspace},
};

macro_rules! cases {
    ($($name:ident => $body:block)*) => {$(
        #[test]
        fn $name() $body
    )*};
}

fn route(name: &str, host: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: format!("/{name}/").as_str().into(),
        targets: vec![Target { service: "app".into(), weight: 1 }],
        retry: RetryPolicy::Never,
        streaming: false,
        anonymous: false,
        sticky: false,
        timeout_ms: 1_000,
        latency_goal_ms: 100,
        gap_goal_ms: 0,
        priority: 2,
        max_attempts: 1,
    }
}

fn homes(name: &str, regions: &[&str]) -> Homes {
    Homes { name: name.into(), regions: regions.iter().map(|it| Name::from(*it)).collect() }
}

/// Routes without homes and with those of two regions, on one host; others on hosts of their
/// own; workspaces without homes and with those of one region.
fn table() -> RouteTable {
    let workspace = |name: &str| Workspace {
        name: name.into(),
        priority: None,
        keys: vec![format!("key-{name}").as_str().into()],
    };
    RouteTable::from_config(&FleetConfig {
        version: 1,
        routes: vec![
            route("free", "host.example"),
            route("two", "host.example"),
            route("one", "Other.example"),
            route("open", "open.example"),
        ],
        limits: Limits::default(),
        workspaces: Some(vec![workspace("firm"), workspace("bound")]),
        extension: ConfigExtension {
            routes: vec![homes("two", &["north", "south"]), homes("one", &["south"])],
            workspaces: vec![homes("bound", &["south", "east"])],
            ..ConfigExtension::default()
        },
        ..FleetConfig::default()
    })
}

fn authorize(host: &str, route: &str, workspace: &str) -> AuthorizedRequest {
    let key = format!("key-{workspace}");
    table().authorize(host, &format!("/{route}/it"), Some(&key)).unwrap()
}

/// Returns those of the known regions, and of one that no setting names, that a request may
/// enter.
fn entered(request: &AuthorizedRequest) -> Vec<&'static str> {
    let regions = ["north", "south", "east", "west"];
    let entered = regions.into_iter().filter(|it| request.may_enter(Some(it)));
    for region in regions {
        let is_allowed = request.may_enter_hashed(hash32(region.as_bytes()));
        assert_eq!(is_allowed, request.may_enter(Some(region)), "{region}");
    }
    entered.collect()
}

cases! {
    request_without_homes_enters_any_region => {
        let request = authorize("host.example", "free", "firm");
        assert!(!request.has_homes());
        assert_eq!(entered(&request).len(), 4);
        assert!(request.may_enter(None) && request.may_enter_hashed(0));
    }

    request_does_not_leave_the_homes_of_its_route => {
        let request = authorize("host.example", "two", "firm");
        assert!(request.has_homes());
        assert_eq!(entered(&request), ["north", "south"]);
    }

    request_does_not_leave_the_homes_of_its_workspace => {
        assert_eq!(entered(&authorize("host.example", "free", "bound")), ["south", "east"]);
    }

    homes_of_route_and_workspace_both_bind => {
        assert_eq!(entered(&authorize("host.example", "two", "bound")), ["south"]);
    }

    unknown_region_is_no_home => {
        for route in ["two", "free"] {
            let request = authorize("host.example", route, "bound");
            assert!(!request.may_enter(None));
            assert!(!request.may_enter_hashed(0));
        }
    }

    host_has_the_homes_of_all_its_routes_that_have_some => {
        let homes_of = |host: &str| table().homes_of_host(host);
        assert_eq!(homes_of("host.example"), Some(vec!["north".into(), "south".into()]));
        assert_eq!(homes_of("OTHER.example"), Some(vec!["south".into()]));
        assert_eq!(homes_of("open.example"), None);
        assert_eq!(homes_of("unknown.example"), None);
    }
}
