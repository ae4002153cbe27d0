//! Calls to the routers' operators' ports.

use std::net::SocketAddr;

use eyre::{Result, WrapErr, eyre};
use mimosaledge_core::head::HeadReplica;
use mimosaledge_net::http::Call;
use mimosaledge_router::ops::Status;

/// Parses a comma-separated list of addresses.
///
/// # Errors
///
/// Returns an error that names the address that does not parse.
pub fn parse_list(text: &str) -> Result<Vec<SocketAddr>> {
    text.split(',').map(|it| it.parse().wrap_err_with(|| format!("bad address {it}"))).collect()
}

/// Returns the status of the router whose operators' port is `addr`.
///
/// # Errors
///
/// Returns an error if the router does not answer.
pub async fn status(addr: SocketAddr) -> Result<Status> {
    let body = Call::get(addr, "/status").send_ok().await?;
    Ok(serde_json::from_slice(&body)?)
}

/// Returns the accepted head of the first router that answers.
///
/// # Errors
///
/// Returns an error if none answers.
pub async fn head(routers: &[SocketAddr]) -> Result<HeadReplica> {
    for &addr in routers {
        if let Ok(body) = Call::get(addr, "/head").send_ok().await {
            return Ok(serde_json::from_slice(&body)?);
        }
    }
    Err(eyre!("no router answers"))
}

/// Begins a planned stop of the router whose operators' port is `addr`.
///
/// # Errors
///
/// Returns an error if the router does not answer.
pub async fn drain(addr: SocketAddr) -> Result<()> {
    Call::post(addr, "/drain", "").send_ok().await?;
    Ok(())
}
