//! The `mimosaledge-steward` program.

use std::path::PathBuf;

use eyre::Result;
use mimosaledge_platform::{incarnation::draw_incarnation, logging};
use mimosaledge_steward::{Settings, Steward};
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    task::LocalSet,
};

mod flags {
    #![allow(missing_docs, unreachable_pub)]

    use super::PathBuf;

    xflags::xflags! {
        /// Gives orders to engines under a lease.
        cmd mimosaledge-steward {
            /// File with the steward's settings.
            required --settings settings: PathBuf
        }
    }
}

fn main() -> Result<()> {
    let flags = flags::MimosaledgeSteward::from_env_or_exit();
    let settings = Settings::from_file(&flags.settings)?;
    logging::init(settings.log_level)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let result = LocalSet::new().block_on(&runtime, async {
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            () = Steward::new(settings, draw_incarnation()).run() => {}
            _ = terminate.recv() => {}
        }
        Ok(())
    });
    logging::flush();
    result
}
