//! A TCP stream that is read in short parts.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};
use tokio::net::TcpStream;

/// Maximum number of bytes of a read. Hyper enlarges the read buffer of a connection when a read
/// fills it, which begins with 8,192 bytes, and keeps the larger one while a response runs.
const MAX_READ_BYTES: u64 = 8_191;

/// A TCP stream that is read in short parts.
#[derive(Debug)]
pub(crate) struct ShortRead {
    stream: Take<TcpStream>,
    /// Whether the connection is to be reset rather than closed.
    is_reset: Arc<AtomicBool>,
}

impl Drop for ShortRead {
    fn drop(&mut self) {
        if self.is_reset.load(Ordering::Relaxed) {
            // Fails only if the connection is closed already.
            let _ = self.stream.get_ref().set_zero_linger();
        }
    }
}

impl ShortRead {
    /// `is_reset` tells, when the stream is dropped, whether the connection is to be reset.
    pub(crate) fn new(stream: TcpStream, is_reset: Arc<AtomicBool>) -> Self {
        Self {
            stream: stream.take(MAX_READ_BYTES),
            is_reset,
        }
    }

    fn inner(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(self.get_mut().stream.get_mut())
    }
}

impl AsyncRead for ShortRead {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = &mut self.get_mut().stream;
        stream.set_limit(MAX_READ_BYTES);
        Pin::new(stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for ShortRead {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.inner().poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.inner().poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner().poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner().poll_shutdown(cx)
    }
}
