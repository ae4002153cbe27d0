//! The `mimosaledge-steward` program.

use std::path::PathBuf;

use eyre::Result;
use mimosaledge_net::{incarnation::generate_incarnation, logging, runtime};
use mimosaledge_steward::{Settings, Steward};

mod flags {
    #![allow(missing_docs, unreachable_pub)]

    use super::PathBuf;

    xflags::xflags! {
        /// Reconciles engines with the configuration while it holds the lease.
        cmd mimosaledge-steward {
            /// Path of the settings file.
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
            () = Steward::new(settings, generate_incarnation()).run() => Ok(()),
            signalled = runtime::shutdown_signal() => signalled,
        }
    })?;
    logging::flush();
    Ok(result?)
}
