//! Reader for an engine's streamed response.
//!
//! The body holds one JSON document per line: one line for each token, numbered
//! from 0, and a last line that is marked by a checksum. The checksum itself is not
//! verified here.

use std::{fmt, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mimosaledge_core::Name;
use serde::Deserialize;
use tokio::time;

/// Maximum length of a line, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Alias for a `Result` with the error type [`StreamError`].
pub(crate) type Result<T> = std::result::Result<T, StreamError>;

/// The reason that a stream was interrupted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamError {
    /// The connection was closed before the last line.
    Disconnected,
    /// The engine's process has crashed.
    Crashed,
    /// A line has the identifier of another request.
    WrongRequest,
    /// A token is missing.
    MissingToken,
    /// A line is too long or cannot be parsed.
    Malformed,
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StreamError::Disconnected => "connection closed before the last line",
            StreamError::Crashed => "engine crashed",
            StreamError::WrongRequest => "line of another response",
            StreamError::MissingToken => "missing token",
            StreamError::Malformed => "malformed line",
        })
    }
}

/// One line of a response, in its encoded form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StreamLine {
    /// The line of a token.
    Token(Bytes),
    /// The last line.
    End(Bytes),
}

#[derive(Deserialize)]
struct LineHeader<'a> {
    #[serde(borrow)]
    id: &'a str,
    n: u32,
    #[serde(borrow)]
    sum: Option<&'a str>,
}

/// Reads the lines of one response, and checks that they belong to the request and
/// that no token is missing.
pub(crate) struct TokenReader {
    body: Incoming,
    buffer: BytesMut,
    run_id: Name,
    next_token: u32,
}

impl TokenReader {
    /// Creates a reader of `body`, the response to `run_id` that starts at token
    /// `next_token`.
    pub(crate) fn new(body: Incoming, run_id: Name, next_token: u32) -> TokenReader {
        TokenReader { body, buffer: BytesMut::new(), run_id, next_token }
    }

    /// Returns the number of the next token.
    pub(crate) fn next_token(&self) -> u32 {
        self.next_token
    }

    /// Reads the next line.
    pub(crate) async fn read(&mut self) -> Result<StreamLine> {
        loop {
            let Some(line) = self.take_line() else {
                self.read_frame().await?;
                continue;
            };
            if let Some(line) = self.check_line(line)? {
                return Ok(line);
            }
        }
    }

    /// Waits for the end of the body after its last line; returns whether it was
    /// reached, so that the connection can be reused.
    pub(crate) async fn finish(mut self, timeout: Duration) -> bool {
        matches!(time::timeout(timeout, self.body.frame()).await, Ok(None))
    }

    fn take_line(&mut self) -> Option<Bytes> {
        let end = self.buffer.iter().position(|&byte| byte == b'\n')?;
        Some(self.buffer.split_to(end + 1).freeze())
    }

    async fn read_frame(&mut self) -> Result<()> {
        if self.buffer.len() > MAX_LINE_BYTES {
            return Err(StreamError::Malformed);
        }
        match self.body.frame().await {
            None | Some(Err(_)) => Err(StreamError::Disconnected),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    self.buffer.extend_from_slice(&data);
                }
                Ok(())
            }
        }
    }

    /// Checks a line; returns `None` for a repeated token, which is skipped.
    fn check_line(&mut self, line: Bytes) -> Result<Option<StreamLine>> {
        let header: LineHeader<'_> =
            serde_json::from_slice(&line).map_err(|_| StreamError::Malformed)?;
        if header.id != &*self.run_id {
            return Err(StreamError::WrongRequest);
        }
        if header.n > self.next_token {
            return Err(StreamError::MissingToken);
        }
        if header.sum.is_some() {
            let is_complete = header.n == self.next_token;
            return if is_complete {
                Ok(Some(StreamLine::End(line)))
            } else {
                Err(StreamError::MissingToken)
            };
        }
        if header.n < self.next_token {
            return Ok(None);
        }
        self.next_token += 1;
        Ok(Some(StreamLine::Token(line)))
    }
}
