//! Bodies of answers to peers.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use mulberryyoke_wire::relay::Batch;

use crate::mirror::Message;

/// Body of an answer whose chunks are shared with the copy of the contents.
#[derive(Debug)]
pub(crate) struct RelayBody {
    /// The first chunk, which tells when the message was complete.
    head: Option<Bytes>,
    message: Arc<Message>,
    /// Number of chunks of the message that were sent.
    sent: usize,
}

impl RelayBody {
    pub(crate) fn new(known_ms: i64, message: Arc<Message>) -> Self {
        Self {
            head: Some(Batch::encode_known_ms(known_ms)),
            message,
            sent: 0,
        }
    }

    fn left(&self) -> impl Iterator<Item = &Bytes> {
        let chunks = self.message.chunks().iter().skip(self.sent);
        self.head.iter().chain(chunks)
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let body = self.get_mut();
        if let Some(head) = body.head.take() {
            return Poll::Ready(Some(Ok(Frame::data(head))));
        }
        let chunk = body.message.chunks().get(body.sent).cloned();
        body.sent += 1;
        Poll::Ready(chunk.map(|chunk| Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.left().next().is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let bytes: usize = self.left().map(Bytes::len).sum();
        SizeHint::with_exact(bytes as u64)
    }
}
