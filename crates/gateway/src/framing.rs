//! How a response shows where its body ends.

use hyper::{
    HeaderMap,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};

/// What ends the body of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// Its length.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection. If the body is empty, too, the head may have broken off
    /// before a header that gives another framing.
    Connection,
}

impl Framing {
    /// Returns the framing that the headers of a response give.
    pub(crate) fn of(headers: &HeaderMap) -> Framing {
        if headers.contains_key(TRANSFER_ENCODING) {
            Framing::Chunks
        } else if headers.contains_key(CONTENT_LENGTH) {
            Framing::Length
        } else {
            Framing::Connection
        }
    }
}
