//! The `mimosaledge-router` program.

use std::{path::PathBuf, rc::Rc};

use eyre::Result;
use mimosaledge_net::{logging, runtime};
use mimosaledge_router::{Node, Settings, Sockets, StopHandle};

mod flags {
    #![allow(missing_docs, unreachable_pub)]

    use super::PathBuf;

    xflags::xflags! {
        /// Routes chat and service requests to engines and services.
        cmd mimosaledge-router {
            /// Path of the router's settings file.
            required --settings settings: PathBuf
        }
    }
}

fn main() -> Result<()> {
    let flags = flags::MimosaledgeRouter::from_env_or_exit();
    let settings = Settings::from_file(&flags.settings)?;
    logging::init(settings.log_level)?;
    let result = runtime::block_on(run(settings))?;
    logging::flush();
    result
}

async fn run(settings: Settings) -> Result<()> {
    let sockets = Sockets::bind(&settings).await?;
    let node = Node::new(settings, sockets.peer)?;
    let stop = StopHandle::new(Rc::clone(&node));
    tokio::task::spawn_local(async move {
        if runtime::shutdown_signal().await.is_ok() {
            stop.begin();
        }
    });
    node.run(sockets.http, sockets.transfers, sockets.ops).await;
    Ok(())
}
