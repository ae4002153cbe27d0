//! Buffers the bodies of responses, within a limit for all of them together.

use std::{cell::Cell, rc::Rc};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Maximum size of one body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Size up to which a body does not count towards the total, in bytes, so that small
/// responses are received whatever other endpoints send.
const FREE_BYTES: usize = 64 << 10;
/// Maximum total size of all bodies beyond that, in bytes.
const MAX_TOTAL_BYTES: usize = 16 << 20;

/// Why a body was not received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The connection was lost before the end.
    Truncated,
    /// The body, or all bodies together, are too large.
    TooLarge,
}

/// The total size of the bodies that are being received.
#[derive(Debug, Clone, Default)]
pub(crate) struct BufferTotal {
    bytes: Rc<Cell<usize>>,
}

/// The part of the total that one body takes, until it is dropped.
struct Share {
    total: BufferTotal,
    bytes: usize,
}

impl Share {
    /// Grows the share to that of a body of `length` bytes; returns whether the total
    /// allows it.
    fn grow(&mut self, length: usize) -> bool {
        let bytes = length.saturating_sub(FREE_BYTES);
        let total = self.total.bytes.get() - self.bytes + bytes;
        let is_allowed = bytes == 0 || total <= MAX_TOTAL_BYTES;
        if is_allowed {
            self.total.bytes.set(total);
            self.bytes = bytes;
        }
        is_allowed
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.total.bytes.set(self.total.bytes.get() - self.bytes);
    }
}

/// Receives a body.
///
/// # Errors
///
/// Returns an error if the body is incomplete or too large.
pub(crate) async fn receive(mut body: Incoming, total: &BufferTotal) -> Result<Bytes, BodyError> {
    let mut share = Share { total: total.clone(), bytes: 0 };
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Truncated)?.into_data() else { continue };
        let length = received.len() + data.len();
        if length > MAX_BODY_BYTES || !share.grow(length) {
            return Err(BodyError::TooLarge);
        }
        received.extend_from_slice(&data);
    }
    Ok(received.freeze())
}
