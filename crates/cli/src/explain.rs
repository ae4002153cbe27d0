//! Explains the outcome of one request from gateway logs.

use std::fmt::Write as _;

use serde::Serialize;

/// Number of digits in the Unix timestamp, in milliseconds, of a log line.
const TIMESTAMP_DIGITS: usize = 13;

/// A log line about the request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Line {
    /// Unix time in milliseconds.
    pub time_ms: u64,
    /// Name of the log file.
    pub source: String,
    /// Message without timestamp and level, beginning with its prefix, such as `place:`.
    pub text: String,
}

/// Log lines of one request and the cause of its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// Request ID.
    pub id: String,
    /// Log lines, oldest first.
    pub lines: Vec<Line>,
    /// Description of the cause of the outcome.
    pub cause: String,
}

/// Collects the lines with the request ID `id` from `logs`, pairs of a file name and
/// its text, and derives the cause of the outcome.
pub fn explain<'a>(id: &str, logs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Explanation {
    let mut lines: Vec<Line> = logs
        .into_iter()
        .flat_map(|(source, log)| log.lines().filter_map(move |it| parse_line(source, it)))
        .filter(|it| field(&it.text, "id") == Some(id))
        .collect();
    lines.sort();
    let cause = describe_cause(&lines);
    Explanation { id: id.to_owned(), lines, cause }
}

impl Explanation {
    /// Formats the lines, with times relative to the first, and the cause.
    pub fn to_text(&self) -> String {
        let first = self.lines.first().map_or(0, |it| it.time_ms);
        let mut text = String::new();
        for line in &self.lines {
            // Writing to a `String` is infallible.
            let _ = writeln!(text, "+{:>6} ms {} {}", line.time_ms - first, line.source, line.text);
        }
        text.push_str(&self.cause);
        text
    }
}

/// Parses `.. TIME LEVEL TEXT`; anything before the time is ignored.
fn parse_line(source: &str, line: &str) -> Option<Line> {
    let mut rest = line;
    loop {
        let (word, after) = rest.trim_start().split_once(' ')?;
        if word.len() == TIMESTAMP_DIGITS
            && let Ok(time_ms) = word.parse()
        {
            let (_, text) = after.split_once(' ')?;
            return Some(Line { time_ms, source: source.to_owned(), text: text.to_owned() });
        }
        rest = after;
    }
}

/// Returns the value of an unquoted `name=value` field.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// Returns the value of a `name="value"` field, which may contain spaces.
fn quoted_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let (_, after) = text.split_once(&format!("{name}=\""))?;
    after.split_once('"').map(|it| it.0)
}

fn describe_cause(lines: &[Line]) -> String {
    let attempts = lines.iter().filter(|it| it.text.starts_with("attempt:")).count();
    let retry_denied = lines
        .iter()
        .any(|it| it.text.starts_with("retry:") && field(&it.text, "cause") == Some("budget"));
    let Some(last) = lines.iter().rev().find(|it| it.text.starts_with("request:")) else {
        return if lines.is_empty() {
            "no log line has this request id: it reached none of these gateways, or its lines were \
             dropped (look for lines_dropped)"
                .to_owned()
        } else {
            "the logs do not contain the end of the request: its gateway crashed or is still \
             serving it"
                .to_owned()
        };
    };
    let endpoint = field(&last.text, "endpoint").unwrap_or("none");
    let mut cause = match (field(&last.text, "refused"), field(&last.text, "outcome")) {
        (Some(code), _) => describe_refusal(code).to_owned(),
        (None, Some("complete")) => format!("the complete stream from {endpoint} was forwarded"),
        (None, Some("cancelled")) => match quoted_field(&last.text, "cause") {
            Some("gateway stopped") => {
                "the gateway stopped before the end of the response".to_owned()
            }
            _ => "the client disconnected before the end of the response".to_owned(),
        },
        (None, Some(_)) => format!(
            "the stream from {endpoint} was interrupted ({}) and not resumed",
            quoted_field(&last.text, "cause").unwrap_or("cause not logged")
        ),
        (None, None) => format!(
            "{endpoint} responded with status {}",
            field(&last.text, "status").unwrap_or("unknown")
        ),
    };
    if attempts > 0 {
        let _ = write!(cause, "; {attempts} attempts failed before that");
    }
    if retry_denied {
        cause.push_str("; the retry budget of the service was exhausted");
    }
    cause
}

fn describe_refusal(code: &str) -> &str {
    match code {
        "NoConfig" => "the gateway had no configuration yet; the request did not run",
        "NoRoute" => "no configured route matches the request",
        "NoWorkspace" => "the API key belongs to no workspace",
        "StaleConfig" => {
            "no route or workspace matched, but the configuration may have been out of date; \
             the request did not run"
        }
        "BadRequest" => "the request was malformed or its body was incomplete",
        "TooLarge" => "the request body exceeds the size limit",
        "NoEndpoint" => "no endpoint of the service was up; the request did not run",
        "Overloaded" => {
            "every engine of the service was at its load limit; the request did not run"
        }
        "Refused" => "every endpoint that was tried refused the request; it did not run",
        "TooLate" => "the deadline passed before the request was sent; it did not run",
        "Crasher" => "identical requests have crashed endpoints; this one did not run",
        "Unknown" => "the connection was lost after the request was sent; it may have run",
        "Timeout" => "the request was sent but timed out; it may have run",
        other => other,
    }
}
