//! Waits for endpoints that may be silent.
//!
//! An endpoint that sends nothing may have failed, or be sound and go on in a moment.
//! It is therefore given up only for the response of another endpoint: as long as
//! there is none, the router waits until the deadline. At most one attempt at another
//! endpoint is in progress beside the silent one.

use std::{future::Future, pin::pin, time::Duration};

use tokio::time;

use crate::{
    attempt::Attempt,
    node::{Node, preset},
    request::ClientRequest,
};

/// Interval between two searches for another endpoint.
pub(crate) const SEARCH_INTERVAL: Duration = Duration::from_millis(250);

/// Result of waiting for an endpoint.
pub(crate) enum Waited<T, R, E> {
    /// The endpoint has sent this; an attempt that was to replace it may be in
    /// progress, and counts if this is a failure.
    Received(T, Option<Attempt<R, E>>),
    /// Another endpoint has responded with this.
    Replaced(R),
    /// The endpoint was silent until the deadline.
    Expired,
}

/// Returns the time after which an endpoint counts as silent.
pub(crate) fn patience(request: &ClientRequest) -> Duration {
    Duration::from_millis(preset(&request.active).progress_ms)
}

/// Waits until the endpoint sends `response`, until another endpoint found by `search`
/// responds, or until the deadline.
///
/// A search is repeated at intervals until it finds an endpoint, and begins again if
/// that endpoint fails or is silent too.
pub(crate) async fn wait<T, R, E>(
    node: &Node,
    request: &ClientRequest,
    response: impl Future<Output = T>,
    mut search: impl AsyncFnMut() -> Option<Attempt<R, E>>,
) -> Waited<T, R, E> {
    let mut response = pin!(response);
    let patience = patience(request);
    let time_left = Duration::from_millis(request.time_left(node.now()));
    if let Ok(received) = time::timeout(patience.min(time_left), response.as_mut()).await {
        return Waited::Received(received, None);
    }
    let mut deadline = pin!(time::sleep(time_left.saturating_sub(patience)));
    let mut replacement = None;
    let mut delay = Duration::ZERO;
    loop {
        tokio::select! {
            biased;
            received = response.as_mut() => return Waited::Received(received, replacement),
            result = receive(&mut replacement) => match result {
                Ok(response) => return Waited::Replaced(response),
                Err(_) => {
                    replacement = None;
                    delay = SEARCH_INTERVAL;
                }
            },
            () = deadline.as_mut() => return Waited::Expired,
            found = find(delay, &mut search) => {
                replacement = Some(found);
                delay = patience;
            }
        }
    }
}

/// Waits for the response to an attempt, forever if there is none.
async fn receive<R, E>(attempt: &mut Option<Attempt<R, E>>) -> Result<R, E> {
    match attempt {
        Some(attempt) => attempt.response.as_mut().await,
        None => std::future::pending().await,
    }
}

/// Repeats a search after `delay` until it finds another endpoint.
async fn find<R, E>(
    delay: Duration,
    search: &mut impl AsyncFnMut() -> Option<Attempt<R, E>>,
) -> Attempt<R, E> {
    time::sleep(delay).await;
    loop {
        if let Some(attempt) = search().await {
            return attempt;
        }
        time::sleep(SEARCH_INTERVAL).await;
    }
}
