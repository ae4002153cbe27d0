//! A fleet in one process: real routers, and simulated endpoints and platform, on
//! loopback sockets.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::{
    cell::RefCell,
    future::Future,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use mimosaledge_core::{
    config::PresetName,
    record::{Change, Record},
};
use mimosaledge_net::{
    Vm, VmKind,
    http::Call,
    pool::{Pool, PoolError},
};
use mimosaledge_router::{Node, Settings, Sockets, StopHandle, ops::Status};
use mimosaledge_standin::{engine, platform, service};
use tokio::{
    net::{TcpListener, UdpSocket},
    runtime::Builder,
    task::{JoinHandle, LocalSet},
    time,
};

mod calls;

pub(crate) use calls::*;

/// Number of polls after which a condition counts as never met.
const MAX_POLLS: u32 = 3_000;
/// Interval between polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of a call, so that a hang fails the test.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) const CONFIG: &str = include_str!("config.yaml");
pub(crate) const MODEL: &str = "m";

/// Runs a test on a single-threaded runtime.
pub(crate) fn run<F: Future<Output = ()>>(test: F) {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// A router, endpoint or platform that runs as a task; aborting the task simulates
/// a crash.
pub(crate) struct Process {
    pub(crate) name: String,
    pub(crate) addr: SocketAddr,
    task: JoinHandle<()>,
}

impl Process {
    /// Returns whether the task has ended, for example by a crash.
    pub(crate) fn is_finished(&self) -> bool {
        self.task.is_finished()
    }

    /// Aborts the task and waits until its sockets are closed.
    pub(crate) async fn kill(&mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }
}

/// A running router.
pub(crate) struct Router {
    pub(crate) process: Process,
    pub(crate) ops: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) settings: Settings,
    pub(crate) stop: StopHandle,
}

/// A running fleet.
pub(crate) struct Fleet {
    pub(crate) platform: Process,
    pub(crate) engines: Vec<Process>,
    pub(crate) services: Vec<Process>,
    pub(crate) routers: Vec<Router>,
    pool: Pool,
    incarnation: RefCell<u32>,
}

/// The size of a fleet, and router limits that a test overrides.
pub(crate) struct FleetOptions {
    pub(crate) routers: usize,
    pub(crate) engines: usize,
    pub(crate) services: usize,
    /// YAML fields to append to `limits`, each with a comma before it.
    pub(crate) limits: &'static str,
}

impl Default for FleetOptions {
    fn default() -> FleetOptions {
        FleetOptions { routers: 3, engines: 3, services: 2, limits: "" }
    }
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// Binds a TCP and a UDP socket to the same port.
async fn bind_peer() -> (TcpListener, UdpSocket, SocketAddr) {
    loop {
        let (listener, addr) = bind().await;
        if let Ok(socket) = UdpSocket::bind(addr).await {
            return (listener, socket, addr);
        }
    }
}

fn vm(name: &str, kind: VmKind, addr: SocketAddr, peer: Option<SocketAddr>, index: usize) -> Vm {
    let data_centre = ["centre-a", "centre-b", "centre-c"][index % 3];
    let region = "region".into();
    Vm {
        name: name.into(),
        kind,
        addr,
        peer,
        data_centre: data_centre.into(),
        region,
        leaving: false,
    }
}

impl Fleet {
    /// Starts a fleet, publishes the test configuration and waits until the fleet is
    /// ready.
    pub(crate) async fn start(options: FleetOptions) -> Fleet {
        let fleet = Fleet::start_unconfigured(options).await;
        fleet.publish(CONFIG).await;
        fleet.wait_until_ready().await;
        fleet
    }

    /// Starts a fleet without a configuration.
    pub(crate) async fn start_unconfigured(options: FleetOptions) -> Fleet {
        let (listener, addr) = bind().await;
        let settings = platform::Settings { list_lag_ms: 0, ..platform::Settings::default() };
        let task = tokio::task::spawn_local(platform::run(listener, settings));
        let mut fleet = Fleet {
            platform: Process { name: "platform".to_owned(), addr, task },
            engines: Vec::new(),
            services: Vec::new(),
            routers: Vec::new(),
            pool: Pool::new(CALL_TIMEOUT),
            incarnation: RefCell::new(100),
        };
        for index in 0..options.engines {
            let (listener, addr) = bind().await;
            fleet.engines.push(fleet.start_engine(&format!("engine-{index}"), listener, addr));
        }
        for index in 0..options.services {
            let (listener, addr) = bind().await;
            fleet.services.push(fleet.start_service(&format!("service-{index}"), listener, addr));
        }
        for index in 0..options.routers {
            let settings = fleet.router_settings(index, options.limits);
            fleet.start_router(settings).await;
        }
        fleet.update_vm_list().await;
        fleet
    }

