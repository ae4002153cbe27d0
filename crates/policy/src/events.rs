//! Splits a server-sent event stream into complete events.
//!
//! An event ends with an empty line; a line `id: N` gives its number. A stream
//! that breaks off can be resumed from another endpoint after the last complete
//! event: incomplete and duplicate events are dropped, and gaps are detected.

/// Maximum size of an incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Length of the longest terminator of an event, in bytes.
const MAX_TERMINATOR_BYTES: usize = 4;

/// Why a stream cannot be continued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamError {
    /// Events are missing between the last event and the next one.
    Gap,
    /// An event is not numbered, or not higher than the one before, as what an endpoint writes
    /// that is no part of the stream.
    OutOfOrder,
    /// An event is too large.
    TooLarge,
}

/// Splits a stream into complete events and tracks their numbers.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    /// Length of the start of the buffer in which no event ends.
    searched: usize,
    last_id: Option<u64>,
    /// Whether no new event has arrived since the last restart.
    is_resuming: bool,
    /// Whether the stream has been found invalid since the last restart.
    has_failed: bool,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event
    /// `last_id`.
    pub fn after(last_id: Option<u64>) -> EventSplitter {
        EventSplitter { last_id, is_resuming: last_id.is_some(), ..EventSplitter::default() }
    }

    /// Returns the number of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the bytes so far end at the end of an event.
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Discards the incomplete event of a stream that broke off; the next bytes
    /// come from the resumed stream, which must not skip any event after the
    /// last complete one.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.searched = 0;
        self.is_resuming = true;
        self.has_failed = false;
    }

    /// Returns whether the stream cannot be continued after the last complete event.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Adds the next bytes of the stream and appends the events that they
    /// complete to `out`, also those before an invalid one.
    ///
    /// # Errors
    ///
    /// Returns an error if events are missing after a restart, if one does not follow the
    /// last one, or if an incomplete event is too large.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), StreamError> {
        let result = self.split(bytes, out);
        self.has_failed |= result.is_err();
        result
    }

    fn split(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), StreamError> {
        self.buffer.extend_from_slice(bytes);
        let mut start = 0;
        // The end of an event may have been received in part.
        let mut search_from = self.searched.saturating_sub(MAX_TERMINATOR_BYTES - 1);
        while let Some(length) = event_length(&self.buffer[start..], search_from) {
            let event = &self.buffer[start..start + length];
            if check_sequence(event, &mut self.last_id, &mut self.is_resuming)? {
                out.extend_from_slice(event);
            }
            start += length;
            search_from = 0;
        }
        self.buffer.drain(..start);
        self.searched = self.buffer.len();
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(StreamError::TooLarge);
        }
        Ok(())
    }
}

/// Checks an event's number against the last one; returns whether the event is
/// new.
///
/// Numbers increase; after a restart, events that were received before are skipped, and the
/// next one follows without a gap. A stream whose first event has no number is not checked.
fn check_sequence(
    event: &[u8],
    last_id: &mut Option<u64>,
    is_resuming: &mut bool,
) -> Result<bool, StreamError> {
    let Some(id) = event_id(event) else {
        let is_valid = last_id.is_none() || is_comment(event);
        return if is_valid { Ok(true) } else { Err(StreamError::OutOfOrder) };
    };
    match *last_id {
        Some(previous) if id <= previous && *is_resuming => return Ok(false),
        Some(previous) if id <= previous => return Err(StreamError::OutOfOrder),
        Some(previous) if id != previous + 1 && *is_resuming => return Err(StreamError::Gap),
        _ => {}
    }
    *last_id = Some(id);
    *is_resuming = false;
    Ok(true)
}

/// Returns the length of the first event, which ends after `search_from` bytes.
fn event_length(bytes: &[u8], search_from: usize) -> Option<usize> {
    let unsearched = &bytes[search_from..];
    let lf = find(unsearched, b"\n\n").map(|at| search_from + at + 2);
    let before_lf = &bytes[search_from..lf.unwrap_or(bytes.len())];
    find(before_lf, b"\r\n\r\n").map(|at| search_from + at + 4).or(lf)
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|&byte| byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}

/// Returns whether an event consists of comments only, which keep a connection open.
fn is_comment(event: &[u8]) -> bool {
    event.split(|&byte| byte == b'\n').all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
