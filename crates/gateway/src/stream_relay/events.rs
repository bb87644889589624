//! Events received from a server.

use bytes::Bytes;
use mulberryyoke_wire::sse::{self, EventBuffer};

/// Maximum number of bytes without an event, such as comments. Twice the size of an event.
const MAX_EVENTLESS_BYTES: usize = 256 << 10;

/// Events received from a server.
#[derive(Debug, Default)]
pub(super) struct Events {
    buffer: EventBuffer,
    /// Number of bytes received since the last event.
    eventless_bytes: usize,
    /// Whether the last event has no ID.
    is_unnumbered: bool,
}

impl Events {
    /// Appends data and returns the part of the stream that it completes; `None` if the server sends
    /// bytes that are no events.
    pub(super) fn push(&mut self, data: Bytes) -> Option<Bytes> {
        self.eventless_bytes += data.len();
        if self.eventless_bytes > MAX_EVENTLESS_BYTES {
            return None;
        }
        self.buffer.push_whole(data)
    }

    /// Records a completed part that contains an event.
    pub(super) fn record(&mut self, events: &[u8]) {
        self.eventless_bytes = 0;
        self.is_unnumbered = sse::ends_without_id(events);
    }

    /// Whether another server can go on after the last event.
    pub(super) const fn are_resumable(&self) -> bool {
        !self.is_unnumbered
    }

    /// Whether there is no data after the last complete event.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}
