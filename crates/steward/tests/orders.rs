//! Engines converge to the configuration whatever happens to orders.

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
const POLL: Duration = Duration::from_millis(20);
/// Polls before a condition counts as never reached.
const POLLS: u32 = 2_000;

struct Bench {
    platform: SocketAddr,
    engines: Vec<SocketAddr>,
    stewards: Vec<JoinHandle<()>>,
    head: Option<u64>,
}

impl Bench {
    /// Starts a platform and engines that serve version 1; engine 0 does not
    /// check fencing numbers.
    async fn start(stewards: u64) -> Bench {
        let (listener, platform) = bind().await;
        let settings = platform::Settings { list_lag_ms: 0, ..platform::Settings::default() };
        tokio::task::spawn_local(platform::run(listener, settings));
        let mut bench = Bench { platform, engines: Vec::new(), stewards: Vec::new(), head: None };
        let mut vms = Vec::new();
        for at in 0..ENGINES {
            let (listener, addr) = bind().await;
            let name = format!("e{at}");
            tokio::task::spawn_local(engine::run(listener, engine_settings(&name, at, platform)));
            bench.engines.push(addr);
            vms.push(vm(&name, addr));
        }
        bench.control(&Control { vms: Some(vms), ..Control::default() }).await;
        bench.publish(1).await;
        for incarnation in 1..=stewards {
            bench.start_steward(incarnation);
        }
        bench
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

    /// Publishes a configuration that wants `version` of the model.
    async fn publish(&mut self, version: u32) {
        let text = CONFIG.replace("version: 1", &format!("version: {version}")).into();
        let change = Change::Publish { parent: self.head, text };
        let record = Record { id: format!("v{version}"), change };
        post(self.platform, "/log/config", record.to_json().into_bytes()).await;
        self.head = Some(self.head.map_or(0, |head| head + 1));
    }

    /// Waits until every engine serves `version`.
    async fn converged(&self, version: u32) {
        for _ in 0..POLLS {
            let mut serving = 0;
            for &engine in &self.engines {
                let state: EngineState = get(engine, "/state").await;
                serving += usize::from(state.version == version && !state.loading);
            }
            if serving == ENGINES {
                return;
            }
            sleep(POLL).await;
        }
        panic!("the engines never served version {version}");
    }

    async fn weights(&self) -> WeightStatistics {
        get(self.platform, "/weights").await
    }
}

fn engine_settings(name: &str, at: usize, platform: SocketAddr) -> engine::Settings {
    engine::Settings {
        name: name.to_owned(),
        incarnation: 1 + at as u32,
        model: "m".to_owned(),
        step_ms: 1,
        slots: 4,
        prefill_tokens: 256,
        cache_tokens: 1_000,
        report_lag_ms: 0,
        fenced: at > 0,
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

fn run(test: impl Future<Output = ()>) {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn engines_converge_within_the_rate_of_the_weight_store() {
    run(async {
        let mut bench = Bench::start(2).await;
        bench.publish(2).await;
        bench.converged(2).await;
        let weights = bench.weights().await;
        assert_eq!((weights.fetches, weights.over_rate), (ENGINES as u64, 0));
    });
}

#[test]
fn order_whose_answer_is_lost_is_not_given_twice() {
    run(async {
        let mut bench = Bench::start(1).await;
        let lose = engine::Control { lose_orders: Some(1), ..engine::Control::default() };
        for &engine in &bench.engines {
            post(engine, "/control", serde_json::to_vec(&lose).unwrap()).await;
        }
        bench.publish(2).await;
        bench.converged(2).await;
        assert_eq!(bench.weights().await.fetches, ENGINES as u64);
    });
}

#[test]
fn successor_takes_over_from_a_dead_holder() {
    run(async {
        let mut bench = Bench::start(1).await;
        bench.publish(2).await;
        bench.converged(2).await;
        bench.stewards[0].abort();
        bench.start_steward(2);
        bench.publish(3).await;
        bench.converged(3).await;
        assert_eq!(bench.weights().await.over_rate, 0);
    });
}

#[test]
fn order_of_a_lapsed_holder_does_not_stay_in_effect() {
    run(async {
        let mut bench = Bench::start(0).await;
        // The earlier holder's claim, so that the present fence is above 0.
        let claim = br#"{"holder":99,"serial":1,"parent":null}"#;
        post(bench.platform, "/log/lease", claim.to_vec()).await;
        bench.start_steward(1);
        bench.publish(2).await;
        bench.converged(2).await;
        // An order that an earlier holder had in hand when it was paused.
        let stale = br#"{"fence":0,"model":"m","version":1,"weight_mib":1}"#;
        for (at, &engine) in bench.engines.iter().enumerate() {
            let answer = Call::post(engine, "/orders", &stale[..]).send().await.unwrap();
            // Engine 0 does not check fencing numbers and takes it.
            assert_eq!(answer.status, if at == 0 { 200 } else { 409 });
        }
        bench.converged(2).await;
    });
}

#[test]
fn engines_converge_after_an_outage_of_the_log() {
    run(async {
        let mut bench = Bench::start(2).await;
        bench.publish(2).await;
        bench.converged(2).await;
        bench.control(&Control { log: Some(Mode::Hang), ..Control::default() }).await;
        // Meanwhile an engine that checks nobody takes somebody's order.
        let stray = br#"{"fence":0,"model":"m","version":1,"weight_mib":1}"#;
        post(bench.engines[0], "/orders", stray.to_vec()).await;
        bench.control(&Control { log: Some(Mode::Up), ..Control::default() }).await;
        bench.publish(3).await;
        bench.converged(3).await;
    });
}
