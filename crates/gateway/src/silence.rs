//! Waits for endpoints that may be silent.
//!
//! An endpoint that sends nothing may have failed, or be sound and go on in a moment.
//! Its response is therefore given up only for that of another endpoint: as long as
//! there is none, the gateway waits until the deadline. An attempt that replaces the
//! silent one overlaps with it, and the first response counts.

use std::{future::Future, pin::pin, rc::Rc, time::Duration};

use mimosaledge_policy::{RetryPolicy, admission::Progress, health::Outcome};
use tokio::time::{sleep, timeout};

use crate::{
    attempt::{Attempt, OpenResponse},
    endpoint_handle::EndpointHandle,
    gateway::Gateway,
    pool::ConnectionChoice,
    reach,
    request_context::RequestContext,
    retry_state::RetryState,
    selection::{self, Selection},
};

/// Interval between two searches for another endpoint.
pub(crate) const SEARCH_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which both a silent engine and its replacement are awaited; engines must not
/// work on one stream for longer than 400 ms at a time.
const STREAM_OVERLAP: Duration = Duration::from_millis(300);

/// What ends the wait for an endpoint.
pub(crate) trait Received {
    /// Returns whether no other endpoint needs to be tried.
    fn is_success(&self) -> bool;

    /// Returns whether the endpoint has sent it, rather than the operating system.
    fn is_from_endpoint(&self) -> bool;
}

/// Result of waiting for an endpoint.
pub(crate) enum Waited<T> {
    /// The endpoint has sent this; if that is a failure, an attempt that was to replace
    /// it may be in progress.
    Received(T, Option<Attempt>),
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
    ///
    /// A success ends the attempt that overlaps with this one, a failure does not.
    pub(crate) async fn run<T: Received>(mut self, response: impl Future<Output = T>) -> Waited<T> {
        let mut response = pin!(response);
        if let Ok(received) = timeout(self.patience.min(self.remaining()), response.as_mut()).await
        {
            return Waited::Received(received, None);
        }
        self.record_silence();
        while !self.remaining().is_zero() {
            let Some(mut attempt) = self.start_replacement().await else {
                let wait = SEARCH_INTERVAL.min(self.remaining());
                match timeout(wait, response.as_mut()).await {
                    Ok(received) => {
                        self.record_end(&received);
                        return Waited::Received(received, None);
                    }
                    Err(_) => continue,
                }
            };
            tokio::select! {
                biased;
                received = response.as_mut() => {
                    self.record_end(&received);
                    if !received.is_success() {
                        return Waited::Received(received, Some(attempt));
                    }
                    // The replacement is cancelled, but may have run.
                    self.retry_state.record_run();
                    return Waited::Received(received, None);
                }
                opened = attempt.response.as_mut() => match opened {
                    Ok(open) if self.is_usable(&open) => {
                        self.retry_state.record_run();
                        return Waited::Replaced(attempt.into_opened(open));
                    }
                    Ok(_) => self.retry_state.record_run(),
                    Err(error) => self.retry_state.record_failure(error),
                },
                () = sleep(self.overlap()) => {
                    if self.remaining().is_zero() {
                        break;
                    }
                    self.retry_state.record_run();
                    return Waited::Replaced(attempt);
                }
            }
        }
        Waited::Expired
    }

    /// Returns the time for which a replacement may overlap with the silent attempt.
    fn overlap(&self) -> Duration {
        match self.context.route().retry {
            RetryPolicy::Always => self.remaining(),
            RetryPolicy::Resume | RetryPolicy::Never => STREAM_OVERLAP.min(self.remaining()),
        }
    }

    /// Returns whether the response of a replacement is better than none.
    fn is_usable(&self, open: &OpenResponse) -> bool {
        match self.progress {
            Progress::New => !open.head.status.is_server_error(),
            Progress::Started => open.head.status.is_success(),
        }
    }

    fn remaining(&self) -> Duration {
        Duration::from_millis(self.context.remaining_ms(self.gateway.now()))
    }

    /// Records that the silence has ended; a connection that broke says nothing of the endpoint.
    fn record_end(&self, received: &impl Received) {
        if received.is_from_endpoint() {
            self.handle.mark_responsive();
        }
    }

    fn record_silence(&self) {
        spdlog::info!(
            "silence: id={} endpoint={} waited_ms={} sent={} ran={}",
            self.context.metadata.attempt_id,
            self.handle.id(),
            self.patience.as_millis(),
            self.retry_state.sends.sent,
            self.retry_state.sends.ran
        );
        reach::start_check(self.gateway, &self.context.service);
        let policy = &self.gateway.settings.policy;
        self.handle.record_outcome(policy, Outcome::Silent, self.gateway.now());
    }

    /// Sends the request to another endpoint, if the route and the retry budget allow it.
    async fn start_replacement(&mut self) -> Option<Attempt> {
        let route = self.context.route();
        if route.retry == RetryPolicy::Never || !self.retry_state.allows_replacement(route) {
            return None;
        }
        if self.remaining() < STREAM_OVERLAP {
            return None;
        }
        if self.progress == Progress::Started && !self.gateway.settings.policy.resume_streams {
            return None;
        }
        let next =
            selection::next_endpoint(self.gateway, self.context, self.retry_state, self.progress)
                .await;
        let Selection::Endpoint(selected) = next else { return None };
        // What has silenced one connection may have silenced the idle ones as well.
        let choice = ConnectionChoice::New;
        Some(Attempt::start(self.gateway, self.context, selected, choice, self.last_event))
    }
}
