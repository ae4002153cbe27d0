//! The events of a stream, cut out of the bytes that carry them.
//!
//! An event ends with an empty line; a line `id: N` numbers it. A stream that
//! breaks off in the middle of an event is resumed after the last whole one.

/// Largest event that is kept until it is whole, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// What a piece of a stream means for the one reading it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An event is missing between the last one and the next.
    Gap,
    /// An event is too large.
    TooLarge,
}

/// Cuts a stream into whole events and follows their numbers.
#[derive(Debug, Default)]
pub struct EventCutter {
    partial: Vec<u8>,
    last_id: Option<u64>,
    resumed: bool,
}

impl EventCutter {
    /// Makes a cutter for a stream that goes on after the event `last_id`.
    pub fn after(last_id: Option<u64>) -> EventCutter {
        EventCutter { partial: Vec::new(), last_id, resumed: false }
    }

    /// Returns the number of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the bytes so far end between two events.
    pub fn is_whole(&self) -> bool {
        self.partial.is_empty()
    }

    /// Drops the unfinished event of a run that broke off; the next bytes come
    /// from another run and must follow the last whole event.
    pub fn restart(&mut self) {
        self.partial.clear();
        self.resumed = true;
    }

    /// Takes the next bytes and appends the events that are whole to `out`.
    ///
    /// # Errors
    ///
    /// Returns a fault if the stream cannot be continued with these bytes.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), Fault> {
        self.partial.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(length) = event_length(&self.partial[start..]) {
            let event = &self.partial[start..start + length];
            if follows(event, &mut self.last_id, &mut self.resumed)? {
                out.extend_from_slice(event);
            }
            start += length;
        }
        self.partial.drain(..start);
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(Fault::TooLarge);
        }
        Ok(())
    }
}

/// Checks an event's number against the last one; returns whether the event is
/// new. Only where two runs meet must the numbers have no gap.
fn follows(event: &[u8], last: &mut Option<u64>, resumed: &mut bool) -> Result<bool, Fault> {
    let Some(id) = event_id(event) else {
        return Ok(true);
    };
    if let Some(before) = *last
        && *resumed
    {
        if id <= before {
            return Ok(false);
        }
        if id != before + 1 {
            return Err(Fault::Gap);
        }
    }
    *last = Some(id);
    *resumed = false;
    Ok(true)
}

fn event_length(bytes: &[u8]) -> Option<usize> {
    let lf = find(bytes, b"\n\n").map(|at| at + 2);
    let crlf = find(bytes, b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|&byte| byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
