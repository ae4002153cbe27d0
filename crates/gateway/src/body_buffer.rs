//! Buffers the bodies of requests and responses in memory that was granted for them.

use bytes::Bytes;
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use mimosaledge_net::server::ReplyBody;
use mimosaledge_policy::byte_budget::NoRoom;

use crate::client_memory::Grant;

/// Maximum size of a response's body, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Size up to which a body of known length is allocated at once, and step by which a buffer
/// grows at least, in bytes.
const STEP_BYTES: usize = 4 << 10;

/// Why a body was not received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The connection was lost before the end.
    Truncated,
    /// The body is larger than its limit.
    TooLarge,
    /// There is no memory for it.
    NoMemory,
}

impl From<NoRoom> for BodyError {
    fn from(NoRoom: NoRoom) -> BodyError {
        BodyError::NoMemory
    }
}

/// A body, and the grant of its memory.
#[derive(Debug)]
pub(crate) struct HeldBody {
    bytes: Bytes,
    grant: Grant,
}

impl HeldBody {
    /// Returns the body; whoever keeps it for longer than the grant has to copy it.
    pub(crate) fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Returns the body of a response, which keeps the grant.
    pub(crate) fn into_reply(self) -> ReplyBody {
        let HeldBody { bytes, grant } = self;
        Box::pin(Full::new(bytes).map_err(move |never| {
            let _held = &grant;
            match never {}
        }))
    }
}

/// A buffer that never exceeds its grant.
struct Buffer {
    grant: Grant,
    bytes: Vec<u8>,
    max_bytes: usize,
}

impl Buffer {
    fn new(grant: Grant, max_bytes: usize) -> Buffer {
        Buffer { grant, bytes: Vec::new(), max_bytes }
    }

    /// Appends a copy of `data`, since what was received shares a larger buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the body becomes too large, or there is no memory for it.
    fn push(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let length = self.bytes.len() + data.len();
        if length > self.max_bytes {
            return Err(BodyError::TooLarge);
        }
        if length > self.bytes.capacity() {
            let grown = self.bytes.capacity() + self.bytes.capacity() / 4 + STEP_BYTES;
            let capacity = grown.min(self.max_bytes).max(length);
            self.grant.grow_to(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    fn into_body(self) -> HeldBody {
        HeldBody { bytes: self.bytes.into(), grant: self.grant }
    }
}

/// Receives a body of at most `max_bytes`; `on_data` is told of each part's size.
///
/// # Errors
///
/// Returns an error if the body is incomplete, too large or there is no memory for it; at once
/// if it is announced as too large.
pub(crate) async fn receive(
    mut body: Incoming,
    max_bytes: usize,
    grant: Grant,
    on_data: impl Fn(usize),
) -> Result<HeldBody, BodyError> {
    let size = body.size_hint();
    if size.lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    let announced = size.exact().and_then(|it| usize::try_from(it).ok());
    let mut buffer = Buffer::new(grant, announced.unwrap_or(max_bytes).min(max_bytes));
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Truncated)?.into_data() else { continue };
        on_data(data.len());
        buffer.push(&data)?;
    }
    Ok(buffer.into_body())
}
