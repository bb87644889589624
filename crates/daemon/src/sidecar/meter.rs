//! Token count of a response.

use bytes::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::http::response::Parts;
use mulberryyoke_model::{Kind, Ticket};

use super::chunk::{self, ChunkKind};
use mulberryyoke_wire::sse::{self, EventBuffer};

/// Maximum size of a buffered response that is parsed for its token count, in
/// bytes.
const MAX_BUFFERED: usize = 1 << 20;

/// Counts the tokens of one response.
#[derive(Debug)]
pub(crate) enum Meter {
    /// Server-sent events of a model: one token per event with content, unless the
    /// engine reports its count.
    Stream(Stream),
    /// A model's response that is not streamed; the engine reports the count in it.
    Buffered { body: Vec<u8>, estimate: u64 },
    /// A fixed cost.
    Fixed(u64),
}

/// State of an event stream.
#[derive(Debug, Default)]
pub(crate) struct Stream {
    events: EventBuffer,
    /// Events forwarded.
    forwarded: u64,
    /// Tokens counted.
    counted: u64,
    /// Token count reported by the engine.
    reported: Option<u64>,
    done: bool,
}

impl Meter {
    pub(crate) fn new(kind: Kind, ticket: &Ticket, parts: &Parts) -> Self {
        let estimate = u64::from(ticket.cost.max(1));
        match kind {
            Kind::Service => Self::Fixed(estimate),
            Kind::Model if !parts.status.is_success() => Self::Fixed(0),
            Kind::Model if is_event_stream(parts) => Self::Stream(Stream::default()),
            Kind::Model => Self::Buffered {
                body: Vec::new(),
                estimate,
            },
        }
    }

    /// Reads a frame of the response. Returns the bytes to forward and their tokens.
    pub(crate) fn read(&mut self, data: Bytes) -> (Bytes, u64) {
        match self {
            Self::Stream(stream) => {
                let ready = stream.events.push(data);
                let tokens = stream.count(&ready);
                (ready, tokens)
            }
            Self::Buffered { body, .. } => {
                if body.len() + data.len() <= MAX_BUFFERED {
                    body.extend_from_slice(&data);
                }
                (data, 0)
            }
            Self::Fixed(_) => (data, 0),
        }
    }

    /// Handles the end of the response. Returns the bytes left to forward and the
    /// tokens not counted yet.
    pub(crate) fn finish(&mut self) -> (Bytes, u64) {
        match self {
            Self::Stream(stream) => stream.finish(),
            Self::Buffered { body, estimate } => {
                let tokens = chunk::completion_tokens(body).unwrap_or(*estimate);
                (Bytes::new(), tokens)
            }
            Self::Fixed(tokens) => (Bytes::new(), *tokens),
        }
    }

    /// Whether the last event was received.
    pub(crate) const fn is_done(&self) -> bool {
        matches!(self, Self::Stream(Stream { done: true, .. }))
    }

    /// Whether a response that has ended is complete.
    pub(crate) const fn is_complete(&self) -> bool {
        match self {
            Self::Stream(stream) => stream.done,
            Self::Buffered { .. } | Self::Fixed(_) => true,
        }
    }

    /// The number of events to resume after, if the response can be resumed.
    pub(crate) fn resume_after(&mut self) -> Option<u64> {
        let Self::Stream(stream) = self else {
            return None;
        };
        stream.events.discard_partial();
        (!stream.events.is_split() && !stream.done).then_some(stream.forwarded)
    }
}

impl Stream {
    fn count(&mut self, events: &[u8]) -> u64 {
        let before = self.counted;
        for data in sse::data(events) {
            self.forwarded += 1;
            match chunk::classify(data) {
                ChunkKind::Content => self.counted += 1,
                ChunkKind::Usage(tokens) => self.reported = Some(tokens),
                ChunkKind::Done => self.done = true,
                ChunkKind::Other => {}
            }
        }
        self.counted - before
    }

    fn finish(&mut self) -> (Bytes, u64) {
        let rest = self.events.flush();
        let tokens = self.count(&rest);
        let total = self.reported.unwrap_or(self.counted);
        (rest, tokens + total.saturating_sub(self.counted))
    }
}

fn is_event_stream(parts: &Parts) -> bool {
    let content_type = parts.headers.get(CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}
