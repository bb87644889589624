//! Counting the tokens of an answer.

use bytes::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::http::response::Parts;
use mulberryyoke_model::{Kind, Ticket};

use super::chunk::{self, Meaning};
use mulberryyoke_wire::sse::{self, EventBuffer};

/// Largest whole answer that is read for its token count, in bytes.
const MAX_WHOLE: usize = 1 << 20;

/// Counts the tokens of one answer.
#[derive(Debug)]
pub(crate) enum Meter {
    /// Server-sent events of a model: one token for each event with content,
    /// unless the engine tells the count.
    Stream(Stream),
    /// A whole answer of a model: the engine tells the count at the end.
    Whole { text: Vec<u8>, estimate: u64 },
    /// A fixed cost.
    Fixed(u64),
}

/// What is known of an event stream.
#[derive(Debug, Default)]
pub(crate) struct Stream {
    events: EventBuffer,
    /// Events passed on.
    passed: u64,
    /// Tokens counted.
    counted: u64,
    /// Tokens as the engine tells.
    told: Option<u64>,
    done: bool,
}

impl Meter {
    pub(crate) fn open(kind: Kind, ticket: &Ticket, parts: &Parts) -> Self {
        let estimate = u64::from(ticket.cost.max(1));
        match kind {
            Kind::Service => Self::Fixed(estimate),
            Kind::Model if !parts.status.is_success() => Self::Fixed(0),
            Kind::Model if is_events(parts) => Self::Stream(Stream::default()),
            Kind::Model => Self::Whole {
                text: Vec::new(),
                estimate,
            },
        }
    }

    /// Reads a part of the answer. Returns what to pass on and the tokens in it.
    pub(crate) fn read(&mut self, data: Bytes) -> (Bytes, u64) {
        match self {
            Self::Stream(stream) => {
                let ready = stream.events.push(data);
                let tokens = stream.count(&ready);
                (ready, tokens)
            }
            Self::Whole { text, .. } => {
                if text.len() + data.len() <= MAX_WHOLE {
                    text.extend_from_slice(&data);
                }
                (data, 0)
            }
            Self::Fixed(_) => (data, 0),
        }
    }

    /// The backend has ended its answer. Returns what is left to pass on and the
    /// tokens not counted before.
    pub(crate) fn finish(&mut self) -> (Bytes, u64) {
        match self {
            Self::Stream(stream) => stream.finish(),
            Self::Whole { text, estimate } => {
                let tokens = chunk::completion_tokens(text).unwrap_or(*estimate);
                (Bytes::new(), tokens)
            }
            Self::Fixed(tokens) => (Bytes::new(), *tokens),
        }
    }

    /// Whether the last event has come.
    pub(crate) const fn is_done(&self) -> bool {
        matches!(self, Self::Stream(Stream { done: true, .. }))
    }

    /// Whether an answer that has ended is whole.
    pub(crate) const fn is_whole(&self) -> bool {
        match self {
            Self::Stream(stream) => stream.done,
            Self::Whole { .. } | Self::Fixed(_) => true,
        }
    }

    /// The number of events to resume after, if the answer can be resumed.
    pub(crate) fn resume_after(&mut self) -> Option<u64> {
        let Self::Stream(stream) = self else {
            return None;
        };
        stream.events.discard_partial();
        (!stream.events.is_split() && !stream.done).then_some(stream.passed)
    }
}

impl Stream {
    fn count(&mut self, events: &[u8]) -> u64 {
        let before = self.counted;
        for data in sse::data(events) {
            self.passed += 1;
            match chunk::meaning(data) {
                Meaning::Content => self.counted += 1,
                Meaning::Usage(tokens) => self.told = Some(tokens),
                Meaning::Done => self.done = true,
                Meaning::Other => {}
            }
        }
        self.counted - before
    }

    fn finish(&mut self) -> (Bytes, u64) {
        let rest = self.events.flush();
        let tokens = self.count(&rest);
        let told = self.told.unwrap_or(self.counted);
        (rest, tokens + told.saturating_sub(self.counted))
    }
}

fn is_events(parts: &Parts) -> bool {
    let kind = parts.headers.get(CONTENT_TYPE);
    kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}
