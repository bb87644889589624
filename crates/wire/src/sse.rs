//! Event boundaries in server-sent event streams.

use bytes::{Bytes, BytesMut};

/// Maximum size of a buffered event; longer ones are passed on in parts.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Maximum size of an event that is passed on whole or not at all.
const MAX_WHOLE_EVENT_BYTES: usize = 128 << 10;

/// Splits a stream at event boundaries, so that the output consists of complete events
/// and the stream can be resumed after any of them.
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: BytesMut,
    split: bool,
}

impl EventBuffer {
    /// Appends a chunk of the stream and returns the events that it completes.
    #[must_use]
    pub fn push(&mut self, data: Bytes) -> Bytes {
        let events = self.append(data);
        if !events.is_empty() || self.partial.len() <= MAX_EVENT_BYTES {
            return events;
        }
        self.split = true;
        self.flush()
    }

    /// Like [`EventBuffer::push`], but passes no event on in parts. Returns `None` if an event
    /// exceeds the maximum size.
    #[must_use]
    pub fn push_whole(&mut self, data: Bytes) -> Option<Bytes> {
        let events = self.append(data);
        (self.partial.len() <= MAX_WHOLE_EVENT_BYTES).then_some(events)
    }

    fn append(&mut self, data: Bytes) -> Bytes {
        if self.partial.is_empty() && data.ends_with(b"\n\n") {
            return data;
        }
        let searched = self.partial.len();
        self.partial.extend_from_slice(&data);
        let Some(end) = last_end(&self.partial, searched) else {
            return Bytes::new();
        };
        self.partial.split_to(end).freeze()
    }

    /// Takes the data after the last complete event.
    #[must_use]
    pub fn flush(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Whether there is no data after the last complete event.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.partial.is_empty()
    }

    /// Discards the data after the last complete event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Whether an oversized event was passed on in parts.
    #[must_use]
    pub const fn is_split(&self) -> bool {
        self.split
    }
}

/// End of the last complete event, which an empty line terminates. The first `searched` bytes
/// contain none.
fn last_end(text: &[u8], searched: usize) -> Option<usize> {
    (searched + 1..=text.len()).rev().find(|end| {
        let head = &text[..*end];
        head.ends_with(b"\n\n") || head.ends_with(b"\n\r\n")
    })
}

/// Whether a chunk of a stream contains an event: a `data` or an `id` field.
#[must_use]
pub fn has_event(events: &[u8]) -> bool {
    let mut lines = events.split(|byte| *byte == b'\n');
    lines.any(|line| line.starts_with(b"data:") || line.starts_with(b"id:"))
}

/// Whether the last event in a chunk of a stream has data and no ID of its own, so that the stream
/// can't be resumed after it.
#[must_use]
pub fn ends_without_id(events: &[u8]) -> bool {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut has_data = false;
    for line in lines {
        let is_end = matches!(line, b"" | b"\r");
        if is_end && has_data {
            return true;
        }
        if line.starts_with(b"id:") {
            return false;
        }
        has_data |= line.starts_with(b"data:");
    }
    has_data
}

/// Values of the `data` fields in a chunk of a stream.
pub fn data(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = events.split(|byte| *byte == b'\n');
    let data = lines.filter_map(|line| line.strip_prefix(b"data:"));
    data.map(<[u8]>::trim_ascii)
}

/// The last `id` field in a chunk of a stream, if it is a number.
#[must_use]
pub fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?.trim_ascii()).ok()?;
    id.parse().ok()
}
