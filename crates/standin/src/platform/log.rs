//! The append-only log of the platform.

use std::collections::{HashMap, VecDeque};

use mimosaledge_net::{LogEntry, Page};
use tokio::time::{Duration, Instant};

/// Maximum number of records in the response to a read.
const MAX_PAGE_RECORDS: usize = 1_000;

#[derive(Debug, Default)]
struct Stream {
    next: u64,
    retained: VecDeque<LogEntry>,
}

/// An append-only log of named streams with offsets, retention and a rate limit.
#[derive(Debug)]
pub(super) struct LogService {
    streams: HashMap<String, Stream>,
    keep_records: usize,
    appends_per_s: u32,
    recent_appends: VecDeque<Instant>,
}

impl LogService {
    pub(super) fn new(keep_records: usize, appends_per_s: u32) -> LogService {
        LogService {
            streams: HashMap::new(),
            keep_records,
            appends_per_s,
            recent_appends: VecDeque::new(),
        }
    }

    pub(super) fn set_limits(&mut self, keep_records: Option<usize>, appends_per_s: Option<u32>) {
        self.keep_records = keep_records.unwrap_or(self.keep_records);
        self.appends_per_s = appends_per_s.unwrap_or(self.appends_per_s);
        let keep = self.keep_records;
        for stream in self.streams.values_mut() {
            stream.trim(keep);
        }
    }

    /// Appends a record and returns its offset, or `None` if the rate limit is reached.
    pub(super) fn append(&mut self, stream: &str, body: String, now: Instant) -> Option<u64> {
        let window = Duration::from_secs(1);
        while self.recent_appends.front().is_some_and(|&at| now.duration_since(at) >= window) {
            self.recent_appends.pop_front();
        }
        if self.recent_appends.len() >= self.appends_per_s as usize {
            return None;
        }
        self.recent_appends.push_back(now);
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.next;
        stream.next += 1;
        stream.retained.push_back(LogEntry { offset, body });
        stream.trim(self.keep_records);
        Some(offset)
    }

    /// Returns a page of the retained records from offset `from` on.
    pub(super) fn read(&self, stream: &str, from: u64) -> Page {
        let Some(stream) = self.streams.get(stream) else {
            return Page { first: 0, next: 0, records: Vec::new() };
        };
        let first = stream.retained.front().map_or(stream.next, |it| it.offset);
        let records = stream
            .retained
            .iter()
            .filter(|it| it.offset >= from)
            .take(MAX_PAGE_RECORDS)
            .cloned()
            .collect();
        Page { first, next: stream.next, records }
    }
}

impl Stream {
    /// Removes the oldest records beyond `keep_records`.
    fn trim(&mut self, keep_records: usize) {
        while self.retained.len() > keep_records {
            self.retained.pop_front();
        }
    }
}
