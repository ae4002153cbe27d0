//! Forwards a stream of events to the client, and resumes it at another
//! endpoint if the one that sends it fails.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::StreamBody;
use hyper::{
    Response,
    body::Frame,
    header::{CONTENT_TYPE, HeaderValue},
};
use mimosaledge_core::Millis;
use mimosaledge_net::server::{Aborted, ReplyBody};
use mimosaledge_policy::{
    RetryPolicy, admission::Progress, crashing_parts::MAX_RESPONDING_MS, events::EventSplitter,
    health::Outcome,
};
use tokio::time::{sleep, timeout};

use crate::{
    arrival::Arrival,
    attempt::{self, Attempt, AttemptError, OpenResponse},
    continuation,
    gateway::Gateway,
    headers::strip_hop_by_hop_headers,
    interruption::Interruption,
    origins,
    pool::{self, ConnectionChoice},
    quarantine,
    request_context::RequestContext,
    retry_state::RetryState,
    selection::{self, Selection},
    silence::{self, Waited, Waiting},
    upstream::Upstream,
};

/// Minimum time without data after which the endpoint of a resumable stream counts as
/// silent, in milliseconds.
const MIN_GAP_TIMEOUT_MS: u64 = 1_000;
/// Multiple of the route's gap goal after which it counts as silent.
const GAP_GOAL_FACTOR: u64 = 4;

/// A stream to one client, which several endpoints may send in turn.
struct Relay {
    gateway: Rc<Gateway>,
    context: Rc<RequestContext>,
    upstream: Upstream,
    splitter: EventSplitter,
    retry_state: RetryState,
    /// Type of the content, which does not change when the stream is resumed.
    content_type: Option<HeaderValue>,
    /// Number of chunks sent to the client.
    chunks: u32,
    /// When the last events arrived.
    last_events: Millis,
    /// Longest wait for events after the first chunk, in milliseconds.
    max_gap_ms: u64,
    /// Whether the parts of the prompt have turned out to be sound.
    is_sound: bool,
    /// Whether the outcome of the stream has been logged.
    finished: bool,
}

/// Returns a response that forwards the stream that `open` begins.
pub(crate) fn start(
    gateway: &Rc<Gateway>,
    context: Rc<RequestContext>,
    mut open: OpenResponse,
    retry_state: RetryState,
) -> Response<ReplyBody> {
    strip_hop_by_hop_headers(&mut open.head.headers, &*gateway.dialect);
    let head = open.head.clone();
    let retry = context.route().retry;
    let splitter = match retry {
        RetryPolicy::Resume => EventSplitter::after(context.metadata.last_event),
        _ => EventSplitter::default(),
    };
    let relay = Relay {
        gateway: gateway.clone(),
        splitter,
        context,
        content_type: head.headers.get(CONTENT_TYPE).cloned(),
        upstream: Upstream::from_response(open, retry),
        retry_state,
        chunks: 0,
        last_events: gateway.now(),
        max_gap_ms: 0,
        is_sound: false,
        finished: false,
    };
    let chunks = unfold(Some(relay), |relay| async {
        let mut relay = relay?;
        match relay.next_chunk().await {
            Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
            Some(Err(aborted)) => Some((Err(aborted), None)),
            None => None,
        }
    });
    Response::from_parts(head, Box::pin(StreamBody::new(chunks)) as ReplyBody)
}

