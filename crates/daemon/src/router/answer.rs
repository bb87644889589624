//! Bodies of responses to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use super::broken::Broken;
use super::relay::Relay;

/// A response's body.
#[derive(Debug)]
pub(crate) enum Answer {
    /// Written by the router itself.
    Whole(Full<Bytes>),
    /// Passed on from a server as it comes.
    Relay(Relay),
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
            Self::Relay(relay) => relay.poll_next(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(whole) => whole.is_end_stream(),
            Self::Relay(relay) => relay.is_end(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(whole) => whole.size_hint(),
            Self::Relay(relay) => relay.size_hint(),
        }
    }
}

fn never(never: Infallible) -> Broken {
    match never {}
}
