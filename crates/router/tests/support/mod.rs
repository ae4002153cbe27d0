//! A fleet in one process: real routers and stand-ins on loopback sockets.

#![allow(dead_code, reason = "each test file uses its own part")]

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

/// Polls of a condition before it counts as never reached.
const POLLS: u32 = 3_000;
/// Pause between two polls.
const POLL: Duration = Duration::from_millis(10);
/// Guard against a call that never ends.
const CALL_LIMIT: Duration = Duration::from_secs(20);

pub(crate) const CONFIG: &str = include_str!("config.yaml");
pub(crate) const MODEL: &str = "m";

/// Runs a test on one thread.
pub(crate) fn run<F: Future<Output = ()>>(test: F) {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// A member of the fleet whose task can be aborted, which ends it as a crash
/// would.
pub(crate) struct Member {
    pub(crate) name: String,
    pub(crate) addr: SocketAddr,
    task: JoinHandle<()>,
}

impl Member {
    /// Returns whether the member has ended, as by a crash.
    pub(crate) fn is_finished(&self) -> bool {
        self.task.is_finished()
    }

    /// Ends the member at once and waits until its sockets are closed.
    pub(crate) async fn kill(&mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }
}

/// A running router.
pub(crate) struct Router {
    pub(crate) member: Member,
    pub(crate) ops: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) settings: Settings,
    pub(crate) stop: StopHandle,
}

/// A fleet with its stand-ins.
pub(crate) struct Fleet {
    pub(crate) platform: Member,
    pub(crate) engines: Vec<Member>,
    pub(crate) services: Vec<Member>,
    pub(crate) routers: Vec<Router>,
    pool: Pool,
    incarnation: RefCell<u32>,
}

/// The size of a fleet and the settings that a test changes.
pub(crate) struct Plan {
    pub(crate) routers: usize,
    pub(crate) engines: usize,
    pub(crate) services: usize,
    pub(crate) limits: &'static str,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan { routers: 3, engines: 3, services: 2, limits: "" }
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

/// Binds a TCP and a UDP socket to one port.
async fn bind_peer() -> (TcpListener, UdpSocket, SocketAddr) {
    loop {
        let (listener, addr) = bind().await;
        if let Ok(socket) = UdpSocket::bind(addr).await {
            return (listener, socket, addr);
        }
    }
}

fn vm(name: &str, kind: VmKind, addr: SocketAddr, peer: Option<SocketAddr>, at: usize) -> Vm {
    let data_centre = ["centre-a", "centre-b", "centre-c"][at % 3];
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
    /// Starts a fleet, publishes the test configuration and waits until every
    /// router serves and knows every endpoint.
    pub(crate) async fn start(plan: Plan) -> Fleet {
        let fleet = Fleet::start_unconfigured(plan).await;
        fleet.publish(CONFIG).await;
        fleet.settled().await;
        fleet
    }

    /// Starts a fleet without a configuration.
    pub(crate) async fn start_unconfigured(plan: Plan) -> Fleet {
        let (listener, addr) = bind().await;
        let settings = platform::Settings { list_lag_ms: 0, ..platform::Settings::default() };
        let task = tokio::task::spawn_local(platform::run(listener, settings));
        let mut fleet = Fleet {
            platform: Member { name: "platform".to_owned(), addr, task },
            engines: Vec::new(),
            services: Vec::new(),
            routers: Vec::new(),
            pool: Pool::new(CALL_LIMIT),
            incarnation: RefCell::new(100),
        };
        for at in 0..plan.engines {
            let (listener, addr) = bind().await;
            fleet.engines.push(fleet.start_engine(&format!("engine-{at}"), listener, addr));
        }
        for at in 0..plan.services {
            let (listener, addr) = bind().await;
            fleet.services.push(fleet.start_service(&format!("service-{at}"), listener, addr));
        }
        for at in 0..plan.routers {
            let settings = fleet.router_settings(at, plan.limits);
            fleet.start_router(settings).await;
        }
        fleet.list_vms().await;
        fleet
    }

    fn next_incarnation(&self) -> u32 {
        *self.incarnation.borrow_mut() += 1;
        *self.incarnation.borrow()
    }

    fn start_engine(&self, name: &str, listener: TcpListener, addr: SocketAddr) -> Member {
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
        Member { name: name.to_owned(), addr, task }
    }

    fn start_service(&self, name: &str, listener: TcpListener, addr: SocketAddr) -> Member {
        let task = tokio::task::spawn_local(service::run(listener, self.next_incarnation(), 1));
        Member { name: name.to_owned(), addr, task }
    }

    fn router_settings(&self, at: usize, limits: &str) -> Settings {
        let data_centre = ["centre-a", "centre-b", "centre-c"][at % 3];
        let seeds: Vec<String> = self.routers.iter().map(|it| format!("\"{}\"", it.peer)).collect();
        let text = format!(
            "kind: router\nname: router-{at}\ndata_centre: {data_centre}\nregion: region\n\
             http: 127.0.0.1:0\npeer: 127.0.0.1:0\nops: 127.0.0.1:0\n\
             platform: {}\nseeds: [{}]\nlog_level: off\n\
             limits: {{ gossip_ms: 50, probe_ms: 50, follow_ms: 50, list_ms: 50, keep_ms: 200{limits} }}\n",
            self.platform.addr,
            seeds.join(","),
        );
        Settings::from_yaml(&text).unwrap()
    }

    /// Starts a router with `settings`, on fresh ports where those are zero.
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
        let member = Member { name, addr: http_addr, task };
        self.routers.push(Router { member, ops: ops_addr, peer: peer_addr, settings, stop });
    }

