//! The planned stop of a gateway.

use std::cell::Cell;

use tokio::sync::watch;

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Serving.
    #[default]
    Serving,
    /// Not ready and out of the directory, but still serving.
    Leaving,
    /// Idle connections close.
    Closing,
}

/// The planned stop, as connections see it.
#[derive(Debug)]
pub(crate) struct Drain {
    phase: watch::Sender<Phase>,
    connections: Cell<usize>,
}

impl Default for Drain {
    fn default() -> Drain {
        Drain { phase: watch::Sender::new(Phase::Serving), connections: Cell::new(0) }
    }
}

impl Drain {
    /// Returns whether the gateway is about to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        *self.phase.borrow() > Phase::Serving
    }

    /// Moves on to `phase`.
    pub(crate) fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Waits until idle connections are to be closed.
    pub(crate) async fn closing(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the gateway.
        let _ = phase.wait_for(|it| *it == Phase::Closing).await;
    }

    /// Counts a client's connection until the guard is dropped.
    pub(crate) fn count_connection(&self) -> ConnectionGuard<'_> {
        self.connections.set(self.connections.get() + 1);
        ConnectionGuard { drain: self }
    }

    /// Returns the number of open clients' connections.
    pub(crate) fn connections(&self) -> usize {
        self.connections.get()
    }
}

/// Counts one open connection.
#[derive(Debug)]
pub(crate) struct ConnectionGuard<'a> {
    drain: &'a Drain,
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.drain.connections.set(self.drain.connections.get() - 1);
    }
}
