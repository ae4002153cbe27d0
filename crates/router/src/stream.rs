//! Relaying of a streamed response from engines to the client.

use std::{fmt::Display, rc::Rc, time::Duration};

use bytes::Bytes;
use mimosaledge_core::Code;
use mimosaledge_net::server::Aborted;
use spdlog::warn;
use tokio::{sync::mpsc::Sender, time};

use crate::{
    node::Node,
    request::ClientRequest,
    response::ErrorResponse,
    run::{OpenError, Run, detect_crash, wait_for_crash},
    silence::{Waited, wait},
    start::{RunAttempt, SUSPECT_RETRY_DELAY, start, start_replacement, try_acquire_retry},
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
    /// The run failed; an attempt that was to replace it may be in progress.
    Failed(StreamError, Option<RunAttempt>),
    /// The run was silent, and this one replaces it.
    Replaced(Box<Run>),
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
                RunOutcome::Replaced(next) => {
                    self.log_interruption(&run, "engine silent");
                    self.resumes += 1;
                    run = *next;
                }
                RunOutcome::Failed(err, attempt) => match self.resume(run, err, attempt).await {
                    Ok(next) => run = next,
                    Err(code) => return self.fail(code).await,
                },
            }
        }
    }

    async fn relay_run(&self, run: &mut Run) -> RunOutcome {
        loop {
            if self.request.time_left(self.node.now()) == 0 {
                return RunOutcome::DeadlinePassed;
            }
            let waited = tokio::select! {
                biased;
                waited = self.read_or_replace(run) => waited,
                () = self.sender.closed() => return RunOutcome::ClientDisconnected,
            };
            let (line, is_end) = match waited {
                Waited::Received(Ok(StreamLine::Token(line)), _) => (line, false),
                Waited::Received(Ok(StreamLine::End(line)), _) => (line, true),
                Waited::Received(Err(err), attempt) => return RunOutcome::Failed(err, attempt),
                Waited::Replaced(next) => return RunOutcome::Replaced(Box::new(next)),
                Waited::Expired => return RunOutcome::DeadlinePassed,
            };
            if !self.send(line).await {
                return RunOutcome::ClientDisconnected;
            }
            if is_end {
                return RunOutcome::Complete;
            }
        }
    }

    /// Reads the next line, or replaces the run if its engine is silent.
    async fn read_or_replace(
        &self,
        run: &mut Run,
    ) -> Waited<Result<StreamLine, StreamError>, Run, OpenError> {
        let (node, request) = (&self.node, &self.request);
        let (engine, incarnation) = (run.engine, run.incarnation);
        let next_token = run.reader.next_token();
        let line = async {
            tokio::select! {
                biased;
                line = run.reader.read() => line,
                () = wait_for_crash(node, request, engine, incarnation) => {
                    Err(StreamError::Crashed)
                }
            }
        };
        let mut tried = vec![engine];
        let search = async || match self.resumes < MAX_RESUMES {
            true => start_replacement(node, request, next_token, &mut tried).await,
            false => None,
        };
        wait(node, request, line, search).await
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
    ///
    /// An attempt that is already in progress is continued, and has been counted in
    /// the retry budget.
    async fn resume(
        &mut self,
        run: Run,
        err: StreamError,
        attempt: Option<RunAttempt>,
    ) -> Result<Run, Code> {
        self.log_interruption(&run, err);
        let (node, request) = (&self.node, &self.request);
        let crashed = detect_crash(node, run.engine, run.incarnation).await;
        self.resumes += 1;
        if attempt.is_none() {
            if self.resumes > MAX_RESUMES || !try_acquire_retry(node, request) {
                return Err(Code::AnswerBroken);
            }
            if crashed {
                time::sleep(SUSPECT_RETRY_DELAY).await;
            }
        }
        let (next_token, failed) = (run.reader.next_token(), run.engine);
        drop(run);
        start(node, request, next_token, Some(failed), attempt).await.map_err(|error| error.code)
    }

    fn log_interruption(&self, run: &Run, cause: impl Display) {
        warn!(
            "route: {} was interrupted at token {}: {cause}",
            self.request.run_id,
            run.reader.next_token()
        );
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
