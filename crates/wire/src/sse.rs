//! Events of an event stream.

use bytes::{Bytes, BytesMut};

/// Longest event kept until its end has come, in bytes.
const MAX_EVENT: usize = 64 << 10;

/// Cuts a stream at the ends of its events, so that what was passed on is always
/// a number of whole events and the stream can be resumed there.
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: BytesMut,
    split: bool,
}

impl EventBuffer {
    /// Reads a part of the stream. Returns the whole events that end in it.
    #[must_use]
    pub fn push(&mut self, data: Bytes) -> Bytes {
        if self.partial.is_empty() && data.ends_with(b"\n\n") {
            return data;
        }
        self.partial.extend_from_slice(&data);
        if let Some(end) = last_end(&self.partial) {
            return self.partial.split_to(end).freeze();
        }
        if self.partial.len() <= MAX_EVENT {
            return Bytes::new();
        }
        self.split = true;
        self.flush()
    }

    /// Returns what came after the last whole event.
    #[must_use]
    pub fn flush(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Drops what came after the last whole event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Whether part of an event was passed on before its end had come.
    #[must_use]
    pub const fn is_split(&self) -> bool {
        self.split
    }
}

/// Where the last whole event ends: after an empty line.
fn last_end(text: &[u8]) -> Option<usize> {
    (1..=text.len()).rev().find(|end| {
        let head = &text[..*end];
        head.ends_with(b"\n\n") || head.ends_with(b"\n\r\n")
    })
}

/// The data of each event in a part of a stream.
pub fn data(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = events.split(|byte| *byte == b'\n');
    let data = lines.filter_map(|line| line.strip_prefix(b"data:"));
    data.map(<[u8]>::trim_ascii)
}

/// The number of the last event in a part of a stream, if its `id` is one.
#[must_use]
pub fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?.trim_ascii()).ok()?;
    id.parse().ok()
}
