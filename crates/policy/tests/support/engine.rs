//! A simulated engine.

use std::collections::VecDeque;

/// Requests that an engine runs at a time.
pub(crate) const SLOTS: u32 = 64;
/// Time that one tick simulates, in milliseconds.
pub(crate) const TICK_MS: u64 = 5;

/// Requests of one kind.
#[derive(Clone, Copy)]
pub(crate) struct RequestClass {
    pub(crate) priority: u8,
    pub(crate) requests_per_s: f64,
    pub(crate) tokens: f64,
    pub(crate) prefill_ms: f64,
    pub(crate) latency_goal_ms: u64,
    pub(crate) deadline_ms: u64,
}

/// A mix of long briefings, chats and short look-ups.
pub(crate) const CLASSES: [RequestClass; 3] = [
    RequestClass {
        priority: 1,
        requests_per_s: 94.0,
        tokens: 384.0,
        prefill_ms: 10.0,
        latency_goal_ms: 600,
        deadline_ms: 15_000,
    },
    RequestClass {
        priority: 0,
        requests_per_s: 132.0,
        tokens: 294.0,
        prefill_ms: 1.0,
        latency_goal_ms: 400,
        deadline_ms: 12_000,
    },
    RequestClass {
        priority: 2,
        requests_per_s: 184.0,
        tokens: 24.0,
        prefill_ms: 3.0,
        latency_goal_ms: 400,
        deadline_ms: 3_000,
    },
];

/// A request at an engine.
pub(crate) struct Job {
    pub(crate) class: usize,
    /// Gateway that sent it.
    pub(crate) gateway: usize,
    pub(crate) arrived: u64,
    pub(crate) started: Option<u64>,
    pub(crate) remaining_tokens: f64,
}

impl Job {
    /// Creates a request of a class that arrives now.
    pub(crate) fn new(class: usize, gateway: usize, now: u64) -> Job {
        let remaining_tokens = CLASSES[class].tokens;
        Job { class, gateway, arrived: now, started: None, remaining_tokens }
    }

    /// Returns whether the response is complete.
    pub(crate) fn is_finished(&self) -> bool {
        self.remaining_tokens <= 0.0
    }
}

/// An engine that batches the requests in its slots; others wait in a queue.
#[derive(Default)]
pub(crate) struct Engine {
    pub(crate) running: Vec<Job>,
    pub(crate) queue: VecDeque<Job>,
    /// Remaining time for which prefill keeps the batch from making progress.
    stall_ms: f64,
}

impl Engine {
    /// Returns the number of requests running and waiting.
    pub(crate) fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Runs one tick; returns the requests that ended, finished or at their deadline.
    pub(crate) fn tick(&mut self, now: u64) -> Vec<Job> {
        let is_late = |it: &Job| now - it.arrived >= CLASSES[it.class].deadline_ms;
        let (late, queue): (VecDeque<Job>, VecDeque<Job>) = self.queue.drain(..).partition(is_late);
        self.queue = queue;
        let mut ended = Vec::from(late);
        ended.extend(self.running.extract_if(.., |it| is_late(it)));
        while self.running.len() < SLOTS as usize {
            let Some(mut job) = self.queue.pop_front() else { break };
            self.stall_ms += CLASSES[job.class].prefill_ms;
            job.started = Some(now);
            self.running.push(job);
        }
        let progress_ms = (TICK_MS as f64 - self.stall_ms).max(0.0);
        self.stall_ms = (self.stall_ms - TICK_MS as f64).max(0.0);
        // Time per token, which grows with the batch.
        let token_ms = 3.27 + 0.0823 * self.running.len() as f64;
        for job in &mut self.running {
            job.remaining_tokens -= progress_ms / token_ms;
        }
        ended.extend(self.running.extract_if(.., |it| it.is_finished()));
        ended
    }
}
