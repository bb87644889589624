//! Connections with a write timeout, which may be reset rather than closed.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// A connection that fails with `TimedOut` if a write stays pending
/// beyond the timeout.
#[derive(Debug)]
pub(crate) struct TimeoutStream {
    stream: TcpStream,
    timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    /// Whether the connection is to be reset rather than closed.
    is_reset: Arc<AtomicBool>,
}

impl Drop for TimeoutStream {
    fn drop(&mut self) {
        if self.is_reset.load(Ordering::Relaxed) {
            // Fails only if the connection is closed already.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl TimeoutStream {
    /// Wraps `stream`, whose writes may then be pending for at most `timeout`. `is_reset` tells, when
    /// it is dropped, whether the connection is to be reset.
    pub(crate) const fn new(
        stream: TcpStream,
        timeout: Duration,
        is_reset: Arc<AtomicBool>,
    ) -> Self {
        Self {
            stream,
            timeout,
            timer: None,
            is_reset,
        }
    }

    fn apply_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.timer = None;
            return polled;
        }
        let timeout = self.timeout;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(timeout)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for TimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for TimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, data);
        self.apply_timeout(cx, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, data);
        self.apply_timeout(cx, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