    fn next_incarnation(&self) -> u32 {
        *self.incarnation.borrow_mut() += 1;
        *self.incarnation.borrow()
    }

    fn start_engine(&self, name: &str, listener: TcpListener, addr: SocketAddr) -> Process {
        let settings = engine::Settings {
            name: name.to_owned(),
            incarnation: self.next_incarnation(),
            model: MODEL.to_owned(),
            step_ms: 1,
            slots: 16,
            prefill_tokens: 256,
            cache_tokens: 100_000,
            report_lag_ms: 0,
            fenced: true,
            weights: None,
        };
        let task = tokio::task::spawn_local(engine::run(listener, settings));
        Process { name: name.to_owned(), addr, task }
    }

    fn start_service(&self, name: &str, listener: TcpListener, addr: SocketAddr) -> Process {
        let task = tokio::task::spawn_local(service::run(listener, self.next_incarnation(), 1));
        Process { name: name.to_owned(), addr, task }
    }

    fn router_settings(&self, index: usize, limits: &str) -> Settings {
        let data_centre = ["centre-a", "centre-b", "centre-c"][index % 3];
        let seeds: Vec<String> = self.routers.iter().map(|it| format!("\"{}\"", it.peer)).collect();
        let text = format!(
            "kind: router\nname: router-{index}\ndata_centre: {data_centre}\nregion: region\n\
             http: 127.0.0.1:0\npeer: 127.0.0.1:0\nops: 127.0.0.1:0\n\
             platform: {}\nseeds: [{}]\nlog_level: off\n\
             limits: {{ gossip_ms: 50, probe_ms: 50, follow_ms: 50, list_ms: 50, keep_ms: 200{limits} }}\n",
            self.platform.addr,
            seeds.join(","),
        );
        Settings::from_yaml(&text).unwrap()
    }

    /// Starts a router with `settings` on new ports.
    pub(crate) async fn start_router(&mut self, mut settings: Settings) {
        let (transfers, peer, peer_addr) = bind_peer().await;
        let (http, http_addr) = bind().await;
        let (ops, ops_addr) = bind().await;
        (settings.http, settings.peer, settings.ops) = (http_addr, peer_addr, ops_addr);
        let sockets = Sockets { http, peer, transfers, ops };
        let node = Node::new(settings.clone(), sockets.peer).unwrap();
        let stop = StopHandle::new(Rc::clone(&node));
        let name = settings.name.to_string();
        let task = tokio::task::spawn_local(node.run(sockets.http, sockets.transfers, sockets.ops));
        let process = Process { name, addr: http_addr, task };
        self.routers.push(Router { process, ops: ops_addr, peer: peer_addr, settings, stop });
    }

    /// Starts another engine and adds it to the VM list.
    pub(crate) async fn add_engine(&mut self) {
        let (listener, addr) = bind().await;
        let name = format!("engine-{}", self.engines.len());
        let engine = self.start_engine(&name, listener, addr);
        self.engines.push(engine);
        self.update_vm_list().await;
    }

    /// Restarts engine `index` on its previous address.
    pub(crate) async fn restart_engine(&mut self, index: usize) {
        let (name, addr) = (self.engines[index].name.clone(), self.engines[index].addr);
        let listener = TcpListener::bind(addr).await.unwrap();
        self.engines[index] = self.start_engine(&name, listener, addr);
    }

    /// Sends the current VM list to the platform.
    pub(crate) async fn update_vm_list(&self) {
        let engines = self.engines.iter().enumerate();
        let services = self.services.iter().enumerate();
        let routers = self.routers.iter().enumerate();
        let vms: Vec<Vm> = engines
            .map(|(index, it)| vm(&it.name, VmKind::Engine, it.addr, None, index))
            .chain(services.map(|(index, it)| vm(&it.name, VmKind::Service, it.addr, None, index)))
            .chain(routers.map(|(index, it)| {
                vm(&it.process.name, VmKind::Router, it.process.addr, Some(it.peer), index)
            }))
            .collect();
        self.control_platform(&platform::Control { vms: Some(vms), ..Default::default() }).await;
    }

