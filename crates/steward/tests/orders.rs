//! Engines converge to the configuration despite lost responses, failover between
//! stewards, stale orders and outages of the log.

use std::{net::SocketAddr, time::Duration};

use mimosaledge_core::{
    orders::EngineState,
    record::{Change, Record},
};
use mimosaledge_net::{Vm, VmKind, http::Call};
use mimosaledge_standin::{
    engine,
    platform::{self, Control, Mode, WeightStatistics},
};
use mimosaledge_steward::{Settings, Steward};
use serde::de::DeserializeOwned;
use tokio::{
    net::TcpListener,
    runtime::Builder,
    task::{JoinHandle, LocalSet},
    time::sleep,
};

const CONFIG: &str = include_str!("config.yaml");
const ENGINES: usize = 3;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of polls after which the test fails.
const MAX_POLLS: u32 = 2_000;

struct Cluster {
    platform: SocketAddr,
    engines: Vec<SocketAddr>,
    stewards: Vec<JoinHandle<()>>,
    /// Offset of the last published configuration.
    head: Option<u64>,
}

impl Cluster {
    /// Starts a platform, engines that serve version 1, and `stewards` stewards.
    /// Engine 0 does not check fencing tokens.
    async fn start(stewards: u64) -> Cluster {
        let (listener, platform) = bind().await;
        let settings = platform::Settings { list_lag_ms: 0, ..platform::Settings::default() };
        tokio::task::spawn_local(platform::run(listener, settings));
        let mut cluster =
            Cluster { platform, engines: Vec::new(), stewards: Vec::new(), head: None };
        let mut vms = Vec::new();
        for index in 0..ENGINES {
            let (listener, addr) = bind().await;
            let name = format!("e{index}");
            tokio::task::spawn_local(engine::run(
                listener,
                engine_settings(&name, index, platform),
            ));
            cluster.engines.push(addr);
            vms.push(vm(&name, addr));
        }
        cluster.control(&Control { vms: Some(vms), ..Control::default() }).await;
        cluster.publish(1).await;
        for incarnation in 1..=stewards {
            cluster.start_steward(incarnation);
        }
        cluster
    }

    fn start_steward(&mut self, incarnation: u64) {
        let text = format!(
            "kind: steward\nname: s\nplatform: {}\nweight_mib_per_s: 1000\nlook_ms: 50\n",
            self.platform
        );
        let steward = Steward::new(Settings::from_yaml(&text).unwrap(), incarnation);
        self.stewards.push(tokio::task::spawn_local(steward.run()));
    }

    async fn control(&self, control: &Control) {
        post(self.platform, "/control", serde_json::to_vec(control).unwrap()).await;
    }

    /// Publishes a configuration with `version` of the model.
    async fn publish(&mut self, version: u32) {
        let text = CONFIG.replace("version: 1", &format!("version: {version}")).into();
        let change = Change::Publish { parent: self.head, text };
        let record = Record { id: format!("v{version}"), change };
        post(self.platform, "/log/config", record.to_json().into_bytes()).await;
        self.head = Some(self.head.map_or(0, |head| head + 1));
    }

