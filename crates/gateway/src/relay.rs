//! Passes a stream of events on, and resumes it at another endpoint.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Response,
    body::{Frame, Incoming},
};
use mimosaledge_core::Millis;
use mimosaledge_net::server::{Aborted, ReplyBody};
use mimosaledge_policy::{
    RetryPolicy, admission::Progress, events::EventSplitter, health::Outcome,
};
use tokio::time::timeout;

use crate::{
    attempts::{self, Open},
    choice::{self, Next, Tries},
    gateway::Gateway,
    headers::strip_connection_headers,
    loads::InFlight,
    pool::Connection,
    request::Job,
};

/// Shortest pause in a stream that can be resumed before its endpoint counts
/// as silent, in milliseconds.
const MIN_SILENCE_MS: u64 = 1_000;
/// Multiple of the route's allowed pause for the same.
const GAP_MULTIPLE: u64 = 4;

/// A run of the stream at one endpoint.
struct Run {
    in_flight: InFlight,
    connection: Option<Connection>,
    body: Incoming,
    closing: bool,
}

impl Run {
    fn from_open(open: Open) -> Run {
        Run {
            in_flight: open.in_flight,
            connection: Some(open.connection),
            body: open.body,
            closing: open.answer.closing,
        }
    }
}

struct Relay {
    gateway: Rc<Gateway>,
    job: Rc<Job>,
    run: Run,
    cutter: EventSplitter,
    tries: Tries,
    pieces: u32,
    slowest_ms: u64,
    finished: bool,
}

/// Answers a client with the stream that `open` begins.
pub(crate) fn start(
    gateway: &Rc<Gateway>,
    job: Rc<Job>,
    mut open: Open,
    tries: Tries,
) -> Response<ReplyBody> {
    strip_connection_headers(&mut open.head.headers);
    let head = open.head.clone();
    let relay = Relay {
        gateway: gateway.clone(),
        cutter: EventSplitter::after(job.ask.last_event),
        job,
        run: Run::from_open(open),
        tries,
        pieces: 0,
        slowest_ms: 0,
        finished: false,
    };
    let pieces = unfold(Some(relay), |relay| async {
        let mut relay = relay?;
        match relay.next().await {
            Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
            Some(Err(aborted)) => Some((Err(aborted), None)),
            None => None,
        }
    });
    Response::from_parts(head, Box::pin(StreamBody::new(pieces)) as ReplyBody)
}

impl Relay {
    async fn next(&mut self) -> Option<Result<Bytes, Aborted>> {
        let mut out = Vec::new();
        loop {
            let asked = self.gateway.now();
            let limit = Duration::from_millis(self.pause_limit(asked));
            let cause = match timeout(limit, self.run.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    self.note_pause(asked);
                    let Ok(data) = frame.into_data() else { continue };
                    match self.cutter.push(&data, &mut out) {
                        Ok(()) if out.is_empty() => continue,
                        Ok(()) => {
                            self.pieces += 1;
                            return Some(Ok(Bytes::from(out)));
                        }
                        Err(_) => "events do not follow",
                    }
                }
                Ok(None) if self.cutter.is_at_boundary() => {
                    self.finish();
                    return None;
                }
                Ok(None) => "ended within an event",
                Ok(Some(Err(_))) => "connection broken",
                Err(_) => "silent",
            };
            if !self.resume(cause).await {
                self.log("broken", cause);
                self.finished = true;
                return Some(Err(Aborted));
            }
        }
    }

    fn pause_limit(&self, now: Millis) -> u64 {
        let left_ms = self.job.left_ms(now);
        let route = self.job.route();
        if route.retry == RetryPolicy::Never {
            return left_ms;
        }
        left_ms.min((route.gap_goal_ms * GAP_MULTIPLE).max(MIN_SILENCE_MS))
    }

    fn note_pause(&mut self, asked: Millis) {
        if self.pieces > 0 {
            self.slowest_ms = self.slowest_ms.max(self.gateway.now().since(asked));
        }
    }

    /// Goes on at another endpoint, if that is allowed; returns whether it is.
    async fn resume(&mut self, cause: &str) -> bool {
        let slot = self.run.in_flight.handle().clone();
        let silent = cause == "silent";
        slot.record_outcome(
            if silent { Outcome::Silent } else { Outcome::Failed },
            self.gateway.now(),
        );
        if !silent {
            attempts::look_for_death(&self.gateway, &self.job, &slot);
        }
        // Dropping the connection cancels what is left of the run.
        self.run.connection = None;
        self.tries.ran += 1;
        let route = self.job.route();
        if route.retry == RetryPolicy::Never {
            return false;
        }
        self.cutter.restart();
        while self.tries.ran < self.job.route().max_attempts {
            let next =
                choice::next_endpoint(&self.gateway, &self.job, &mut self.tries, Progress::Started);
            let Next::Send(slot) = next else { return false };
            let limit_ms = self.job.left_ms(self.gateway.now());
            let last = self.cutter.last_id();
            let opened = attempts::send_once(&self.gateway, &self.job, &slot, last, limit_ms).await;
            match opened {
                Ok(open) if open.head.status.is_success() => {
                    self.gateway.metrics.resumes.inc();
                    spdlog::info!(
                        "resume: id={} endpoint={} after_event={last:?} cause={cause:?}",
                        self.job.ask.attempt,
                        slot.id()
                    );
                    self.run = Run::from_open(open);
                    return true;
                }
                Ok(_) => self.tries.ran += 1,
                Err(attempts::Failure::NotRun) => {}
                Err(_) => self.tries.ran += 1,
            }
        }
        false
    }

    fn finish(&mut self) {
        self.finished = true;
        let slot = self.run.in_flight.handle();
        slot.record_outcome(Outcome::Answered, self.gateway.now());
        if let Some(connection) = self.run.connection.take()
            && !self.run.closing
        {
            slot.pool.give_back(connection);
        }
        self.gateway.quarantine.borrow_mut().clear_suspect(self.job.fingerprint);
        self.log("complete", "");
    }

    fn log(&self, outcome: &str, cause: &str) {
        spdlog::info!(
            "request: id={} route={} endpoint={} outcome={outcome} cause={cause:?} last_event={:?} \
             pieces={} slowest_ms={} closing={} elapsed_ms={}",
            self.job.ask.attempt,
            self.job.route().name,
            self.run.in_flight.handle().id(),
            self.cutter.last_id(),
            self.pieces,
            self.slowest_ms,
            self.run.closing,
            self.gateway.now().since(self.job.arrived)
        );
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.finished {
            self.log("cancelled", "client left");
        }
    }
}
