//! The memory that clients take: asks the budget, and tells connections to give way.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use mimosaledge_core::Name;
use mimosaledge_policy::{
    byte_budget::{ByteBudget, ConnectionId, NoRoom, Stage, Victim},
    memory_limits::MemoryLimits,
};

use crate::{client_memory::Signal, clock::Clock};

/// Decisions against clients since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct MemoryCounts {
    /// Connections for which there was no room.
    pub(crate) refused_connections: u64,
    /// Requests or responses for which there was no room.
    pub(crate) refused_bytes: u64,
    /// Requests that gave way while their bodies were received.
    pub(crate) yielded_requests: u64,
    /// Connections that gave way while they waited, did not read a response, or after one.
    pub(crate) yielded_connections: u64,
}

/// All that is held for clients.
#[derive(Debug)]
pub(crate) struct Memory {
    clock: Clock,
    budget: RefCell<ByteBudget>,
    signals: RefCell<HashMap<ConnectionId, Rc<Signal>>>,
    counts: Cell<MemoryCounts>,
}

impl Memory {
    pub(crate) fn new(limits: MemoryLimits, clock: Clock) -> Memory {
        Memory {
            clock,
            budget: RefCell::new(ByteBudget::new(limits)),
            signals: RefCell::default(),
            counts: Cell::default(),
        }
    }

    pub(crate) fn limits(&self) -> MemoryLimits {
        *self.budget.borrow().limits()
    }

    pub(crate) fn held_bytes(&self) -> usize {
        self.budget.borrow().held_bytes()
    }

    pub(crate) fn connections(&self) -> usize {
        self.budget.borrow().connections()
    }

    pub(crate) fn counts(&self) -> MemoryCounts {
        self.counts.get()
    }

    /// Adds a connection that `signal` tells to give way.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room.
    pub(crate) fn open(
        &self,
        is_gateway: bool,
        signal: Rc<Signal>,
    ) -> Result<ConnectionId, NoRoom> {
        let mut victims = Vec::new();
        let opened = self.budget.borrow_mut().open(is_gateway, self.clock.now(), &mut victims);
        self.dismiss(&victims);
        match opened {
            Ok(id) => {
                self.signals.borrow_mut().insert(id, signal);
            }
            Err(NoRoom) => self.count(|it| it.refused_connections += 1),
        }
        opened
    }

    pub(crate) fn close(&self, id: ConnectionId) {
        self.budget.borrow_mut().close(id);
        self.signals.borrow_mut().remove(&id);
    }

    /// Adds bytes to what is held for a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room.
    pub(crate) fn grow(&self, id: ConnectionId, bytes: usize) -> Result<(), NoRoom> {
        let mut victims = Vec::new();
        let result = self.budget.borrow_mut().grow(id, bytes, self.clock.now(), &mut victims);
        self.dismiss(&victims);
        if result.is_err() {
            self.count(|it| it.refused_bytes += 1);
        }
        result
    }

    pub(crate) fn shrink(&self, id: ConnectionId, bytes: usize) {
        self.budget.borrow_mut().shrink(id, bytes);
    }

    pub(crate) fn set_workspace(&self, id: ConnectionId, workspace: Option<Name>) {
        self.budget.borrow_mut().set_workspace(id, workspace);
    }

    /// Records what a connection does; returns whether it had been told to give way.
    pub(crate) fn set_stage(&self, id: ConnectionId, stage: Stage) -> bool {
        self.budget.borrow_mut().set_stage(id, stage, self.clock.now())
    }

    pub(crate) fn record_progress(&self, id: ConnectionId, bytes: usize) {
        self.budget.borrow_mut().record_progress(id, bytes, self.clock.now());
    }

    /// Tells connections to give way.
    fn dismiss(&self, victims: &[Victim]) {
        for victim in victims {
            let signals = self.signals.borrow();
            let Some(signal) = signals.get(&victim.id) else { continue };
            match victim.stage {
                Stage::Receiving => self.count(|it| it.yielded_requests += 1),
                _ => self.count(|it| it.yielded_connections += 1),
            }
            signal.raise(victim.stage);
        }
    }

    fn count(&self, change: impl FnOnce(&mut MemoryCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}
