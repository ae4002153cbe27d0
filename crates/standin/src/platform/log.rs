use std::collections::{HashMap, VecDeque};

use mimosaledge_net::{LogEntry, Page};
use tokio::time::{Duration, Instant};

/// Most records in one answer to a read.
const PAGE_RECORDS: usize = 1_000;

#[derive(Debug, Default)]
struct Stream {
    next: u64,
    kept: VecDeque<LogEntry>,
}

/// An append-only log with offsets, retention and a rate limit.
#[derive(Debug)]
pub(super) struct LogService {
    streams: HashMap<String, Stream>,
    keep_records: usize,
    appends_per_s: u32,
    recent: VecDeque<Instant>,
}

impl LogService {
    pub(super) fn new(keep_records: usize, appends_per_s: u32) -> LogService {
        LogService { streams: HashMap::new(), keep_records, appends_per_s, recent: VecDeque::new() }
    }

    pub(super) fn set_limits(&mut self, keep_records: Option<usize>, appends_per_s: Option<u32>) {
        self.keep_records = keep_records.unwrap_or(self.keep_records);
        self.appends_per_s = appends_per_s.unwrap_or(self.appends_per_s);
        let keep = self.keep_records;
        for stream in self.streams.values_mut() {
            stream.trim(keep);
        }
    }

    /// Appends a record; returns `None` if the rate limit is reached.
    pub(super) fn append(&mut self, stream: &str, body: String, now: Instant) -> Option<u64> {
        let window = Duration::from_secs(1);
        while self.recent.front().is_some_and(|&at| now.duration_since(at) >= window) {
            self.recent.pop_front();
        }
        if self.recent.len() >= self.appends_per_s as usize {
            return None;
        }
        self.recent.push_back(now);
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.next;
        stream.next += 1;
        stream.kept.push_back(LogEntry { offset, body });
        stream.trim(self.keep_records);
        Some(offset)
    }

    pub(super) fn read(&self, stream: &str, from: u64) -> Page {
        let Some(stream) = self.streams.get(stream) else {
            return Page { first: 0, next: 0, records: Vec::new() };
        };
        let first = stream.kept.front().map_or(stream.next, |it| it.offset);
        let records =
            stream.kept.iter().filter(|it| it.offset >= from).take(PAGE_RECORDS).cloned().collect();
        Page { first, next: stream.next, records }
    }
}

impl Stream {
    fn trim(&mut self, keep_records: usize) {
        while self.kept.len() > keep_records {
            self.kept.pop_front();
        }
    }
}
