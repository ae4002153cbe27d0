//! Runs a stand-in for the platform, an engine or a service.

use std::{fs, net::SocketAddr, path::PathBuf};

use eyre::{Context, Result};
use mimosaledge_net::{incarnation::generate_incarnation, runtime};
use mimosaledge_standin::{engine, platform, service};
use tokio::net::TcpListener;

mod flags {
    #![allow(missing_docs, unreachable_pub)]

    use super::{PathBuf, SocketAddr};

    xflags::xflags! {
        /// Stand-ins for the platform, engines and services.
        cmd mimosaledge-standin {
            /// Run a platform: log, VM list and weight store.
            cmd platform {
                /// Address to listen on.
                required --addr addr: SocketAddr
                /// JSON file with the list of VMs.
                optional --vms vms: PathBuf
            }
            /// Run a model engine.
            cmd engine {
                /// Address to listen on.
                required --addr addr: SocketAddr
                /// Name in the VM list.
                required --name name: String
                /// Initially loaded model.
                optional --model model: String
                /// Duration of one batch step, in milliseconds.
                optional --step-ms step_ms: u64
                /// Maximum number of sequences that run concurrently.
                optional --slots slots: usize
                /// Capacity of the prefix cache, in tokens.
                optional --cache-tokens cache_tokens: u64
                /// Time by which load reports lag behind the load, in milliseconds.
                optional --report-lag-ms report_lag_ms: u64
                /// Reject orders with a stale fencing token.
                optional --fenced
                /// Address of the weight store.
                optional --weights weights: SocketAddr
            }
            /// Run a plain service.
            cmd service {
                /// Address to listen on.
                required --addr addr: SocketAddr
                /// Execution time of a request, in milliseconds.
                optional --work-ms work_ms: u64
            }
        }
    }
}

fn main() -> Result<()> {
    let flags = flags::MimosaledgeStandin::from_env_or_exit();
    runtime::block_on(async {
        tokio::select! {
            result = serve(flags.subcommand) => result,
            stopped = runtime::shutdown_signal() => Ok(stopped?),
        }
    })?
}

async fn serve(command: flags::MimosaledgeStandinCmd) -> Result<()> {
    use flags::MimosaledgeStandinCmd as Cmd;
    match command {
        Cmd::Platform(flags) => {
            let vms = match &flags.vms {
                Some(path) => {
                    let text = fs::read_to_string(path).wrap_err("cannot read VM list")?;
                    serde_json::from_str(&text).wrap_err("malformed VM list")?
                }
                None => Vec::new(),
            };
            let settings = platform::Settings { vms, ..platform::Settings::default() };
            platform::run(bind(flags.addr).await?, settings).await;
        }
        Cmd::Engine(flags) => engine::run(bind(flags.addr).await?, engine_settings(flags)).await,
        Cmd::Service(flags) => {
            let work_ms = flags.work_ms.unwrap_or(5);
            service::run(bind(flags.addr).await?, generate_incarnation() as u32, work_ms).await;
        }
    }
    Ok(())
}

fn engine_settings(flags: flags::Engine) -> engine::Settings {
    engine::Settings {
        name: flags.name,
        incarnation: generate_incarnation() as u32,
        model: flags.model.unwrap_or_default(),
        step_ms: flags.step_ms.unwrap_or(3),
        slots: flags.slots.unwrap_or(16),
        prefill_tokens: 256,
        cache_tokens: flags.cache_tokens.unwrap_or(200_000),
        report_lag_ms: flags.report_lag_ms.unwrap_or(500),
        fenced: flags.fenced,
        weights: flags.weights,
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.wrap_err_with(|| format!("cannot listen on {addr}"))
}
