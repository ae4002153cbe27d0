//! Waits for endpoints that may be silent.
//!
//! An endpoint that sends nothing may have failed, or be sound and go on in a moment.
//! Its response is therefore given up only for that of another endpoint: as long as
//! there is none, the gateway waits until the deadline.

use std::{future::Future, pin::pin, rc::Rc, time::Duration};

use mimosaledge_policy::{RetryPolicy, admission::Progress, health::Outcome};
use tokio::time::{sleep, timeout};

use crate::{
    attempts::{Attempt, AttemptError},
    endpoint_handle::EndpointHandle,
    gateway::Gateway,
    request::RequestContext,
    selection::{self, RetryState, Selection},
};

/// Interval between two searches for another endpoint.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which both a silent endpoint and its replacement are awaited.
///
/// Engines must not work on one request for longer than 400 ms at a time.
const OVERLAP: Duration = Duration::from_millis(300);

/// Result of waiting for an endpoint.
pub(crate) enum Waited<T> {
    /// The endpoint has sent this.
    Received(T),
    /// The endpoint is silent, and this attempt replaces the one sent to it.
    Replaced(Attempt),
    /// The endpoint was silent until the deadline.
    Expired,
}

/// The attempt for which a response is awaited.
pub(crate) struct Waiting<'a> {
    pub(crate) gateway: &'a Rc<Gateway>,
    pub(crate) context: &'a Rc<RequestContext>,
    pub(crate) retry_state: &'a mut RetryState,
    /// The endpoint that the attempt was sent to.
    pub(crate) handle: Rc<EndpointHandle>,
    /// Number of the last event received, after which a replacement continues.
    pub(crate) last_event: Option<u64>,
    pub(crate) progress: Progress,
    /// Time after which the endpoint counts as silent.
    pub(crate) patience: Duration,
}

impl Waiting<'_> {
    /// Waits until the endpoint responds, until an attempt at another endpoint replaces
    /// this one, or until the deadline.
    pub(crate) async fn run<T>(mut self, response: impl Future<Output = T>) -> Waited<T> {
        let mut response = pin!(response);
        if let Ok(received) = timeout(self.patience.min(self.remaining()), response.as_mut()).await
        {
            return Waited::Received(received);
        }
        self.record_silence();
        while !self.remaining().is_zero() {
            let Some(mut attempt) = self.start_replacement() else {
                let wait = SEARCH_INTERVAL.min(self.remaining());
                match timeout(wait, response.as_mut()).await {
                    Ok(received) => return Waited::Received(received),
                    Err(_) => continue,
                }
            };
            tokio::select! {
                biased;
                received = response.as_mut() => {
                    // The replacement is cancelled, but may have run.
                    self.retry_state.ran += 1;
                    return Waited::Received(received);
                }
                opened = attempt.response.as_mut() => match opened {
                    Err(AttemptError::NotRun) => {}
                    Err(_) => self.retry_state.ran += 1,
                    Ok(open) => {
                        self.retry_state.ran += 1;
                        return Waited::Replaced(attempt.into_opened(open));
                    }
                },
                () = sleep(OVERLAP) => {
                    self.retry_state.ran += 1;
                    return Waited::Replaced(attempt);
                }
            }
        }
        Waited::Expired
    }

    fn remaining(&self) -> Duration {
        Duration::from_millis(self.context.remaining_ms(self.gateway.now()))
    }

    fn record_silence(&self) {
        spdlog::info!(
            "silence: id={} endpoint={} waited_ms={} sent={} ran={}",
            self.context.metadata.attempt_id,
            self.handle.id(),
            self.patience.as_millis(),
            self.retry_state.sent,
            self.retry_state.ran
        );
        let policy = &self.gateway.settings.policy;
        self.handle.record_outcome(policy, Outcome::Silent, self.gateway.now());
    }

    /// Sends the request to another endpoint, if the route and the retry budget allow it.
    fn start_replacement(&mut self) -> Option<Attempt> {
        let route = self.context.route();
        if route.retry == RetryPolicy::Never || self.retry_state.ran + 1 >= route.max_attempts {
            return None;
        }
        if self.progress == Progress::Started && !self.gateway.settings.policy.resume_streams {
            return None;
        }
        let next =
            selection::next_endpoint(self.gateway, self.context, self.retry_state, self.progress);
        let Selection::Endpoint(handle) = next else { return None };
        Some(Attempt::start(self.gateway, self.context, handle, self.last_event))
    }
}
