//! The trace format: JSON Lines, a header followed by one request per line.

use std::{fmt, fs, path::Path};

use serde::{Deserialize, Serialize};

/// Current version of the trace format.
pub const VERSION: u32 = 1;

/// Alias for a `Result` with the error type [`TraceError`].
pub type Result<T> = std::result::Result<T, TraceError>;

/// The first line of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Version of the trace format.
    #[serde(rename = "trace")]
    pub version: u32,
    /// Name of the deployment.
    pub deployment: String,
    /// Model that the chats request.
    pub model: String,
}

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Time from the start of the trace, in milliseconds.
    pub at_ms: u64,
    /// Workspace that the request is sent for.
    pub workspace: String,
    /// Chat within the workspace; a later event of the chat continues it.
    pub chat: String,
    /// Request class.
    pub class: String,
    /// Data centre of the client.
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

/// A recorded or generated trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trace {
    /// Header of the trace.
    pub header: Header,
    /// Requests, ordered by time.
    pub events: Vec<Event>,
}

/// A syntax or ordering error in a trace.
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
    /// Returns an error with line 0 if the file cannot be read, and the errors of
    /// [`Trace::from_text`].
    pub fn from_file(path: &Path) -> Result<Trace> {
        let text = fs::read_to_string(path)
            .map_err(|err| TraceError { line: 0, reason: format!("cannot read file: {err}") })?;
        Trace::from_text(&text)
    }

    /// Parses a trace.
    ///
    /// # Errors
    ///
    /// Returns an error for the first line that is malformed, has an unknown version
    /// or is earlier than the line before it.
    pub fn from_text(text: &str) -> Result<Trace> {
        let mut lines = text.lines().enumerate().map(|(index, line)| (index + 1, line));
        let (_, first) = lines.next().ok_or_else(|| error(1, "header missing"))?;
        let header: Header = parse(1, first)?;
        if header.version != VERSION {
            return Err(error(1, &format!("unknown version {}", header.version)));
        }
        let mut events: Vec<Event> = Vec::new();
        for (number, line) in lines.filter(|(_, line)| !line.trim().is_empty()) {
            let event: Event = parse(number, line)?;
            if events.last().is_some_and(|last| last.at_ms > event.at_ms) {
                return Err(error(number, "event is earlier than the one before it"));
            }
            events.push(event);
        }
        Ok(Trace { header, events })
    }

    /// Formats the trace as JSON Lines.
    pub fn to_text(&self) -> String {
        let mut lines = vec![serde_json::to_string(&self.header).unwrap_or_default()];
        let events = self.events.iter().map(|it| serde_json::to_string(it).unwrap_or_default());
        lines.extend(events);
        lines.join("\n") + "\n"
    }
}

fn parse<T: serde::de::DeserializeOwned>(number: usize, line: &str) -> Result<T> {
    serde_json::from_str(line).map_err(|err| error(number, &err.to_string()))
}

#[cold]
fn error(line: usize, reason: &str) -> TraceError {
    TraceError { line, reason: reason.to_owned() }
}
