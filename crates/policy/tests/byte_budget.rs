//! What is held for clients: limits, who gives way, and what is left for others.

use mimosaledge_core::Millis;
use mimosaledge_policy::{
    PolicySettings,
    byte_budget::{ByteBudget, ConnectionId, NoRoom, Stage, Victim},
    memory_limits::MemoryLimits,
};

const STALL_MS: u64 = 100;
const LIMITS: MemoryLimits = MemoryLimits {
    total_bytes: 1_000,
    large_bytes: 700,
    workspace_bytes: 500,
    small_bytes: 20,
    connection_bytes: 10,
    connections: 8,
    other_connections: 2,
    stall_ms: STALL_MS,
};

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                $body
            }
        )*
    };
}

cases! {
    slowest_client_gives_way_first => slowest_case();
    client_that_goes_on_stays => progress_case();
    request_at_an_endpoint_never_gives_way => working_case();
    workspace_takes_only_its_part => workspace_case();
    large_holdings_leave_room_for_small_ones => small_case();
    nobody_gives_way_in_vain => vain_case();
    connections_are_bounded_with_room_for_gateways => connections_case();
    busy_connection_ends_for_a_new_one => busy_case();
    what_is_returned_can_be_taken_again => return_case();
    limits_follow_the_machine => limits_case();
}

struct Clients {
    budget: ByteBudget,
    victims: Vec<Victim>,
}

impl Clients {
    fn new() -> Clients {
        Clients { budget: ByteBudget::new(LIMITS), victims: Vec::new() }
    }

    /// Opens a connection of `workspace` that receives a request.
    fn receive(&mut self, workspace: &str, now: u64) -> ConnectionId {
        let id = self.budget.open(false, Millis(now), &mut self.victims).unwrap();
        self.budget.set_workspace(id, Some(workspace.into()));
        self.budget.set_stage(id, Stage::Receiving, Millis(now));
        id
    }

    fn grow(&mut self, id: ConnectionId, bytes: usize, now: u64) -> Result<(), NoRoom> {
        self.budget.grow(id, bytes, Millis(now), &mut self.victims)
    }

    fn take_victims(&mut self) -> Vec<ConnectionId> {
        self.victims.drain(..).map(|it| it.id).collect()
    }
}

fn slowest_case() {
    let mut clients = Clients::new();
    let ids = ["a", "b", "c"].map(|it| clients.receive(it, 0));
    for id in ids {
        clients.grow(id, 200, 0).unwrap();
    }
    clients.budget.record_progress(ids[0], 8_192, Millis(50));
    clients.budget.record_progress(ids[1], 100, Millis(90));
    clients.budget.record_progress(ids[2], 8_192, Millis(90));
    let new = clients.receive("d", 120);
    clients.grow(new, 200, 120).unwrap();
    assert_eq!(clients.take_victims(), [ids[1]]);
    assert!(clients.budget.set_stage(ids[1], Stage::Working, Millis(120)));
}

fn progress_case() {
    let mut clients = Clients::new();
    let first = clients.receive("a", 0);
    clients.grow(first, 480, 0).unwrap();
    clients.budget.record_progress(first, 8_192, Millis(150));
    let second = clients.receive("b", 200);
    assert_eq!(clients.grow(second, 480, 200), Err(NoRoom));
    assert_eq!(clients.take_victims(), []);
    clients.grow(second, 480, 150 + STALL_MS).unwrap();
    assert_eq!(clients.take_victims(), [first]);
}

fn working_case() {
    let mut clients = Clients::new();
    let first = clients.receive("a", 0);
    clients.grow(first, 480, 0).unwrap();
    assert!(!clients.budget.set_stage(first, Stage::Working, Millis(0)));
    let second = clients.receive("b", 0);
    assert_eq!(clients.grow(second, 480, 10_000), Err(NoRoom));
    clients.budget.set_stage(first, Stage::Sending, Millis(10_000));
    clients.grow(second, 480, 20_000).unwrap();
    assert_eq!(clients.take_victims(), [first]);
}

