//! Relaying of a streamed response from engines to the client.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use mimosaledge_core::Code;
use mimosaledge_net::server::Aborted;
use spdlog::warn;
use tokio::{sync::mpsc::Sender, time};

use crate::{
    node::{Node, preset},
    request::ClientRequest,
    response::ErrorResponse,
    run::{Run, detect_crash},
    start::{SUSPECT_RETRY_DELAY, start, try_acquire_retry},
    token_reader::{StreamError, StreamLine},
};

/// Maximum number of times that an interrupted response is resumed.
const MAX_RESUMES: u32 = 3;
/// Maximum wait for the end of a response body after its last line.
const END_TIMEOUT: Duration = Duration::from_millis(100);

/// Relays one response to the client.
pub(crate) struct StreamRelay {
    node: Rc<Node>,
    request: Rc<ClientRequest>,
    sender: Sender<Result<Bytes, Aborted>>,
    resumes: u32,
}

/// The result of relaying the response of one run.
enum RunOutcome {
    Complete,
    ClientDisconnected,
    Failed(StreamError),
    DeadlinePassed,
}

impl StreamRelay {
    /// Creates a relay that sends to the client through `sender`.
    pub(crate) fn new(
        node: Rc<Node>,
        request: Rc<ClientRequest>,
        sender: Sender<Result<Bytes, Aborted>>,
    ) -> StreamRelay {
        StreamRelay { node, request, sender, resumes: 0 }
    }

    /// Relays a response to its end, resuming it on another run if it is
    /// interrupted.
    pub(crate) async fn relay(mut self, mut run: Run) {
        loop {
            match self.relay_run(&mut run).await {
                RunOutcome::Complete => return self.finish(run).await,
                RunOutcome::ClientDisconnected => return,
                RunOutcome::DeadlinePassed => return self.fail(Code::DeadlinePassed).await,
                RunOutcome::Failed(err) => match self.resume(run, err).await {
                    Ok(next) => run = next,
                    Err(code) => return self.fail(code).await,
                },
            }
        }
    }

    async fn relay_run(&self, run: &mut Run) -> RunOutcome {
        let progress_timeout = Duration::from_millis(preset(&self.request.active).progress_ms);
        loop {
            let time_left = Duration::from_millis(self.request.time_left(self.node.now()));
            if time_left.is_zero() {
                return RunOutcome::DeadlinePassed;
            }
            let (line, is_end) = match run.reader.read(progress_timeout.min(time_left)).await {
                Ok(StreamLine::Token(line)) => (line, false),
                Ok(StreamLine::End(line)) => (line, true),
                Err(StreamError::TimedOut) if time_left < progress_timeout => {
                    return RunOutcome::DeadlinePassed;
                }
                Err(err) => return RunOutcome::Failed(err),
            };
            if !self.send(line).await {
                return RunOutcome::ClientDisconnected;
            }
            if is_end {
                return RunOutcome::Complete;
            }
        }
    }

    /// Sends a line to the client; returns `false` if the client has disconnected or
    /// reads too slowly.
    async fn send(&self, line: Bytes) -> bool {
        let timeout = Duration::from_millis(self.node.settings.limits.caller_ms);
        matches!(time::timeout(timeout, self.sender.send(Ok(line))).await, Ok(Ok(())))
    }

    async fn finish(self, run: Run) {
        self.node.state.borrow_mut().quarantine.clear_suspect(self.request.fingerprint);
        drop(self.sender);
        if run.reader.finish(END_TIMEOUT).await {
            run.connection.recycle();
        }
    }

    /// Resumes an interrupted response at its next token.
    async fn resume(&mut self, run: Run, err: StreamError) -> Result<Run, Code> {
        let (node, request) = (&self.node, &self.request);
        warn!(
            "route: {} was interrupted at token {}: {err}",
            request.run_id,
            run.reader.next_token()
        );
        let crashed = detect_crash(node, run.engine, run.incarnation).await;
        self.resumes += 1;
        if self.resumes > MAX_RESUMES || !try_acquire_retry(node, request) {
            return Err(Code::AnswerBroken);
        }
        if crashed {
            time::sleep(SUSPECT_RETRY_DELAY).await;
        }
        let (next_token, failed) = (run.reader.next_token(), run.engine);
        drop(run);
        start(node, request, next_token, Some(failed)).await.map_err(|error| error.code)
    }

    /// Sends an error line as the end of a response that cannot be completed.
    async fn fail(self, code: Code) {
        warn!("route: {} failed: {code}", self.request.run_id);
        self.node.metrics.answers.with_label_values(&[&code.as_u16().to_string()]).inc();
        let mut line = ErrorResponse::new(&self.node, code).to_json();
        line.push(b'\n');
        self.send(line.into()).await;
    }
}
