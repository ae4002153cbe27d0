//! Reading an engine's streamed answer piece by piece.

use std::{fmt, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mimosaledge_core::Name;
use serde::Deserialize;
use tokio::time;

/// Longest line of an answer, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// A result whose error is a [`StreamError`].
pub(crate) type Result<T> = std::result::Result<T, StreamError>;

/// Why a stream cannot go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamError {
    /// The connection broke before the end.
    Broken,
    /// Nothing arrived for too long.
    Silent,
    /// A piece carries another request's identity.
    Crossed,
    /// A piece is missing.
    Gap,
    /// A piece does not decode.
    Malformed,
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StreamError::Broken => "stream broke off",
            StreamError::Silent => "stream fell silent",
            StreamError::Crossed => "piece of another answer",
            StreamError::Gap => "piece missing",
            StreamError::Malformed => "malformed piece",
        })
    }
}

/// One piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Piece {
    /// The line of one token.
    Token(Bytes),
    /// The last line.
    End(Bytes),
}

#[derive(Deserialize)]
struct Header<'a> {
    #[serde(borrow)]
    id: &'a str,
    n: u32,
    #[serde(borrow)]
    sum: Option<&'a str>,
}

/// Reads the pieces of one answer and checks that they are its own, complete
/// and in order.
pub(crate) struct Relay {
    body: Incoming,
    buffer: BytesMut,
    run_id: Name,
    next: u32,
}

impl Relay {
    /// Reads `body` as the answer to `run_id` from piece `next` on.
    pub(crate) fn new(body: Incoming, run_id: Name, next: u32) -> Relay {
        Relay { body, buffer: BytesMut::new(), run_id, next }
    }

    /// Returns the number of the next piece.
    pub(crate) fn next(&self) -> u32 {
        self.next
    }

    /// Reads the next piece, waiting at most `limit` for more bytes.
    pub(crate) async fn read(&mut self, limit: Duration) -> Result<Piece> {
        loop {
            let Some(line) = self.take_line() else {
                self.fill(limit).await?;
                continue;
            };
            if let Some(piece) = self.check(line)? {
                return Ok(piece);
            }
        }
    }

    /// Reads up to the proper end of the body, so that the connection can be
    /// used again; returns whether it can.
    pub(crate) async fn finish(mut self, limit: Duration) -> bool {
        matches!(time::timeout(limit, self.body.frame()).await, Ok(None))
    }

    fn take_line(&mut self) -> Option<Bytes> {
        let end = self.buffer.iter().position(|&byte| byte == b'\n')?;
        Some(self.buffer.split_to(end + 1).freeze())
    }

    async fn fill(&mut self, limit: Duration) -> Result<()> {
        if self.buffer.len() > MAX_LINE_BYTES {
            return Err(StreamError::Malformed);
        }
        match time::timeout(limit, self.body.frame()).await {
            Err(_) => Err(StreamError::Silent),
            Ok(None | Some(Err(_))) => Err(StreamError::Broken),
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    self.buffer.extend_from_slice(&data);
                }
                Ok(())
            }
        }
    }

    /// Checks a line; returns `None` for a repeated piece, which is dropped.
    fn check(&mut self, line: Bytes) -> Result<Option<Piece>> {
        let header: Header<'_> =
            serde_json::from_slice(&line).map_err(|_| StreamError::Malformed)?;
        if header.id != &*self.run_id {
            return Err(StreamError::Crossed);
        }
        if header.n > self.next {
            return Err(StreamError::Gap);
        }
        if header.sum.is_some() {
            let complete = header.n == self.next;
            return if complete { Ok(Some(Piece::End(line))) } else { Err(StreamError::Gap) };
        }
        if header.n < self.next {
            return Ok(None);
        }
        self.next += 1;
        Ok(Some(Piece::Token(line)))
    }
}
