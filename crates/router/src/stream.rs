//! The way of one streamed answer from engines to its caller.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use mimosaledge_core::Code;
use mimosaledge_net::server::Aborted;
use spdlog::warn;
use tokio::{sync::mpsc::Sender, time};

use crate::{
    answer::Refusal,
    node::{Node, preset},
    relay::{Piece, StreamError},
    request::Ask,
    run::{Run, detect_crash},
    start::{SUSPECT_RETRY_DELAY, start, try_acquire_retry},
};

/// Times that a broken answer is taken up again.
const MAX_RESUMES: u32 = 3;
/// Longest wait for the proper end of an answer whose last piece has arrived.
const END_LIMIT: Duration = Duration::from_millis(100);

/// One answer on its way.
pub(crate) struct Stream {
    node: Rc<Node>,
    ask: Rc<Ask>,
    sender: Sender<Result<Bytes, Aborted>>,
    resumes: u32,
}

/// How the relaying of an answer ended.
enum Ended {
    Whole,
    CallerGone,
    Failed(StreamError),
    Late,
}

impl Stream {
    /// Creates the way to the caller that reads from `sender`.
    pub(crate) fn new(
        node: Rc<Node>,
        ask: Rc<Ask>,
        sender: Sender<Result<Bytes, Aborted>>,
    ) -> Stream {
        Stream { node, ask, sender, resumes: 0 }
    }

    /// Relays an answer to its end, resuming it where it breaks.
    pub(crate) async fn relay(mut self, mut run: Run) {
        loop {
            match self.relay_run(&mut run).await {
                Ended::Whole => return self.finish(run).await,
                Ended::CallerGone => return,
                Ended::Late => return self.fail(Code::DeadlinePassed).await,
                Ended::Failed(err) => match self.resume(run, err).await {
                    Ok(next) => run = next,
                    Err(code) => return self.fail(code).await,
                },
            }
        }
    }

    async fn relay_run(&self, run: &mut Run) -> Ended {
        let progress = Duration::from_millis(preset(&self.ask.active).progress_ms);
        loop {
            let left = Duration::from_millis(self.ask.time_left(self.node.now()));
            if left.is_zero() {
                return Ended::Late;
            }
            let (line, is_end) = match run.relay.read(progress.min(left)).await {
                Ok(Piece::Token(line)) => (line, false),
                Ok(Piece::End(line)) => (line, true),
                Err(StreamError::Silent) if left < progress => return Ended::Late,
                Err(err) => return Ended::Failed(err),
            };
            if !self.send(line).await {
                return Ended::CallerGone;
            }
            if is_end {
                return Ended::Whole;
            }
        }
    }

    async fn send(&self, line: Bytes) -> bool {
        let limit = Duration::from_millis(self.node.settings.limits.caller_ms);
        matches!(time::timeout(limit, self.sender.send(Ok(line))).await, Ok(Ok(())))
    }

    async fn finish(self, run: Run) {
        self.node.cores.borrow_mut().quarantine.clear_suspect(self.ask.fingerprint);
        drop(self.sender);
        if run.relay.finish(END_LIMIT).await {
            run.connection.recycle();
        }
    }

    /// Takes a broken answer up again from its next piece.
    async fn resume(&mut self, run: Run, err: StreamError) -> Result<Run, Code> {
        let (node, ask) = (&self.node, &self.ask);
        warn!("route: {} broke at piece {}: {err}", ask.run_id, run.relay.next());
        let died = detect_crash(node, run.engine, run.incarnation).await;
        self.resumes += 1;
        if self.resumes > MAX_RESUMES || !try_acquire_retry(node, ask) {
            return Err(Code::AnswerBroken);
        }
        if died {
            time::sleep(SUSPECT_RETRY_DELAY).await;
        }
        let (next, failed) = (run.relay.next(), run.engine);
        drop(run);
        start(node, ask, next, Some(failed)).await.map_err(|refused| refused.code)
    }

    /// Ends an answer that cannot be completed with a numbered error.
    async fn fail(self, code: Code) {
        warn!("route: {} failed: {code}", self.ask.run_id);
        self.node.metrics.answers.with_label_values(&[&code.as_u16().to_string()]).inc();
        let mut line = Refusal::new(&self.node, code).to_json();
        line.push(b'\n');
        self.send(line.into()).await;
    }
}
