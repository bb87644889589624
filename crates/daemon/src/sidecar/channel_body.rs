//! Response body fed through a channel by the task that reads the backend.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

/// Item of the channel.
#[derive(Debug)]
pub(crate) enum Message {
    /// A frame of the body.
    Frame(Frame<Bytes>),
    /// The body is complete.
    End,
}

/// response body ended before it was complete
#[derive(Debug, displaydoc::Display)]
pub(crate) struct Truncated;

impl std::error::Error for Truncated {}

/// A body of the received frames. It fails if the channel closes before
/// [`Message::End`], so that a truncated body is never taken for a complete one.
pub(crate) fn body(messages: mpsc::Receiver<Message>) -> BoxBody<Bytes, Truncated> {
    BoxBody::new(ChannelBody {
        messages,
        ended: false,
    })
}

struct ChannelBody {
    messages: mpsc::Receiver<Message>,
    ended: bool,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let Poll::Ready(message) = self.messages.poll_recv(cx) else {
            return Poll::Pending;
        };
        match message {
            Some(Message::Frame(frame)) => Poll::Ready(Some(Ok(frame))),
            Some(Message::End) => {
                self.ended = true;
                Poll::Ready(None)
            }
            None => {
                self.ended = true;
                Poll::Ready(Some(Err(Truncated)))
            }
        }
    }
}
