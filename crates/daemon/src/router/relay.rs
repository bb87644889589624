//! Passing a server's answer on to its caller.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::broken::Broken;
use super::running::{End, Running};
use super::stalls::Flow;
use crate::clock;

/// End of a stream of events of a model. Callers that have read it need not
/// wait for the end of the body.
const DONE: &[u8] = b"data: [DONE]";

/// Bytes at the end of a piece in which [`DONE`] is looked for.
const TAIL_BYTES: usize = 32;

/// A server's answer on its way to the caller. A frame is asked of the server
/// only when the caller's connection has room for it. An answer that is not
/// whole ends with an error, so that the caller's connection is broken off.
#[derive(Debug)]
pub(crate) struct Relay {
    flow: Arc<Flow>,
    running: Option<Running>,
    /// Bytes still due, when the server told the length.
    due: Option<u64>,
    /// Whether the last piece ended a stream of events.
    done: bool,
}

impl Relay {
    /// Passes on the answer to a request that runs.
    pub(crate) fn new(flow: Arc<Flow>, running: Running) -> Self {
        let due = flow.with(|body| body.size_hint().exact()).flatten();
        Self {
            flow,
            running: Some(running),
            due,
            done: false,
        }
    }

    pub(super) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        self.flow.asked();
        let polled = self.flow.with(|body| Pin::new(body).poll_frame(cx));
        let Some(polled) = polled else {
            self.finish(&End::HungUp);
            return Poll::Ready(Some(Err(Broken::Unread)));
        };
        let frame = ready!(polled);
        match &frame {
            Some(Ok(piece)) => {
                self.count(piece);
                self.done = piece.data_ref().is_some_and(|data| ends_stream(data));
                self.flow.handed(clock::now());
            }
            Some(Err(error)) => self.finish(&End::Cut(error.to_string())),
            None => self.finish(&End::Whole),
        }
        Poll::Ready(frame.map(|frame| frame.map_err(Broken::Server)))
    }

    pub(super) fn is_end(&self) -> bool {
        self.flow.with(|body| body.is_end_stream()).unwrap_or(false)
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        self.flow.with(|body| body.size_hint()).unwrap_or_default()
    }

    fn count(&mut self, frame: &Frame<Bytes>) {
        let length = frame.data_ref().map_or(0, Bytes::len) as u64;
        self.due = self.due.map(|due| due.saturating_sub(length));
    }

    fn finish(&mut self, end: &End) {
        if let Some(running) = self.running.take() {
            running.finish(end);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // A connection stops asking once it has passed on the length it told.
        let end = if self.done || self.is_end() || self.due == Some(0) {
            End::Whole
        } else {
            End::HungUp
        };
        self.finish(&end);
    }
}

fn ends_stream(piece: &[u8]) -> bool {
    let tail = &piece[piece.len().saturating_sub(TAIL_BYTES)..];
    tail.windows(DONE.len()).any(|window| window == DONE)
}
