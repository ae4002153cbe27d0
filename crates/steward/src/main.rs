//! The `mimosaledge-steward` program.

use std::path::PathBuf;

use eyre::Result;
use mimosaledge_net::{incarnation::draw_incarnation, logging, runtime};
use mimosaledge_steward::{Settings, Steward};

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
    let result = runtime::block_on(async {
        tokio::select! {
            () = Steward::new(settings, draw_incarnation()).run() => Ok(()),
            stopped = runtime::stop_requested() => stopped,
        }
    })?;
    logging::flush();
    Ok(result?)
}
