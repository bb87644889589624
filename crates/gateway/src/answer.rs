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
pub(crate) enum Answer {
    /// Known as a whole.
    Whole(Full<Bytes>),
    /// Passed on as it comes from a server.
    Pieces(mpsc::Receiver<Result<Bytes, Broken>>),
}

/// Why an answer is not whole.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Broken {
    /// answer broke off
    Server,
    /// answer took longer than its route allows
    Late,
    /// router is stopping
    Stopping,
}

impl std::error::Error for Broken {}

impl Answer {
    /// A body known as a whole.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self::Whole(Full::new(bytes))
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Whole(whole) => {
                let frame = ready!(Pin::new(whole).poll_frame(cx));
                Poll::Ready(frame.map(|frame| frame.map_err(never)))
            }
            Self::Pieces(pieces) => {
                let piece = ready!(pieces.poll_recv(cx));
                Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(whole) => whole.is_end_stream(),
            Self::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(whole) => whole.size_hint(),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}

fn never(never: Infallible) -> Broken {
    match never {}
}