impl Relay {
    /// Waits for the next complete events; returns `None` after the last one.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream failed and could not be resumed.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, Aborted>> {
        loop {
            let waiting_since = self.gateway.now();
            let (interruption, replacement) = match self.wait_for_events().await {
                Waited::Received(Arrival::Events(events), _) => {
                    self.record_gap(waiting_since);
                    self.record_chunk();
                    return Some(Ok(events));
                }
                Waited::Received(Arrival::End, _) if self.upstream.may_end => {
                    self.finish();
                    return None;
                }
                Waited::Received(Arrival::End, next) => (Interruption::EndedWithoutEvent, next),
                Waited::Received(Arrival::Invalid, next) => (Interruption::InvalidEvent, next),
                Waited::Received(Arrival::Cut, next) => (Interruption::EndedInsideEvent, next),
                Waited::Received(Arrival::Broken(err), next) => {
                    self.log_broken_connection(&err);
                    (Interruption::ConnectionBroken, next)
                }
                Waited::Replaced(attempt) => {
                    self.log_silence();
                    (Interruption::Silent, Some(attempt))
                }
                Waited::Expired => {
                    self.log_silence();
                    return Some(Err(self.abort(Interruption::Silent)));
                }
            };
            if interruption != Interruption::Silent {
                self.record_failure();
            }
            if !self.resume(interruption, replacement).await {
                return Some(Err(self.abort(interruption)));
            }
        }
    }

    /// Waits for the next complete events, and gives up a silent endpoint for another one.
    /// One that sends bytes but completes no event is silent, too.
    async fn wait_for_events(&mut self) -> Waited<Arrival> {
        let patience_ms = self.gap_timeout_ms(self.gateway.now());
        let waiting = Waiting {
            gateway: &self.gateway,
            context: &self.context,
            retry_state: &mut self.retry_state,
            handle: self.upstream.in_flight.handle().clone(),
            last_event: self.splitter.last_id(),
            progress: Progress::Started,
            patience: Duration::from_millis(patience_ms),
        };
        let arrival = Arrival::read(&mut self.upstream.body, &mut self.splitter);
        waiting.run(arrival).await
    }

    /// Returns the time without events after which the endpoint counts as silent, in
    /// milliseconds.
    fn gap_timeout_ms(&self, now: Millis) -> u64 {
        let remaining_ms = self.context.remaining_ms(now);
        let route = self.context.route();
        if route.retry == RetryPolicy::Never {
            return remaining_ms;
        }
        remaining_ms.min((route.gap_goal_ms * GAP_GOAL_FACTOR).max(MIN_GAP_TIMEOUT_MS))
    }

    /// Counts a chunk; the endpoint that sends the first one determines the build of the
    /// stream.
    fn record_chunk(&mut self) {
        self.chunks += 1;
        self.upstream.may_end = true;
        self.check_for_sound_parts();
        if self.retry_state.build.is_some() {
            return;
        }
        let build = self.upstream.in_flight.handle().endpoint.borrow().build_key();
        self.retry_state.build = Some(build);
        if self.context.route().retry == RetryPolicy::Resume {
            origins::record_begun(&self.gateway, &self.context.metadata.attempt_id, build);
        }
    }

    /// Clears the parts of the prompt once an endpoint has sent events for so long that a crash
    /// would have come before.
    fn check_for_sound_parts(&mut self) {
        let responding_ms = self.gateway.now().since(self.upstream.received);
        if !self.is_sound && responding_ms > MAX_RESPONDING_MS {
            self.is_sound = true;
            quarantine::record_sound_parts(&self.gateway, &self.context);
        }
    }

    /// Returns the time since the last events arrived, in milliseconds.
    fn silent_ms(&self) -> u64 {
        self.gateway.now().since(self.last_events)
    }

    fn record_gap(&mut self, waiting_since: Millis) {
        self.last_events = self.gateway.now();
        if self.chunks > 0 {
            self.max_gap_ms = self.max_gap_ms.max(self.gateway.now().since(waiting_since));
        }
    }

    /// Records that the endpoint has failed to send the whole stream.
    fn record_failure(&mut self) {
        let handle = self.upstream.in_flight.handle();
        let policy = &self.gateway.settings.policy;
        handle.record_outcome(policy, Outcome::Failed, self.gateway.now());
        let received = Some(self.upstream.received);
        quarantine::check_for_crash(&self.gateway, &self.context, handle, received);
        self.retry_state.record_run();
    }

    /// Continues the stream at another endpoint, to which `replacement` was sent if there
    /// is one; returns whether that succeeded.
    async fn resume(
        &mut self,
        interruption: Interruption,
        mut replacement: Option<Attempt>,
    ) -> bool {
        // Closing the connection cancels the request at the endpoint.
        self.upstream.connection = None;
        let may_resume = self.gateway.settings.policy.resume_streams;
        if self.context.route().retry == RetryPolicy::Never || !may_resume {
            return false;
        }
        self.splitter.restart();
        let last_id = self.splitter.last_id();
        loop {
            let next = match replacement.take() {
                Some(attempt) => Some(attempt),
                None => self.start_next().await,
            };
            let Some(attempt) = next else {
                if interruption == Interruption::Silent && self.may_search_again() {
                    sleep(silence::SEARCH_INTERVAL).await;
                    continue;
                }
                return false;
            };
            let remaining_ms = self.context.remaining_ms(self.gateway.now());
            let opened = timeout(Duration::from_millis(remaining_ms), attempt.response).await;
            match opened {
                Ok(Ok(open)) if continuation::may_follow(&open, self.content_type.as_ref()) => {
                    self.gateway.metrics.resumes.inc();
                    spdlog::info!(
                        "resume: id={} endpoint={} build={} after_event={last_id:?} cause={:?}",
                        self.context.metadata.attempt_id,
                        attempt.handle.id(),
                        attempt.handle.endpoint.borrow().build,
                        interruption.log_label()
                    );
                    self.upstream = Upstream::from_response(open, self.context.route().retry);
                    return true;
                }
                Ok(Ok(_)) => {
                    self.retry_state.record_run();
                    let (error, cause) = (AttemptError::Unknown, "no continuation of the stream");
                    attempt::log_failure(
                        &self.gateway,
                        &self.context,
                        &attempt.handle,
                        error,
                        cause,
                    );
                }
                Ok(Err(error)) => self.retry_state.record_failure(error),
                Err(_) => {
                    self.retry_state.record_run();
                    let policy = &self.gateway.settings.policy;
                    attempt.handle.record_outcome(policy, Outcome::Silent, self.gateway.now());
                    attempt::log_silence(&self.gateway, &self.context, &attempt.handle);
                }
            }
        }
    }

    /// Returns whether an endpoint may still be found to resume the stream.
    fn may_search_again(&self) -> bool {
        !self.retry_state.is_used_up(self.context.route())
            && !self.retry_state.is_at_send_limit()
            && self.context.remaining_ms(self.gateway.now()) >= selection::MIN_REMAINING_MS
    }

    /// Starts an attempt to resume the stream at another endpoint, if the route and the
    /// retry budget allow it.
    async fn start_next(&mut self) -> Option<Attempt> {
        if self.retry_state.is_used_up(self.context.route()) {
            spdlog::info!(
                "retry: id={} denied=true cause=max_attempts sent={} ran={}",
                self.context.metadata.attempt_id,
                self.retry_state.sends.sent,
                self.retry_state.sends.ran
            );
            return None;
        }
        let (gateway, context) = (&self.gateway, &self.context);
        let next =
            selection::next_endpoint(gateway, context, &mut self.retry_state, Progress::Started)
                .await;
        let Selection::Endpoint(selected) = next else { return None };
        let last_id = self.splitter.last_id();
        Some(Attempt::start(gateway, context, selected, ConnectionChoice::Any, last_id))
    }

    /// Logs the end of a stream that could not be resumed.
    fn abort(&mut self, interruption: Interruption) -> Aborted {
        self.log("broken", interruption.log_label());
        self.finished = true;
        Aborted
    }

    /// Records a complete stream and returns its connection to the pool.
    fn finish(&mut self) {
        self.finished = true;
        let in_flight = &self.upstream.in_flight;
        let (handle, now) = (in_flight.handle(), self.gateway.now());
        handle.record_outcome(&self.gateway.settings.policy, Outcome::Answered, now);
        let work_ms = now.since(in_flight.started());
        self.gateway.work_times.borrow_mut().record(&self.context.route().name, work_ms);
        if let Some(connection) = self.upstream.connection.take()
            && !self.upstream.closing
        {
            handle.pool.release(connection);
        }
        quarantine::clear(&self.gateway, &self.context, !self.is_sound);
        self.log("complete", "");
    }

    fn log_silence(&self) {
        let handle = self.upstream.in_flight.handle();
        attempt::log_silence(&self.gateway, &self.context, handle);
    }

    fn log_broken_connection(&self, err: &hyper::Error) {
        spdlog::info!(
            "stream: id={} endpoint={} broken=true io={:?} silent_ms={}",
            self.context.metadata.attempt_id,
            self.upstream.in_flight.handle().id(),
            pool::io_error_kind(err),
            self.silent_ms()
        );
    }

    fn log(&self, outcome: &str, cause: &str) {
        spdlog::info!(
            "request: id={} route={} endpoint={} outcome={outcome} cause={cause:?} last_event={:?} \
             pieces={} slowest_ms={} silent_ms={} closing={} forwarded={} config={} elapsed_ms={}",
            self.context.metadata.attempt_id,
            self.context.route().name,
            self.upstream.in_flight.handle().id(),
            self.splitter.last_id(),
            self.chunks,
            self.max_gap_ms,
            self.silent_ms(),
            self.upstream.closing,
            self.context.is_forwarded,
            self.gateway.config_version(),
            self.gateway.now().since(self.context.arrived)
        );
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.finished {
            self.log("cancelled", self.gateway.drain.cancel_cause());
        }
    }
}
