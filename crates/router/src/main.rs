//! The `mimosaledge-router` program.

use std::{path::PathBuf, rc::Rc};

use eyre::Result;
use mimosaledge_platform::logging;
use mimosaledge_router::{Node, Settings, Sockets, StopHandle};
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    task::LocalSet,
};

mod flags {
    #![allow(missing_docs, unreachable_pub)]

    use super::PathBuf;

    xflags::xflags! {
        /// Routes chats and calls to engines and services.
        cmd mimosaledge-router {
            /// File with the router's settings.
            required --settings settings: PathBuf
        }
    }
}

fn main() -> Result<()> {
    let flags = flags::MimosaledgeRouter::from_env_or_exit();
    let settings = Settings::from_file(&flags.settings)?;
    logging::init(settings.log_level)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let result = LocalSet::new().block_on(&runtime, run(settings));
    logging::flush();
    result
}

async fn run(settings: Settings) -> Result<()> {
    let sockets = Sockets::bind(&settings).await?;
    let node = Node::new(settings, sockets.peer)?;
    let stop = StopHandle::new(Rc::clone(&node));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::task::spawn_local(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stop.begin();
    });
    node.run(sockets.http, sockets.transfers, sockets.ops).await;
    Ok(())
}
