//! Token counts in the responses of model servers.

use serde::Deserialize;

/// Kind of one event in a streamed response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChunkKind {
    /// Content; counted as one token.
    Content,
    /// The engine's token count of the complete response.
    Usage(u64),
    /// End of the stream.
    Done,
    /// Any other event.
    Other,
}

/// Classifies an event by its data. Data that cannot be parsed counts as content.
pub(crate) fn classify(data: &[u8]) -> ChunkKind {
    if data == b"[DONE]" {
        return ChunkKind::Done;
    }
    let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else {
        return ChunkKind::Content;
    };
    if let Some(usage) = chunk.usage {
        return ChunkKind::Usage(usage.completion_tokens);
    }
    if chunk.choices.iter().any(Choice::has_content) {
        return ChunkKind::Content;
    }
    ChunkKind::Other
}

/// The token count in a response that is not streamed.
pub(crate) fn completion_tokens(body: &[u8]) -> Option<u64> {
    let response: Chunk = serde_json::from_slice(body).ok()?;
    Some(response.usage?.completion_tokens)
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