    /// Waits until every engine serves `version`.
    async fn wait_converged(&self, version: u32) {
        for _ in 0..MAX_POLLS {
            let mut serving = 0;
            for &engine in &self.engines {
                let state: EngineState = get(engine, "/state").await;
                serving += usize::from(state.version == version && !state.loading);
            }
            if serving == ENGINES {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("the engines never served version {version}");
    }

    async fn weight_statistics(&self) -> WeightStatistics {
        get(self.platform, "/weights").await
    }
}

fn engine_settings(name: &str, index: usize, platform: SocketAddr) -> engine::Settings {
    engine::Settings {
        name: name.to_owned(),
        incarnation: 1 + index as u32,
        model: "m".to_owned(),
        step_ms: 1,
        slots: 4,
        prefill_tokens: 256,
        cache_tokens: 1_000,
        report_lag_ms: 0,
        fenced: index > 0,
        weights: Some(platform),
    }
}

fn vm(name: &str, addr: SocketAddr) -> Vm {
    let (data_centre, region) = ("z".into(), "r".into());
    Vm {
        name: name.into(),
        kind: VmKind::Engine,
        addr,
        peer: None,
        data_centre,
        region,
        leaving: false,
    }
}

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

async fn post(addr: SocketAddr, path: &str, body: Vec<u8>) {
    Call::post(addr, path, body).send_ok().await.unwrap();
}

async fn get<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> T {
    serde_json::from_slice(&Call::get(addr, path).send_ok().await.unwrap()).unwrap()
}

fn block_on(test: impl Future<Output = ()>) {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn engines_converge_within_the_weight_store_bandwidth() {
    block_on(async {
        let mut cluster = Cluster::start(2).await;
        cluster.publish(2).await;
        cluster.wait_converged(2).await;
        let statistics = cluster.weight_statistics().await;
        assert_eq!((statistics.fetches, statistics.over_rate), (ENGINES as u64, 0));
    });
}

#[test]
fn order_with_a_lost_response_does_not_load_twice() {
    block_on(async {
        let mut cluster = Cluster::start(1).await;
        let lose_response = engine::Control { lose_orders: Some(1), ..engine::Control::default() };
        for &engine in &cluster.engines {
            post(engine, "/control", serde_json::to_vec(&lose_response).unwrap()).await;
        }
        cluster.publish(2).await;
        cluster.wait_converged(2).await;
        assert_eq!(cluster.weight_statistics().await.fetches, ENGINES as u64);
    });
}

#[test]
fn new_steward_takes_over_from_a_crashed_holder() {
    block_on(async {
        let mut cluster = Cluster::start(1).await;
        cluster.publish(2).await;
        cluster.wait_converged(2).await;
        cluster.stewards[0].abort();
        cluster.start_steward(2);
        cluster.publish(3).await;
        cluster.wait_converged(3).await;
        assert_eq!(cluster.weight_statistics().await.over_rate, 0);
    });
}

#[test]
fn order_of_an_expired_holder_is_rejected_or_reverted() {
    block_on(async {
        let mut cluster = Cluster::start(0).await;
        // An earlier holder's claim at offset 0, so that the fencing token of the
        // current holder is above 0.
        let claim = br#"{"holder":99,"serial":1,"parent":null}"#;
        post(cluster.platform, "/log/lease", claim.to_vec()).await;
        cluster.start_steward(1);
        cluster.publish(2).await;
        cluster.wait_converged(2).await;
        // An order that the earlier holder prepared before a pause.
        let stale = br#"{"fence":0,"model":"m","version":1,"weight_mib":1}"#;
        for (index, &engine) in cluster.engines.iter().enumerate() {
            let response = Call::post(engine, "/orders", &stale[..]).send().await.unwrap();
            // Engine 0 does not check fencing tokens and accepts the order.
            assert_eq!(response.status, if index == 0 { 200 } else { 409 });
        }
        cluster.wait_converged(2).await;
    });
}

#[test]
fn engines_converge_after_a_log_outage() {
    block_on(async {
        let mut cluster = Cluster::start(2).await;
        cluster.publish(2).await;
        cluster.wait_converged(2).await;
        cluster.control(&Control { log: Some(Mode::Hang), ..Control::default() }).await;
        // During the outage engine 0, which does not check fencing tokens, accepts
        // a stale order.
        let stale = br#"{"fence":0,"model":"m","version":1,"weight_mib":1}"#;
        post(cluster.engines[0], "/orders", stale.to_vec()).await;
        cluster.control(&Control { log: Some(Mode::Up), ..Control::default() }).await;
        cluster.publish(3).await;
        cluster.wait_converged(3).await;
    });
}
