//! Passing a server's answer on to its caller.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::answer::Broken;
use super::running::{End, Running};

/// A server's answer on its way to the caller. A frame is asked of the server
/// only when the caller's connection has room for it. An answer that is not
/// whole ends with an error, so that the caller's connection is broken off.
#[derive(Debug)]
pub(crate) struct Relay {
    body: Incoming,
    running: Option<Running>,
}

impl Relay {
    /// Passes on `body`, the answer to a request that runs.
    pub(crate) fn new(body: Incoming, running: Running) -> Self {
        Self {
            body,
            running: Some(running),
        }
    }

    pub(super) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            Some(Ok(_)) => {}
            Some(Err(error)) => self.finish(&End::Cut(error.to_string())),
            None => self.finish(&End::Whole),
        }
        Poll::Ready(frame.map(|frame| frame.map_err(Broken)))
    }

    pub(super) fn is_end(&self) -> bool {
        self.body.is_end_stream()
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    fn finish(&mut self, end: &End) {
        if let Some(running) = self.running.take() {
            running.finish(end);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let end = if self.body.is_end_stream() {
            End::Whole
        } else {
            End::HungUp
        };
        self.finish(&end);
    }
}
