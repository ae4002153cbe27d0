//! Byte counters for control traffic.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Counts the bytes sent and received on all connections that it wraps; clones
/// share the counters.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    counts: Rc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    sent: Cell<u64>,
    received: Cell<u64>,
}

impl Meter {
    /// Returns the number of bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.counts.sent.get()
    }

    /// Returns the number of bytes received so far.
    pub fn received(&self) -> u64 {
        self.counts.received.get()
    }

    /// Wraps a connection so that its bytes are counted.
    pub fn wrap<T>(&self, inner: T) -> Metered<T> {
        Metered { inner, meter: self.clone() }
    }

    fn add_sent(&self, bytes: usize) {
        self.counts.sent.set(self.counts.sent.get() + bytes as u64);
    }

    fn add_received(&self, bytes: usize) {
        self.counts.received.set(self.counts.received.get() + bytes as u64);
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub struct Metered<T> {
    inner: T,
    meter: Meter,
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        self.meter.add_received(buf.filled().len() - filled_before);
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = polled {
            self.meter.add_sent(bytes);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
