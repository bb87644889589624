//! Bodies of answers to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// An answer's body.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// Known as a whole.
    Full(Full<Bytes>),
    /// Passed on as it comes from a server.
    Stream(mpsc::Receiver<Result<Bytes, BodyError>>),
}

/// Why an answer is not whole.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// answer broke off
    Truncated,
    /// answer took longer than its route allows
    TimedOut,
    /// router is stopping
    Stopping,
}

impl std::error::Error for BodyError {}

impl ResponseBody {
    /// A body known as a whole.
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
            Self::Full(whole) => {
                let frame = ready!(Pin::new(whole).poll_frame(cx));
                Poll::Ready(frame.map(|frame| frame.map_err(never)))
            }
            Self::Stream(pieces) => {
                let piece = ready!(pieces.poll_recv(cx));
                Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(whole) => whole.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(whole) => whole.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

fn never(never: Infallible) -> BodyError {
    match never {}
}
