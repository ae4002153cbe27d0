//! What the logs of gateways say of one request.

use std::fmt::Write as _;

use serde::Serialize;

/// Digits of a Unix time in milliseconds, which begins a line.
const TIME_DIGITS: usize = 13;

/// One line of a log that names the request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Line {
    /// Unix time in milliseconds.
    pub time_ms: u64,
    /// Where the line stood: a file's name.
    pub source: String,
    /// The line, from its part on.
    pub text: String,
}

/// The lines of one request, in order, and what decided.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// The request's identifier.
    pub id: String,
    /// Its lines, oldest first.
    pub lines: Vec<Line>,
    /// What decided, in a sentence.
    pub cause: String,
}

/// Collects the lines that name the request `id` from logs, each with its
/// source.
pub fn explain<'a>(id: &str, logs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Explanation {
    let mut lines: Vec<Line> = logs
        .into_iter()
        .flat_map(|(source, log)| log.lines().filter_map(move |it| parse(source, it)))
        .filter(|it| field(&it.text, "id") == Some(id))
        .collect();
    lines.sort();
    let cause = find_cause(&lines);
    Explanation { id: id.to_owned(), lines, cause }
}

impl Explanation {
    /// Returns the lines and the cause for people.
    pub fn to_text(&self) -> String {
        let first = self.lines.first().map_or(0, |it| it.time_ms);
        let mut text = String::new();
        for line in &self.lines {
            // Writing to a string does not fail.
            let _ = writeln!(text, "+{:>6} ms {} {}", line.time_ms - first, line.source, line.text);
        }
        text.push_str(&self.cause);
        text
    }
}

/// Reads `.. TIME LEVEL TEXT`; what stands before the time is left out.
fn parse(source: &str, line: &str) -> Option<Line> {
    let mut rest = line;
    loop {
        let (word, after) = rest.trim_start().split_once(' ')?;
        if word.len() == TIME_DIGITS
            && let Ok(time_ms) = word.parse()
        {
            let (_, text) = after.split_once(' ')?;
            return Some(Line { time_ms, source: source.to_owned(), text: text.to_owned() });
        }
        rest = after;
    }
}

fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// Returns a quoted value, which may hold spaces.
fn quoted<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let (_, after) = text.split_once(&format!("{name}=\""))?;
    after.split_once('"').map(|it| it.0)
}

fn find_cause(lines: &[Line]) -> String {
    let attempts = lines.iter().filter(|it| it.text.starts_with("attempt:")).count();
    let denied = lines.iter().any(|it| it.text.starts_with("retry:"));
    let Some(last) = lines.iter().rev().find(|it| it.text.starts_with("request:")) else {
        return if lines.is_empty() {
            "no line names this request: it reached none of these gateways, or its lines were \
             dropped (look for lines_dropped)"
                .to_owned()
        } else {
            "the request has no end in these logs: its gateway died or still serves it".to_owned()
        };
    };
    let endpoint = field(&last.text, "endpoint").unwrap_or("none");
    let mut cause = match (field(&last.text, "refused"), field(&last.text, "outcome")) {
        (Some(code), _) => explain_refusal(code).to_owned(),
        (None, Some("complete")) => format!("the stream was passed on whole from {endpoint}"),
        (None, Some("cancelled")) => "the client left before the end of the stream".to_owned(),
        (None, Some(_)) => format!(
            "the stream from {endpoint} broke ({}) and was not resumed",
            quoted(&last.text, "cause").unwrap_or("no cause given")
        ),
        (None, None) => format!(
            "{endpoint} answered with status {}",
            field(&last.text, "status").unwrap_or("unknown")
        ),
    };
    if attempts > 0 {
        let _ = write!(cause, "; {attempts} attempts failed before that");
    }
    if denied {
        cause.push_str("; the retry budget of the service was spent");
    }
    cause
}

fn explain_refusal(code: &str) -> &str {
    match code {
        "NoConfig" => "the gateway knew no configuration yet; the request did not run",
        "NoRoute" => "no route of the configuration matches",
        "NoWorkspace" => "the API key names no workspace",
        "StaleConfig" => "the configuration was too old to deny the request by it; it did not run",
        "BadRequest" => "the request could not be understood or its body broke off",
        "TooLarge" => "the body is larger than allowed",
        "NoEndpoint" => "no endpoint of the service was up; the request did not run",
        "Overloaded" => {
            "every engine of the service was at its load limit; the request did not run"
        }
        "Refused" => "every endpoint that was asked refused; the request did not run",
        "TooLate" => "time ran out before the request was sent; it did not run",
        "Crasher" => "equal requests crashed endpoints before; it did not run",
        "Unknown" => "the request was sent and its connection broke; it may have run",
        "Timeout" => "the request was sent and not answered in time; it may have run",
        other => other,
    }
}