fn workspace_case() {
    let mut clients = Clients::new();
    let other = clients.receive("b", 0);
    clients.grow(other, 200, 0).unwrap();
    let own = clients.receive("a", 0);
    clients.grow(own, 480, 0).unwrap();
    let next = clients.receive("a", 500);
    clients.grow(next, 100, 500).unwrap();
    assert_eq!(clients.take_victims(), [own]);
    assert_eq!(clients.grow(next, 500, 10_000), Err(NoRoom));
    assert_eq!(clients.take_victims(), []);
}

fn small_case() {
    let mut clients = Clients::new();
    for name in ["a", "b"] {
        let id = clients.receive(name, 0);
        clients.grow(id, 350, 0).unwrap();
    }
    let large = clients.receive("c", 0);
    assert_eq!(clients.grow(large, 100, 0), Err(NoRoom));
    clients.grow(large, 10, 0).unwrap();
    assert_eq!(clients.take_victims(), []);
}

fn vain_case() {
    let mut clients = Clients::new();
    let slow = clients.receive("a", 0);
    clients.grow(slow, 100, 0).unwrap();
    let working = clients.receive("b", 0);
    clients.grow(working, 500, 0).unwrap();
    clients.budget.set_stage(working, Stage::Working, Millis(0));
    let held = clients.budget.held_bytes();
    let new = clients.receive("c", 1_000);
    assert_eq!(clients.grow(new, 400, 1_000), Err(NoRoom));
    assert_eq!(clients.take_victims(), []);
    assert_eq!(clients.budget.held_bytes(), held + LIMITS.connection_bytes);
}

fn connections_case() {
    let mut clients = Clients::new();
    let ids: Vec<_> = (0..8).map(|it| clients.receive("a", it)).collect();
    let opened = |clients: &mut Clients, is_gateway, now| {
        clients.budget.open(is_gateway, Millis(now), &mut clients.victims).is_ok()
    };
    assert!(!opened(&mut clients, false, 10));
    assert!(opened(&mut clients, true, 10));
    assert!(opened(&mut clients, true, 10));
    assert!(!opened(&mut clients, true, 10));
    clients.budget.close(ids[7]);
    clients.budget.close(ids[6]);
    clients.budget.close(ids[5]);
    assert!(opened(&mut clients, false, 10));
    assert!(opened(&mut clients, false, STALL_MS));
    assert_eq!(clients.take_victims(), [ids[0]]);
}

fn busy_case() {
    let mut clients = Clients::new();
    let ids: Vec<_> = (0..8).map(|it| clients.receive("a", it)).collect();
    for id in &ids {
        clients.budget.set_stage(*id, Stage::Working, Millis(10));
    }
    for expected in &ids[..2] {
        assert!(clients.budget.open(false, Millis(20), &mut clients.victims).is_err());
        assert_eq!(clients.victims.pop().unwrap(), Victim { id: *expected, stage: Stage::Working });
    }
    assert_eq!(clients.budget.connections(), 8);
}

fn return_case() {
    let mut clients = Clients::new();
    for now in 0..1_000 {
        let id = clients.receive("a", now);
        clients.grow(id, 480, now).unwrap();
        clients.budget.shrink(id, 480);
        clients.budget.close(id);
    }
    assert_eq!((clients.budget.held_bytes(), clients.budget.connections()), (0, 0));
    assert_eq!(clients.take_victims(), []);
}

fn limits_case() {
    let settings = PolicySettings::default();
    for (memory_mb, max_fds) in [(160, 4_100), (260, 4_100), (512, 8_192), (16, 64)] {
        let limits = MemoryLimits::derive(&settings, Some(memory_mb), Some(max_fds));
        let memory = memory_mb as usize * 1_024 * 1_024;
        assert!(limits.total_bytes <= memory / 2);
        assert!(limits.connections >= 1);
        assert!(limits.connections * limits.connection_bytes <= limits.total_bytes);
        assert!(limits.connections * 4 <= max_fds as usize);
    }
    let unknown = MemoryLimits::derive(&settings, None, None);
    assert_eq!(unknown, MemoryLimits::derive(&settings, Some(256), Some(4_096)));
}
