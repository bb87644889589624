//! Counting the tokens of an answer.

use hyper::header::CONTENT_TYPE;
use hyper::http::response::Parts;
use mulberryyoke_model::{Kind, Ticket};
use serde::Deserialize;

use super::sse::Lines;

/// Largest whole answer that is read for its token count, in bytes.
const MAX_WHOLE: usize = 1 << 20;

/// Counts the tokens of one answer.
#[derive(Debug)]
pub(crate) enum Meter {
    /// Server-sent events of a model: one token for each event with content,
    /// unless the engine tells the count.
    Events {
        lines: Lines,
        counted: u64,
        told: Option<u64>,
        done: bool,
    },
    /// A whole answer of a model: the engine tells the count at the end.
    Whole { text: Vec<u8>, estimate: u64 },
    /// A fixed cost.
    Fixed(u64),
}

impl Meter {
    pub(crate) fn open(kind: Kind, ticket: &Ticket, parts: &Parts) -> Self {
        let estimate = u64::from(ticket.cost.max(1));
        match kind {
            Kind::Service => Self::Fixed(estimate),
            Kind::Model if !parts.status.is_success() => Self::Fixed(0),
            Kind::Model if is_events(parts) => Self::Events {
                lines: Lines::default(),
                counted: 0,
                told: None,
                done: false,
            },
            Kind::Model => Self::Whole {
                text: Vec::new(),
                estimate,
            },
        }
    }

    /// Reads a part of the answer. Returns the tokens in it.
    pub(crate) fn read(&mut self, data: &[u8]) -> u64 {
        match self {
            Self::Events {
                lines,
                counted,
                told,
                done,
            } => {
                let before = *counted;
                lines.read(data, |line| match Event::parse(line) {
                    Event::Content => *counted += 1,
                    Event::Usage(tokens) => *told = Some(tokens),
                    Event::Done => *done = true,
                    Event::Other => {}
                });
                *counted - before
            }
            Self::Whole { text, .. } => {
                if text.len() + data.len() <= MAX_WHOLE {
                    text.extend_from_slice(data);
                }
                0
            }
            Self::Fixed(_) => 0,
        }
    }

    /// Tokens not counted before the end.
    pub(crate) fn finish(&self) -> u64 {
        match self {
            Self::Events { counted, told, .. } => {
                told.map_or(0, |told| told.saturating_sub(*counted))
            }
            Self::Whole { text, estimate } => completion_tokens(text).unwrap_or(*estimate),
            Self::Fixed(tokens) => *tokens,
        }
    }

    /// Whether an answer that ends here is whole.
    pub(crate) const fn is_whole(&self) -> bool {
        match self {
            Self::Events { done, .. } => *done,
            Self::Whole { .. } | Self::Fixed(_) => true,
        }
    }
}

fn is_events(parts: &Parts) -> bool {
    let kind = parts.headers.get(CONTENT_TYPE);
    kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

fn completion_tokens(text: &[u8]) -> Option<u64> {
    let answer: Chunk = serde_json::from_slice(text).ok()?;
    Some(answer.usage?.completion_tokens)
}

/// What one line of an event stream means.
enum Event {
    Content,
    Usage(u64),
    Done,
    Other,
}

impl Event {
    fn parse(line: &[u8]) -> Self {
        let Some(data) = line.strip_prefix(b"data:") else {
            return Self::Other;
        };
        let data = data.trim_ascii();
        if data == b"[DONE]" {
            return Self::Done;
        }
        match serde_json::from_slice::<Chunk>(data) {
            Ok(Chunk {
                usage: Some(usage), ..
            }) => Self::Usage(usage.completion_tokens),
            Ok(chunk) if chunk.choices.iter().any(Choice::has_content) => Self::Content,
            Ok(_) => Self::Other,
            // An event that is too long or of another form counts as one token.
            Err(_) => Self::Content,
        }
    }
}

#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Option<Delta>,
    #[serde(default)]
    text: Option<String>,
}

impl Choice {
    fn has_content(&self) -> bool {
        let delta = self.delta.as_ref().and_then(|delta| delta.content.as_ref());
        let mut texts = delta.into_iter().chain(&self.text);
        texts.any(|text| !text.is_empty())
    }
}

#[derive(Debug, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Usage {
    completion_tokens: u64,
}
