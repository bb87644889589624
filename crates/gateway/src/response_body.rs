//! Response bodies sent to callers.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use displaydoc::Display;
use hyper::body::{Body, Frame, SizeHint};

use crate::buffers::{Chunk, Inlet};

/// A response body.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// Complete in memory; `None` once it has been sent, or if it is empty.
    Full(Option<Chunk>),
    /// Relayed in chunks as they arrive from a server.
    Stream(Inlet),
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
        Self::chunk(Chunk::new(bytes, None))
    }

    /// Creates a body of a single chunk.
    pub(crate) fn chunk(chunk: Chunk) -> Self {
        Self::Full(chunk.has_remaining().then_some(chunk))
    }
}

impl Body for ResponseBody {
    type Data = Chunk;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Chunk>, BodyError>>> {
        match self.get_mut() {
            Self::Full(chunk) => Poll::Ready(chunk.take().map(|chunk| Ok(Frame::data(chunk)))),
            Self::Stream(chunks) => {
                let chunk = ready!(chunks.poll_recv(cx));
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(chunk) => chunk.is_none(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(chunk) => {
                let remaining = chunk.as_ref().map_or(0, Chunk::remaining);
                SizeHint::with_exact(u64::try_from(remaining).unwrap_or(u64::MAX))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
