//! Byte counters for control connections.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes read and written, shared by several connections.
#[derive(Debug, Default)]
pub struct ByteCounter {
    read: AtomicU64,
    written: AtomicU64,
}

impl ByteCounter {
    /// Bytes read so far.
    pub fn read(&self) -> u64 {
        self.read.load(Ordering::Relaxed)
    }

    /// Bytes written so far.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }
}

/// A stream that counts the bytes read and written.
#[derive(Debug)]
pub struct CountingStream<S> {
    stream: S,
    bytes: Arc<ByteCounter>,
}

impl<S> CountingStream<S> {
    /// Wraps `stream`, counting its traffic in `bytes`.
    pub fn new(stream: S, bytes: Arc<ByteCounter>) -> Self {
        Self { stream, bytes }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let count = buf.filled().len() - before;
        self.bytes.read.fetch_add(count as u64, Ordering::Relaxed);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, data);
        if let Poll::Ready(Ok(count)) = result {
            self.bytes
                .written
                .fetch_add(count as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
