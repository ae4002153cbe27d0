//! Requests to the operator ports of routers.

use std::net::SocketAddr;

use eyre::{Result, WrapErr, eyre};
use mimosaledge_core::head::HeadReplica;
use mimosaledge_net::http::Call;
use mimosaledge_router::ops::Status;

/// Parses a comma-separated list of addresses.
///
/// # Errors
///
/// Returns an error that contains the first address that cannot be parsed.
pub fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>> {
    text.split(',').map(|it| it.parse().wrap_err_with(|| format!("invalid address {it}"))).collect()
}

/// Fetches the status of the router with the operator address `addr`.
///
/// # Errors
///
/// Returns an error if the request fails or the response cannot be parsed.
pub async fn fetch_status(addr: SocketAddr) -> Result<Status> {
    let body = Call::get(addr, "/status").send_ok().await?;
    Ok(serde_json::from_slice(&body)?)
}

/// Fetches the head replica of the first router that responds.
///
/// # Errors
///
/// Returns an error if no router responds or the response cannot be parsed.
pub async fn fetch_head(routers: &[SocketAddr]) -> Result<HeadReplica> {
    for &addr in routers {
        if let Ok(body) = Call::get(addr, "/head").send_ok().await {
            return Ok(serde_json::from_slice(&body)?);
        }
    }
    Err(eyre!("no router responded"))
}

/// Starts a graceful shutdown of the router with the operator address `addr`.
///
/// # Errors
///
/// Returns an error if the request fails.
pub async fn drain(addr: SocketAddr) -> Result<()> {
    Call::post(addr, "/drain", "").send_ok().await?;
    Ok(())
}
