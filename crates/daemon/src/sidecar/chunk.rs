//! The parts of a model's answer that tell its cost.

use serde::Deserialize;

/// What one event of a model's answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Meaning {
    /// It has a token.
    Content,
    /// The engine tells the tokens of the whole answer.
    Usage(u64),
    /// The answer is whole.
    Done,
    /// Neither.
    Other,
}

/// Reads an event's data. One that cannot be read counts as a token.
pub(crate) fn meaning(data: &[u8]) -> Meaning {
    if data == b"[DONE]" {
        return Meaning::Done;
    }
    let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else {
        return Meaning::Content;
    };
    if let Some(usage) = chunk.usage {
        return Meaning::Usage(usage.completion_tokens);
    }
    if chunk.choices.iter().any(Choice::has_content) {
        return Meaning::Content;
    }
    Meaning::Other
}

/// The tokens that a whole answer tells.
pub(crate) fn completion_tokens(answer: &[u8]) -> Option<u64> {
    let answer: Chunk = serde_json::from_slice(answer).ok()?;
    Some(answer.usage?.completion_tokens)
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
