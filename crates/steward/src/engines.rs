//! Calls to engines.

use std::{net::SocketAddr, time::Duration};

use mimosaledge_core::{
    Name,
    orders::{EngineState, Order},
};
use mimosaledge_net::{Error, Result, Vm, http::Call};
use tokio::task::JoinSet;

/// Longest wait for an engine.
const LIMIT: Duration = Duration::from_millis(500);

/// Asks engines for the orders that they have taken; those that do not answer
/// are left out.
pub(crate) async fn observe_all(engines: &[Vm]) -> Vec<(Name, SocketAddr, EngineState)> {
    let mut calls = JoinSet::new();
    for engine in engines {
        let (name, addr) = (engine.name.clone(), engine.addr);
        calls.spawn_local(async move { (name, addr, observe(addr).await) });
    }
    let mut states = Vec::new();
    while let Some(answer) = calls.join_next().await {
        if let Ok((name, addr, Ok(state))) = answer {
            states.push((name, addr, state));
        }
    }
    states
}

async fn observe(engine: SocketAddr) -> Result<EngineState> {
    let body = Call::get(engine, "/state").timeout(LIMIT).send_ok().await?;
    serde_json::from_slice(&body).map_err(Error::malformed)
}

/// Gives an order to an engine.
///
/// # Errors
///
/// Returns an error if the engine refuses the order or does not answer; an
/// order without an answer may have taken effect.
pub(crate) async fn give(engine: SocketAddr, order: &Order) -> Result<()> {
    let body = serde_json::to_vec(order).map_err(Error::malformed)?;
    Call::post(engine, "/orders", body).timeout(LIMIT).send_ok().await?;
    Ok(())
}
