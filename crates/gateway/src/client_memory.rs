//! The memory that one client's connection takes.

use std::{cell::Cell, rc::Rc};

use mimosaledge_core::Name;
use mimosaledge_policy::byte_budget::{ConnectionId, NoRoom, Stage};
use tokio::sync::Notify;

use crate::memory::Memory;

/// Tells a connection, or the request that it receives, to give way.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    stage: Cell<Option<Stage>>,
    /// Whether the connection has to be closed after its response.
    is_last: Cell<bool>,
    raised: Notify,
}

impl Signal {
    /// Tells a connection in this stage to give way.
    pub(crate) fn raise(&self, stage: Stage) {
        if stage == Stage::Working {
            self.is_last.set(true);
            return;
        }
        self.stage.set(Some(stage));
        self.raised.notify_waiters();
    }

    /// Waits until the signal has been raised for a request, or for the whole connection.
    async fn wait(&self, is_request: bool) {
        loop {
            let raised = self.raised.notified();
            if self.stage.get().is_some_and(|it| (it == Stage::Receiving) == is_request) {
                return;
            }
            raised.await;
        }
    }
}

/// What is held for a client's connection; nothing any more once it is dropped.
#[derive(Debug)]
pub(crate) struct ClientMemory {
    memory: Rc<Memory>,
    id: ConnectionId,
    signal: Rc<Signal>,
}

impl ClientMemory {
    /// Adds a connection of a client or of another gateway.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room.
    pub(crate) fn open(memory: &Rc<Memory>, is_gateway: bool) -> Result<Rc<ClientMemory>, NoRoom> {
        let signal: Rc<Signal> = Rc::default();
        let id = memory.open(is_gateway, signal.clone())?;
        Ok(Rc::new(ClientMemory { memory: memory.clone(), id, signal }))
    }

    /// Sets the workspace whose request is received.
    pub(crate) fn set_workspace(&self, workspace: Option<Name>) {
        self.memory.set_workspace(self.id, workspace);
    }

    /// Records what the connection does; returns whether it had been told to give way.
    pub(crate) fn set_stage(&self, stage: Stage) -> bool {
        self.signal.stage.set(None);
        self.memory.set_stage(self.id, stage)
    }

    /// Records that bytes have been received from the client.
    pub(crate) fn record_progress(&self, bytes: usize) {
        self.memory.record_progress(self.id, bytes);
    }

    /// Waits until the request whose body is received has to give way.
    pub(crate) async fn wait_for_yield(&self) {
        self.signal.wait(true).await;
    }

    /// Waits until the connection has to be closed.
    pub(crate) async fn wait_for_close(&self) {
        self.signal.wait(false).await;
    }

    /// Returns whether the connection has to be closed after its response.
    pub(crate) fn is_last_request(&self) -> bool {
        self.signal.is_last.get()
    }

    /// Returns a grant of no bytes.
    pub(crate) fn grant(self: &Rc<Self>) -> Grant {
        Grant { client: self.clone(), bytes: 0 }
    }
}

impl Drop for ClientMemory {
    fn drop(&mut self) {
        self.memory.close(self.id);
    }
}

/// The right to hold bytes, until it is dropped.
#[derive(Debug)]
pub(crate) struct Grant {
    client: Rc<ClientMemory>,
    bytes: usize,
}

impl Grant {
    /// Grows the grant to `bytes`, if it is smaller.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room; the grant stays as it is.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let Some(more) = bytes.checked_sub(self.bytes).filter(|it| *it > 0) else { return Ok(()) };
        self.client.memory.grow(self.client.id, more)?;
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.client.memory.shrink(self.client.id, self.bytes);
    }
}
