//! Response bodies sent to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// A response body.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// Complete in memory.
    Full(Full<Bytes>),
    /// Relayed in chunks as they arrive from a server.
    Stream(mpsc::Receiver<Result<Bytes, BodyError>>),
}

/// Why a response body is incomplete.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// response truncated
    Truncated,
    /// request deadline exceeded
    TimedOut,
    /// gateway is shutting down
    Stopping,
}

impl std::error::Error for BodyError {}

impl ResponseBody {
    /// Creates a body that is complete in memory.
    pub(crate) fn full(bytes: Bytes) -> Self {
        Self::Full(Full::new(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Full(body) => {
                let frame = ready!(Pin::new(body).poll_frame(cx));
                Poll::Ready(frame.map(|frame| frame.map_err(never)))
            }
            Self::Stream(chunks) => {
                let chunk = ready!(chunks.poll_recv(cx));
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(body) => body.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(body) => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

fn never(never: Infallible) -> BodyError {
    match never {}
}
