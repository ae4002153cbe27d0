//! The event loop of every program: one loop on one thread.

use std::{future::Future, io};

use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    task::LocalSet,
};

/// Runs a program to its end on the present thread.
///
/// # Errors
///
/// Returns an error if the event loop cannot be set up.
pub fn block_on<F: Future>(program: F) -> io::Result<F::Output> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    Ok(LocalSet::new().block_on(&runtime, program))
}

/// Waits until the process is asked to end, by SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the signals cannot be watched.
pub async fn stop_requested() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