    pub(crate) async fn control_platform(&self, control: &platform::Control) {
        post(self.platform.addr, "/control", serde_json::to_vec(control).unwrap()).await;
    }

    pub(crate) async fn control_engine(&self, index: usize, control: &engine::Control) {
        post(self.engines[index].addr, "/control", serde_json::to_vec(control).unwrap()).await;
    }

    pub(crate) async fn control_services(&self, control: &service::Control) {
        for service in &self.services {
            post(service.addr, "/control", serde_json::to_vec(control).unwrap()).await;
        }
    }

    /// Appends a record to the configuration stream; returns whether the platform
    /// confirmed it.
    pub(crate) async fn append(&self, record: &Record) -> bool {
        let call = Call::post(self.platform.addr, "/log/config", record.to_json());
        call.timeout(Duration::from_millis(300)).send_ok().await.is_ok()
    }

    /// Publishes the first configuration.
    pub(crate) async fn publish(&self, text: &str) {
        let change = Change::Publish { parent: None, text: text.into() };
        assert!(self.append(&Record { id: "first".to_owned(), change }).await);
    }

    /// Switches the preset on top of the head at `parent`.
    pub(crate) async fn switch(&self, parent: u64, preset: PresetName) {
        let change = Change::Switch { parent, preset };
        assert!(self.append(&Record { id: format!("switch-{parent}"), change }).await);
    }

    /// Waits until every router serves, knows all routers and sees every endpoint as
    /// up.
    pub(crate) async fn wait_until_ready(&self) {
        let endpoints = self.engines.len() + self.services.len();
        for router in &self.routers {
            let routers = self.routers.len();
            self.wait_until(router.ops, |it| {
                let up = it.endpoints.iter().filter(|it| it.health == "up").count();
                it.state == "serving" && it.routers == routers && up == endpoints
            })
            .await;
        }
    }

    /// Waits until the status of a router meets a condition.
    pub(crate) async fn wait_until(&self, ops: SocketAddr, condition: impl Fn(&Status) -> bool) {
        let mut last = None;
        for _ in 0..MAX_POLLS {
            last = status(ops).await;
            if last.as_ref().is_some_and(&condition) {
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
        panic!("condition was never met; last status: {last:?}");
    }

    /// Returns a new key prefix whose home is router `index`.
    pub(crate) async fn key_prefix(&self, index: usize) -> String {
        let located: serde_json::Value =
            get(self.routers[index].process.addr, "/locate?workspace=w1&chat=c").await;
        located["key_prefix"].as_str().unwrap().to_owned()
    }

    /// Sends a request with `headers` to router `index`.
    pub(crate) async fn send(
        &self,
        index: usize,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Response, PoolError> {
        send(&self.pool, self.routers[index].process.addr, headers, body).await
    }

    /// Sends a booking with `key` through router `index`.
    pub(crate) async fn send_booking(
        &self,
        index: usize,
        key: &str,
    ) -> Result<Response, PoolError> {
        let headers = [
            ("x-workspace", "w1"),
            ("x-class", "booking"),
            ("x-request-id", "book"),
            ("idempotency-key", key),
        ];
        self.send(index, &headers, "{}").await
    }

    /// Sends a chat request for `output` tokens through router `index`.
    pub(crate) async fn send_chat(
        &self,
        index: usize,
        chat: &str,
        output: u32,
    ) -> Result<Response, PoolError> {
        let headers =
            [("x-workspace", "w1"), ("x-class", "chat"), ("x-request-id", "q"), ("x-chat", chat)];
        self.send(index, &headers, chat_body(chat, output)).await
    }

    /// Returns how often `key` ran on all services together.
    pub(crate) async fn run_count(&self, key: &str) -> u32 {
        let mut total = 0;
        for index in 0..self.services.len() {
            total += self.run_count_at(index, key).await;
        }
        total
    }

    /// Returns how often `key` ran on service `index`.
    pub(crate) async fn run_count_at(&self, index: usize, key: &str) -> u32 {
        let runs: service::Runs = get(self.services[index].addr, "/runs").await;
        runs.runs.get(key).copied().unwrap_or(0)
    }
}
