//! State of a gateway's graceful shutdown.

use std::cell::Cell;

use mimosaledge_core::Millis;
use tokio::sync::watch;

/// Phase of a graceful shutdown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Normal operation.
    #[default]
    Serving,
    /// Not ready and removed from the directory, but still serving requests.
    Leaving,
    /// No new connections; each open one closes after its request in flight.
    Closing,
    /// Requests that have no response yet get an error response.
    Answering,
    /// The process exits, and streams still in flight are cut.
    Exiting,
}

/// Tracks the shutdown phase and the open client connections.
#[derive(Debug)]
pub(crate) struct Drain {
    phase: watch::Sender<Phase>,
    /// When [`Phase::Answering`] begins, once a shutdown has begun.
    answers_at: Cell<Option<Millis>>,
    connections: Cell<usize>,
}

impl Default for Drain {
    fn default() -> Drain {
        Drain {
            phase: watch::Sender::new(Phase::Serving),
            answers_at: Cell::default(),
            connections: Cell::new(0),
        }
    }
}

impl Drain {
    /// Returns whether a shutdown has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        *self.phase.borrow() > Phase::Serving
    }

    /// Returns why a request that is dropped now ends without a response.
    pub(crate) fn cancel_cause(&self) -> &'static str {
        if *self.phase.borrow() >= Phase::Answering {
            "gateway stopped"
        } else {
            "client disconnected"
        }
    }

    /// Begins a shutdown in which requests can end until `answers_at`.
    pub(crate) fn begin(&self, answers_at: Millis) {
        self.answers_at.set(Some(answers_at));
        self.enter(Phase::Leaving);
    }

    /// Returns whether a request that takes `ms` ends before requests are cut.
    pub(crate) fn allows(&self, ms: u64, now: Millis) -> bool {
        self.answers_at.get().is_none_or(|it| ms <= it.since(now))
    }

    /// Enters `phase` and notifies the tasks that wait for it.
    pub(crate) fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Waits until connections should be closed.
    pub(crate) async fn wait_for_closing(&self) {
        self.wait_for(Phase::Closing).await;
    }

    /// Waits until requests without a response must get one.
    pub(crate) async fn wait_for_answering(&self) {
        self.wait_for(Phase::Answering).await;
    }

    async fn wait_for(&self, least: Phase) {
        let mut phase = self.phase.subscribe();
        // This cannot fail, since `self` owns the sender.
        let _ = phase.wait_for(|it| *it >= least).await;
    }

    /// Counts a client connection as open until the guard is dropped.
    pub(crate) fn count_connection(&self) -> ConnectionGuard<'_> {
        self.connections.set(self.connections.get() + 1);
        ConnectionGuard { drain: self }
    }

    /// Returns the number of open client connections.
    pub(crate) fn connections(&self) -> usize {
        self.connections.get()
    }
}

/// Counts one client connection as open.
#[derive(Debug)]
pub(crate) struct ConnectionGuard<'a> {
    drain: &'a Drain,
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.drain.connections.set(self.drain.connections.get() - 1);
    }
}
