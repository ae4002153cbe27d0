//! The body of a response to a client, which may be slow to read it.

use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame, SizeHint};
use mimosaledge_net::server::{Aborted, ReplyBody};
use mimosaledge_policy::byte_budget::Stage;

use crate::client_memory::ClientMemory;

/// Maximum number of bytes that the connection is given at once.
const PIECE_BYTES: usize = 16 << 10;

/// A response's body; records whether its client reads it.
///
/// The connection gets copies of pieces, so that a client that leaves the last piece unread does
/// not keep the whole body in memory.
pub(crate) struct ClientBody {
    body: ReplyBody,
    /// What the connection has not been given yet.
    pending: Bytes,
    client: Rc<ClientMemory>,
}

impl ClientBody {
    pub(crate) fn new(body: ReplyBody, client: Rc<ClientMemory>) -> ClientBody {
        ClientBody { body, pending: Bytes::new(), client }
    }

    fn next_piece(&mut self) -> Bytes {
        let length = self.pending.len().min(PIECE_BYTES);
        let piece = Bytes::copy_from_slice(&self.pending[..length]);
        self.pending.advance(length);
        piece
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        // The connection asks for more only once the client has read enough.
        self.client.set_stage(Stage::Working);
        if self.pending.is_empty() {
            let frame = match self.body.as_mut().poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => frame,
                other => return other,
            };
            match frame.into_data() {
                Ok(data) if data.len() > PIECE_BYTES => self.pending = data,
                Ok(data) => {
                    self.client.set_stage(Stage::Sending);
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
                Err(frame) => return Poll::Ready(Some(Ok(frame))),
            }
        }
        let piece = self.next_piece();
        self.client.set_stage(Stage::Sending);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.pending.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let mut size = self.body.size_hint();
        let pending = self.pending.len() as u64;
        if let Some(upper) = size.upper() {
            size.set_upper(upper + pending);
        }
        size.set_lower(size.lower() + pending);
        size
    }
}

impl Drop for ClientBody {
    fn drop(&mut self) {
        self.client.set_workspace(None);
        self.client.set_stage(Stage::Waiting);
    }
}
