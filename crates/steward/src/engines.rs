//! HTTP client of the engines.

use std::{net::SocketAddr, time::Duration};

use mimosaledge_core::{
    Name,
    orders::{EngineState, Order},
};
use mimosaledge_net::{Error, Result, Vm, http::Call};
use tokio::task::JoinSet;

/// Timeout of one call to an engine.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(500);

/// Fetches the states of `engines` concurrently; engines that fail to respond are
/// omitted.
pub(crate) async fn fetch_states(engines: &[Vm]) -> Vec<(Name, SocketAddr, EngineState)> {
    let mut fetches = JoinSet::new();
    for engine in engines {
        let (name, addr) = (engine.name.clone(), engine.addr);
        fetches.spawn_local(async move { (name, addr, fetch_state(addr).await) });
    }
    let mut states = Vec::new();
    while let Some(fetched) = fetches.join_next().await {
        if let Ok((name, addr, Ok(state))) = fetched {
            states.push((name, addr, state));
        }
    }
    states
}

async fn fetch_state(engine: SocketAddr) -> Result<EngineState> {
    let body = Call::get(engine, "/state").timeout(ENGINE_TIMEOUT).send_ok().await?;
    serde_json::from_slice(&body).map_err(Error::malformed)
}

/// Sends an order to an engine.
///
/// # Errors
///
/// Returns an error if the engine rejects the order or does not respond; an
/// order without a response may have taken effect.
pub(crate) async fn send_order(engine: SocketAddr, order: &Order) -> Result<()> {
    let body = serde_json::to_vec(order).map_err(Error::malformed)?;
    Call::post(engine, "/orders", body).timeout(ENGINE_TIMEOUT).send_ok().await?;
    Ok(())
}