    /// Starts one more engine and lists it.
    pub(crate) async fn add_engine(&mut self) {
        let (listener, addr) = bind().await;
        let name = format!("engine-{}", self.engines.len());
        let engine = self.start_engine(&name, listener, addr);
        self.engines.push(engine);
        self.list_vms().await;
    }

    /// Starts engine `at` again on its old address.
    pub(crate) async fn restart_engine(&mut self, at: usize) {
        let (name, addr) = (self.engines[at].name.clone(), self.engines[at].addr);
        let listener = TcpListener::bind(addr).await.unwrap();
        self.engines[at] = self.start_engine(&name, listener, addr);
    }

    /// Tells the platform the present list of VMs.
    pub(crate) async fn list_vms(&self) {
        let engines = self.engines.iter().enumerate();
        let services = self.services.iter().enumerate();
        let routers = self.routers.iter().enumerate();
        let vms: Vec<Vm> = engines
            .map(|(at, it)| vm(&it.name, VmKind::Engine, it.addr, None, at))
            .chain(services.map(|(at, it)| vm(&it.name, VmKind::Service, it.addr, None, at)))
            .chain(routers.map(|(at, it)| {
                vm(&it.member.name, VmKind::Router, it.member.addr, Some(it.peer), at)
            }))
            .collect();
        self.control_platform(&platform::Control { vms: Some(vms), ..Default::default() }).await;
    }

    pub(crate) async fn control_platform(&self, control: &platform::Control) {
        post(self.platform.addr, "/control", serde_json::to_vec(control).unwrap()).await;
    }

    pub(crate) async fn control_engine(&self, at: usize, control: &engine::Control) {
        post(self.engines[at].addr, "/control", serde_json::to_vec(control).unwrap()).await;
    }

    pub(crate) async fn control_services(&self, control: &service::Control) {
        for service in &self.services {
            post(service.addr, "/control", serde_json::to_vec(control).unwrap()).await;
        }
    }

    /// Appends a record to the configuration stream.
    pub(crate) async fn append(&self, record: &Record) -> bool {
        let call = Call::post(self.platform.addr, "/log/config", record.to_json());
        call.timeout(Duration::from_millis(300)).send_ok().await.is_ok()
    }

    /// Publishes a first configuration.
    pub(crate) async fn publish(&self, text: &str) {
        let change = Change::Publish { parent: None, text: text.into() };
        assert!(self.append(&Record { id: "first".to_owned(), change }).await);
    }

    /// Switches the preset on top of the head at `parent`.
    pub(crate) async fn switch(&self, parent: u64, preset: PresetName) {
        let change = Change::Switch { parent, preset };
        assert!(self.append(&Record { id: format!("switch-{parent}"), change }).await);
    }

    /// Waits until every router serves and sees every member up.
    pub(crate) async fn settled(&self) {
        let endpoints = self.engines.len() + self.services.len();
        for router in &self.routers {
            let routers = self.routers.len();
            self.until(router.ops, |it| {
                let up = it.endpoints.iter().filter(|it| it.health == "up").count();
                it.state == "serving" && it.routers == routers && up == endpoints
            })
            .await;
        }
    }

    /// Waits until a router's status meets a condition.
    pub(crate) async fn until(&self, ops: SocketAddr, condition: impl Fn(&Status) -> bool) {
        let mut last = None;
        for _ in 0..POLLS {
            last = status(ops).await;
            if last.as_ref().is_some_and(&condition) {
                return;
            }
            time::sleep(POLL).await;
        }
        panic!("condition was never met; last status: {last:?}");
    }

    /// Asks router `at` for a key prefix.
    pub(crate) async fn prefix(&self, at: usize) -> String {
        let located: serde_json::Value =
            get(self.routers[at].member.addr, "/locate?workspace=w1&chat=c").await;
        located["key_prefix"].as_str().unwrap().to_owned()
    }

    /// Sends a request with `headers` to router `at`.
    pub(crate) async fn send(
        &self,
        at: usize,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, PoolError> {
        send(&self.pool, self.routers[at].member.addr, headers, body).await
    }

    /// Books with `key` through router `at`.
    pub(crate) async fn book(&self, at: usize, key: &str) -> Result<Answer, PoolError> {
        let headers = [
            ("x-workspace", "w1"),
            ("x-class", "booking"),
            ("x-request-id", "book"),
            ("idempotency-key", key),
        ];
        self.send(at, &headers, "{}").await
    }

    /// Asks for `output` tokens for a chat through router `at`.
    pub(crate) async fn chat(
        &self,
        at: usize,
        chat: &str,
        output: u32,
    ) -> Result<Answer, PoolError> {
        let headers =
            [("x-workspace", "w1"), ("x-class", "chat"), ("x-request-id", "q"), ("x-chat", chat)];
        self.send(at, &headers, chat_body(chat, output)).await
    }

    /// Returns how often `key` ran, over all services.
    pub(crate) async fn runs(&self, key: &str) -> u32 {
        let mut total = 0;
        for at in 0..self.services.len() {
            total += self.runs_at(at, key).await;
        }
        total
    }

    /// Returns how often `key` ran at service `at`.
    pub(crate) async fn runs_at(&self, at: usize, key: &str) -> u32 {
        let runs: service::Runs = get(self.services[at].addr, "/runs").await;
        runs.runs.get(key).copied().unwrap_or(0)
    }
}
