//! The single-threaded event loop of every program.

use std::{future::Future, io};

use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    task::LocalSet,
};

/// Runs a future, which may spawn local tasks, to completion on the current
/// thread.
///
/// # Errors
///
/// Returns an error if the event loop cannot be created.
pub fn block_on<F: Future>(future: F) -> io::Result<F::Output> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    Ok(LocalSet::new().block_on(&runtime, future))
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if a signal handler cannot be installed.
pub async fn shutdown_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
