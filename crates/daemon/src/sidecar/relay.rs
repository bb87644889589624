//! Body of an answer that another task reads from the backend.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

/// A piece of an answer.
#[derive(Debug)]
pub(crate) enum Piece {
    /// A frame.
    Frame(Frame<Bytes>),
    /// The answer is whole.
    End,
}

/// could not finish answer: it broke off
#[derive(Debug, displaydoc::Display)]
pub(crate) struct Cut;

impl std::error::Error for Cut {}

/// A body made of pieces. It fails when they stop before [`Piece::End`], so a
/// reader never takes a part for the whole.
pub(crate) fn body(pieces: mpsc::Receiver<Piece>) -> BoxBody<Bytes, Cut> {
    BoxBody::new(Relay {
        pieces,
        ended: false,
    })
}

struct Relay {
    pieces: mpsc::Receiver<Piece>,
    ended: bool,
}

impl Body for Relay {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let Poll::Ready(piece) = self.pieces.poll_recv(cx) else {
            return Poll::Pending;
        };
        match piece {
            Some(Piece::Frame(frame)) => Poll::Ready(Some(Ok(frame))),
            Some(Piece::End) => {
                self.ended = true;
                Poll::Ready(None)
            }
            None => {
                self.ended = true;
                Poll::Ready(Some(Err(Cut)))
            }
        }
    }
}
