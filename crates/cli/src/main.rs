//! The `mimosaledge` command line for operators.

use std::{
    fs,
    io::{self, Write},
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    time::Duration,
};

use eyre::{Result, WrapErr};
use mimosaledge_cli::{
    check::check_file,
    explain::explain,
    output::print,
    publish::{PublishOutcome, Publisher, RequestedChange},
    routers,
};
use mimosaledge_core::config::PresetName;
use mimosaledge_net::runtime;
use mimosaledge_router::ops::Status;
use serde::Serialize;

mod flags {
    #![allow(missing_docs, unreachable_pub)]

    use super::{PathBuf, PresetName, SocketAddr};

    xflags::xflags! {
        /// Operates a mimosaledge fleet.
        cmd mimosaledge {
            /// Print results as JSON.
            optional --json
            /// Validate a configuration or settings file.
            cmd check {
                /// File to validate.
                required file: PathBuf
            }
            /// Publish a configuration.
            cmd publish {
                /// Configuration file.
                required file: PathBuf
                /// Address of the platform.
                required --platform platform: SocketAddr
                /// Operator addresses of the routers, separated by commas.
                required --routers routers: String
                /// Wait until every router has read the change.
                optional --wait
            }
            /// Switch to a preset: ordinary, peak or maintenance.
            cmd switch {
                /// Preset to activate.
                required preset: PresetName
                /// Address of the platform.
                required --platform platform: SocketAddr
                /// Operator addresses of the routers, separated by commas.
                required --routers routers: String
                /// Wait until every router has read the change.
                optional --wait
            }
            /// Show the status of routers.
            cmd status {
                /// Operator addresses of the routers, separated by commas.
                required --routers routers: String
            }
            /// Explain the outcome of one request from gateway logs.
            cmd explain {
                /// Request ID.
                required id: String
                /// Log files.
                repeated files: PathBuf
            }
            /// Start a graceful shutdown of a router.
            cmd drain {
                /// Operator address of the router.
                required --router router: SocketAddr
            }
        }
    }
}

/// Timeout for a change to be accepted and read by the routers.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(15);

fn main() -> Result<ExitCode> {
    let flags = flags::Mimosaledge::from_env_or_exit();
    runtime::block_on(run(flags))?
}

async fn run(flags: flags::Mimosaledge) -> Result<ExitCode> {
    use flags::MimosaledgeCmd as Cmd;
    let json = flags.json;
    match flags.subcommand {
        Cmd::Check(check) => run_check(json, &check),
        Cmd::Publish(publish) => {
            check_file(&publish.file).wrap_err_with(|| publish.file.display().to_string())?;
            let change = RequestedChange::Configuration(fs::read_to_string(&publish.file)?);
            let routers = routers::parse_addresses(&publish.routers)?;
            let publisher = Publisher::new(publish.platform, routers, PUBLISH_TIMEOUT);
            print_outcome(json, &publisher.publish(change, publish.wait).await?)
        }
        Cmd::Switch(switch) => {
            let routers = routers::parse_addresses(&switch.routers)?;
            let publisher = Publisher::new(switch.platform, routers, PUBLISH_TIMEOUT);
            let change = RequestedChange::Preset(switch.preset);
            print_outcome(json, &publisher.publish(change, switch.wait).await?)
        }
        Cmd::Status(status) => run_status(json, &status).await,
        Cmd::Explain(flags) => run_explain(json, &flags),
        Cmd::Drain(drain) => {
            routers::drain(drain.router).await?;
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn run_explain(json: bool, flags: &flags::Explain) -> Result<ExitCode> {
    let mut logs = Vec::new();
    for file in &flags.files {
        let name = file.file_name().unwrap_or_default().to_string_lossy().into_owned();
        let bytes = fs::read(file).wrap_err_with(|| file.display().to_string())?;
        logs.push((name, String::from_utf8_lossy(&bytes).into_owned()));
    }
    let logs = logs.iter().map(|(name, log)| (name.as_str(), log.as_str()));
    let explanation = explain(&flags.id, logs);
    print(json, &explanation, |it| it.to_text())?;
    Ok(if explanation.lines.is_empty() { ExitCode::from(2) } else { ExitCode::SUCCESS })
}

#[derive(Serialize)]
struct CheckReport {
    file: String,
    code: u16,
    fault: Option<String>,
}

fn run_check(json: bool, flags: &flags::Check) -> Result<ExitCode> {
    let file = flags.file.display().to_string();
    let result = check_file(&flags.file);
    let code = result.as_ref().err().map_or(0, |err| err.as_u16());
    let fault = result.err().map(|err| err.to_string());
    print(json, &CheckReport { file, code, fault }, |it| match &it.fault {
        Some(fault) => format!("{}: {fault}", it.file),
        None => format!("{}: no errors found", it.file),
    })?;
    Ok(if code == 0 { ExitCode::SUCCESS } else { ExitCode::from(2) })
}

fn print_outcome(json: bool, outcome: &PublishOutcome) -> Result<ExitCode> {
    print(json, outcome, |it| match it {
        PublishOutcome::Accepted { offset, in_force, routers } => {
            format!("accepted at offset {offset}; in force on {in_force} of {routers} routers")
        }
        PublishOutcome::Conflict { head } => {
            format!("conflict: another change was accepted first; the head is {head:?}")
        }
        PublishOutcome::NotAppended => {
            "not accepted: the record was not appended to the log".to_owned()
        }
        PublishOutcome::Unknown => {
            "unknown: the log may contain the record; check the status before retrying".to_owned()
        }
    })?;
    Ok(ExitCode::from(outcome.exit_status() as u8))
}

async fn run_status(json: bool, flags: &flags::Status) -> Result<ExitCode> {
    let mut statuses = Vec::new();
    let mut unreachable = 0;
    for addr in routers::parse_addresses(&flags.routers)? {
        match routers::fetch_status(addr).await {
            Ok(status) => statuses.push(status),
            Err(err) => {
                unreachable += 1;
                writeln!(io::stderr(), "{addr}: {err}")?;
            }
        }
    }
    print(json, &statuses, |it| it.iter().map(format_status).collect::<Vec<_>>().join("\n"))?;
    Ok(if unreachable == 0 { ExitCode::SUCCESS } else { ExitCode::from(2) })
}

fn format_status(status: &Status) -> String {
    let up = status.endpoints.iter().filter(|it| it.health == "up").count();
    let offset = |it: Option<u64>| it.map_or_else(|| "none".to_owned(), |it| it.to_string());
    let mut line = format!(
        "{:<12} {:<16} {:<10} head {} in force {} preset {} open {} routers {} endpoints {}/{}",
        status.name,
        status.data_centre,
        status.state,
        offset(status.head),
        offset(status.in_force),
        status.preset.as_deref().unwrap_or("none"),
        status.open,
        status.routers,
        up,
        status.endpoints.len(),
    );
    if let Some(fault) = &status.fault {
        line.push_str(&format!("\n  fault: {fault}"));
    }
    line
}
