//! Relays a server's response body to the caller.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::body_error::BodyError;
use super::in_flight::{End, InFlight};
use super::stall_monitor::MonitoredBody;
use crate::clock;

/// Last event of a model's event stream. Callers may disconnect after it without
/// reading the end of the body.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// Length of the frame suffix searched for [`DONE_EVENT`], in bytes.
const TAIL_BYTES: usize = 32;

/// Body that relays a server's response with backpressure. A truncated response
/// ends with an error, which aborts the caller's connection or stream.
#[derive(Debug)]
pub(crate) struct Relay {
    body: Arc<MonitoredBody>,
    in_flight: Option<InFlight>,
    /// Remaining bytes, if the server declared a length.
    remaining_bytes: Option<u64>,
    /// Whether the last frame ended an event stream.
    is_stream_done: bool,
}

impl Relay {
    pub(crate) fn new(body: Arc<MonitoredBody>, in_flight: InFlight) -> Self {
        let remaining_bytes = body
            .with_incoming(|body| body.size_hint().exact())
            .flatten();
        Self {
            body,
            in_flight: Some(in_flight),
            remaining_bytes,
            is_stream_done: false,
        }
    }

    pub(super) fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.body.record_polled();
        let polled = self
            .body
            .with_incoming(|body| Pin::new(body).poll_frame(cx));
        let Some(polled) = polled else {
            self.finish(&End::CallerClosed);
            return Poll::Ready(Some(Err(BodyError::CallerStalled)));
        };
        let frame = ready!(polled);
        match &frame {
            Some(Ok(frame)) => {
                self.count_bytes(frame);
                self.is_stream_done = frame.data_ref().is_some_and(|data| ends_stream(data));
                self.body.record_forwarded(clock::now());
            }
            Some(Err(error)) => self.finish(&End::Truncated(error.to_string())),
            None => self.finish(&End::Complete),
        }
        Poll::Ready(frame.map(|frame| frame.map_err(BodyError::Truncated)))
    }

    pub(super) fn is_end_stream(&self) -> bool {
        self.body
            .with_incoming(|body| body.is_end_stream())
            .unwrap_or(false)
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        self.body
            .with_incoming(|body| body.size_hint())
            .unwrap_or_default()
    }

    fn count_bytes(&mut self, frame: &Frame<Bytes>) {
        let length = frame.data_ref().map_or(0, Bytes::len) as u64;
        self.remaining_bytes = self
            .remaining_bytes
            .map(|remaining| remaining.saturating_sub(length));
    }

    fn finish(&mut self, end: &End) {
        if let Some(in_flight) = self.in_flight.take() {
            in_flight.finish(end);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // hyper stops polling once the declared length has been written.
        let end = if self.is_stream_done || self.is_end_stream() || self.remaining_bytes == Some(0)
        {
            End::Complete
        } else {
            End::CallerClosed
        };
        self.finish(&end);
    }
}

fn ends_stream(data: &[u8]) -> bool {
    let tail = &data[data.len().saturating_sub(TAIL_BYTES)..];
    tail.windows(DONE_EVENT.len())
        .any(|window| window == DONE_EVENT)
}
