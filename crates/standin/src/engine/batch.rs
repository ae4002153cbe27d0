//! Continuous batching: sequences join and leave the batch between steps.

use bytes::Bytes;
use mimosaledge_net::server::Aborted;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::Sender;

use super::{
    Fault,
    cache::{PrefixCache, prefix_blocks},
    events::CacheEvents,
    request::{Frame, GenerateRequest, checksum, output_segment, token},
};

/// Index of the first token that an injected fault affects.
const FAULT_TOKEN_INDEX: u32 = 2;

/// A request in the batch and its progress.
pub(super) struct Sequence {
    id: String,
    request: GenerateRequest,
    priority: u8,
    /// Index of the next token to generate.
    generated: u32,
    /// Number of tokens still to prefill; `None` before the first step.
    remaining_prefill: Option<u32>,
    /// Number of prompt tokens found in the cache.
    cached: u32,
    fault: Fault,
    sender: Sender<Result<Bytes, Aborted>>,
}

impl Sequence {
    pub(super) fn new(
        id: String,
        request: GenerateRequest,
        priority: u8,
        resume_from: u32,
        fault: Fault,
        sender: Sender<Result<Bytes, Aborted>>,
    ) -> Sequence {
        Sequence {
            id,
            request,
            priority,
            generated: resume_from,
            remaining_prefill: None,
            cached: 0,
            fault,
            sender,
        }
    }

    fn prompt_tokens(&self) -> u32 {
        self.request.segments.iter().map(|it| it.1).sum()
    }

    fn is_done(&self) -> bool {
        self.remaining_prefill == Some(0) && self.generated >= self.request.output
    }

    fn send(&self, frame: &Frame) {
        let mut line = serde_json::to_vec(frame).unwrap_or_default();
        line.push(b'\n');
        // A frame is dropped if the client has disconnected or its buffer is full.
        let _ = self.sender.try_send(Ok(line.into()));
    }

    fn send_token(&mut self) {
        let n = self.generated;
        self.generated += 1;
        let mut frame =
            Frame { id: self.id.clone(), n, t: Some(token(&self.id, n)), ..Frame::default() };
        if n >= FAULT_TOKEN_INDEX {
            match self.fault {
                Fault::Silent => return,
                Fault::Cross => frame.id = "another-request".to_owned(),
                Fault::Duplicate if n == FAULT_TOKEN_INDEX => self.send(&frame),
                Fault::Truncate => {
                    let _ = self.sender.try_send(Err(Aborted));
                    return;
                }
                _ => {}
            }
        }
        self.send(&frame);
    }

    fn send_last_frame(&self) {
        if self.fault == Fault::Silent {
            return;
        }
        self.send(&Frame {
            id: self.id.clone(),
            n: self.generated,
            t: None,
            sum: Some(checksum(&self.id, self.generated)),
            cached: Some(self.cached),
        });
    }
}

/// Totals since the engine started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statistics {
    /// Requests completed.
    pub finished: u64,
    /// Prompt tokens of all started requests.
    pub prompt_tokens: u64,
    /// Prompt tokens served from the cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub output_tokens: u64,
    /// Sequences that are running or waiting.
    pub load: u32,
    /// Highest number of running and waiting sequences.
    pub peak_load: u32,
    /// Sum of the number of running and waiting sequences over all steps.
    pub load_steps: u64,
}

/// The running and waiting sequences of an engine.
pub(super) struct Batch {
    slots: usize,
    prefill_tokens: u32,
    cache: PrefixCache,
    running: Vec<Sequence>,
    waiting: Vec<Sequence>,
    statistics: Statistics,
}

impl Batch {
    pub(super) fn new(slots: usize, prefill_tokens: u32, cache: PrefixCache) -> Batch {
        Batch {
            slots,
            prefill_tokens,
            cache,
            running: Vec::new(),
            waiting: Vec::new(),
            statistics: Statistics::default(),
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    pub(super) fn load(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    pub(super) fn statistics(&self) -> Statistics {
        Statistics { load: self.load(), ..self.statistics }
    }

    pub(super) fn submit(&mut self, sequence: Sequence) {
        self.waiting.push(sequence);
        self.statistics.peak_load = self.statistics.peak_load.max(self.load());
    }

    pub(super) fn cancel(&mut self, id: &str) {
        self.running.retain(|it| it.id != id);
        self.waiting.retain(|it| it.id != id);
    }

    /// Runs one step: removes sequences whose client has disconnected, moves waiting
    /// ones to free slots, advances each running one, and completes those that are
    /// done.
    pub(super) fn step(&mut self, events: &mut CacheEvents) {
        self.running.retain(|it| !it.sender.is_closed());
        self.waiting.retain(|it| !it.sender.is_closed());
        self.fill_slots();
        self.statistics.load_steps += u64::from(self.load());
        for sequence in &mut self.running {
            advance(sequence, self.prefill_tokens, &mut self.cache, &mut self.statistics);
        }
        let done: Vec<Sequence> = self.running.extract_if(.., |it| it.is_done()).collect();
        for sequence in done {
            self.complete(&sequence, events);
        }
    }

    fn fill_slots(&mut self) {
        while self.running.len() < self.slots && !self.waiting.is_empty() {
            let next = self.next_waiting();
            self.running.push(self.waiting.remove(next));
        }
    }

    /// Returns the index of the first waiting sequence of the highest priority.
    fn next_waiting(&self) -> usize {
        let priority = |index: usize| (self.waiting[index].priority, usize::MAX - index);
        (0..self.waiting.len()).max_by_key(|&index| priority(index)).unwrap_or(0)
    }

    fn complete(&mut self, sequence: &Sequence, events: &mut CacheEvents) {
        sequence.send_last_frame();
        self.statistics.finished += 1;
        let mut segments = sequence.request.segments.clone();
        segments.push((output_segment(&sequence.id), sequence.generated));
        for block in self.cache.store(&segments) {
            events.push(block, false);
        }
        for (block, _) in prefix_blocks(&segments) {
            events.push(block, true);
        }
    }
}

/// Runs one step of a sequence: prefills at most `prefill_tokens`, or generates one
/// token.
fn advance(
    sequence: &mut Sequence,
    prefill_tokens: u32,
    cache: &mut PrefixCache,
    statistics: &mut Statistics,
) {
    match sequence.remaining_prefill {
        None => {
            let prompt = sequence.prompt_tokens();
            sequence.cached = cache.lookup(&sequence.request.segments);
            // To resume a response, the tokens generated earlier are prefilled as well.
            let uncached = prompt - sequence.cached + sequence.generated;
            sequence.remaining_prefill = Some(uncached.saturating_sub(prefill_tokens));
            statistics.prompt_tokens += u64::from(prompt);
            statistics.cached_tokens += u64::from(sequence.cached);
        }
        Some(0) => {
            if sequence.generated < sequence.request.output {
                sequence.send_token();
                statistics.output_tokens += 1;
            }
        }
        Some(remaining) => {
            sequence.remaining_prefill = Some(remaining.saturating_sub(prefill_tokens))
        }
    }
}
