//! The trace format: one JSON document a line, a header first.

use std::{fmt, fs, path::Path};

use serde::{Deserialize, Serialize};

/// Version of the format.
pub const VERSION: u32 = 1;

/// A result whose error is a [`TraceError`].
pub type Result<T> = std::result::Result<T, TraceError>;

/// The first line of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Version of the format.
    pub trace: u32,
    /// Name of the deployment.
    pub deployment: String,
    /// Model that the chats use.
    pub model: String,
}

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Time from the start of the trace, in milliseconds.
    pub at_ms: u64,
    /// Workspace.
    pub workspace: String,
    /// Chat within the workspace; a later event of the chat continues it.
    pub chat: String,
    /// Request class.
    pub class: String,
    /// Data centre of the caller.
    pub data_centre: String,
    /// Tokens that the request adds to the chat; zero for a service call.
    #[serde(default)]
    pub new_tokens: u32,
    /// Tokens to generate; zero for a service call.
    #[serde(default)]
    pub output_tokens: u32,
    /// Whether the request carries an idempotency key.
    #[serde(default)]
    pub keyed: bool,
}

/// A recorded trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trace {
    /// The first line.
    pub header: Header,
    /// The requests, in the order of their times.
    pub events: Vec<Event>,
}

/// Why a trace was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceError {
    line: usize,
    reason: String,
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at line {}", self.reason, self.line)
    }
}

impl std::error::Error for TraceError {}

impl Trace {
    /// Reads a trace from a file.
    ///
    /// # Errors
    ///
    /// As [`Trace::from_text`], and at line zero if the file cannot be read.
    pub fn from_file(path: &Path) -> Result<Trace> {
        let text = fs::read_to_string(path)
            .map_err(|err| TraceError { line: 0, reason: format!("cannot read file: {err}") })?;
        Trace::from_text(&text)
    }

    /// Parses a trace.
    ///
    /// # Errors
    ///
    /// Returns the first malformed line, an unknown version, or an event that
    /// is earlier than the one before it.
    pub fn from_text(text: &str) -> Result<Trace> {
        let mut lines = text.lines().enumerate().map(|(at, line)| (at + 1, line));
        let (_, first) = lines.next().ok_or_else(|| error(1, "header missing"))?;
        let header: Header = parse(1, first)?;
        if header.trace != VERSION {
            return Err(error(1, &format!("unknown version {}", header.trace)));
        }
        let mut events: Vec<Event> = Vec::new();
        for (at, line) in lines.filter(|(_, line)| !line.trim().is_empty()) {
            let event: Event = parse(at, line)?;
            if events.last().is_some_and(|last| last.at_ms > event.at_ms) {
                return Err(error(at, "event is earlier than the one before it"));
            }
            events.push(event);
        }
        Ok(Trace { header, events })
    }

    /// Formats the trace.
    pub fn to_text(&self) -> String {
        let mut lines = vec![serde_json::to_string(&self.header).unwrap_or_default()];
        let events = self.events.iter().map(|it| serde_json::to_string(it).unwrap_or_default());
        lines.extend(events);
        lines.join("\n") + "\n"
    }
}

fn parse<T: serde::de::DeserializeOwned>(at: usize, line: &str) -> Result<T> {
    serde_json::from_str(line).map_err(|err| error(at, &err.to_string()))
}

#[cold]
fn error(line: usize, reason: &str) -> TraceError {
    TraceError { line, reason: reason.to_owned() }
}
