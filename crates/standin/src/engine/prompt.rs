//! Completion requests and their responses.

use std::hash::{DefaultHasher, Hash, Hasher};

use serde_json::{Value, json};

/// Minimum tokens of a response whose length the request does not set.
const MIN_TOKENS: u64 = 8;
/// Number of different lengths of such responses.
const TOKEN_RANGE: u64 = 24;

/// Endpoint of the API, which determines the format of responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Api {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Completions,
}

/// A parsed completion request.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    pub(crate) api: Api,
    pub(crate) model: String,
    pub(crate) text: String,
    /// ID of the request, contained in every token.
    pub(crate) op: String,
    /// Tokens of the response.
    pub(crate) tokens: u32,
    pub(crate) is_streamed: bool,
}

impl Prompt {
    /// Parses a request body. The extension fields `standin.tokens` and `standin.op` set the
    /// length of the response and the ID of the request; by default, both depend on the prompt.
    pub(crate) fn parse(api: Api, body: &Value) -> Result<Self, &'static str> {
        let model = body["model"].as_str().ok_or("field model is missing")?;
        let text = match api {
            Api::Chat => chat_text(&body["messages"])?,
            Api::Completions => body["prompt"]
                .as_str()
                .ok_or("field prompt is missing")?
                .to_owned(),
        };
        let extension = &body["standin"];
        let hash = hash(&text);
        let length = MIN_TOKENS + hash % TOKEN_RANGE;
        let max_tokens = body["max_tokens"].as_u64().unwrap_or(length);
        let tokens = extension["tokens"]
            .as_u64()
            .unwrap_or(length.min(max_tokens));
        let op = extension["op"].as_str().map(str::to_owned);
        Ok(Self {
            api,
            model: model.to_owned(),
            text,
            op: op.unwrap_or_else(|| format!("{hash:016x}")),
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX).max(1),
            is_streamed: body["stream"].as_bool().unwrap_or(false),
        })
    }

    /// Text of one token.
    pub(crate) fn token(&self, index: u32) -> String {
        format!("{}:{index} ", self.op)
    }

    /// Server-sent event with one token.
    pub(crate) fn event(&self, index: u32) -> String {
        let token = self.token(index);
        let is_last = index + 1 == self.tokens;
        let finish = is_last.then_some("stop");
        let choice = match self.api {
            Api::Chat if index == 0 => {
                json!({"index": 0, "delta": {"role": "assistant", "content": token}, "finish_reason": finish})
            }
            Api::Chat => {
                json!({"index": 0, "delta": {"content": token}, "finish_reason": finish})
            }
            Api::Completions => json!({"index": 0, "text": token, "finish_reason": finish}),
        };
        let object = match self.api {
            Api::Chat => "chat.completion.chunk",
            Api::Completions => "text_completion",
        };
        format!("data: {}\n\n", self.envelope(object, &choice))
    }

    /// Response that is not streamed.
    pub(crate) fn completion(&self) -> Value {
        let text: String = (0..self.tokens).map(|index| self.token(index)).collect();
        let (object, choice) = match self.api {
            Api::Chat => (
                "chat.completion",
                json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "stop"}),
            ),
            Api::Completions => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": "stop"}),
            ),
        };
        let mut response = self.envelope(object, &choice);
        let prompt_tokens = self.text.split_whitespace().count();
        let total_tokens = prompt_tokens + self.tokens as usize;
        response["usage"] = json!({"prompt_tokens": prompt_tokens, "completion_tokens": self.tokens, "total_tokens": total_tokens});
        response
    }

    fn envelope(&self, object: &str, choice: &Value) -> Value {
        json!({
            "id": format!("cmpl-{:016x}", hash(&self.op)),
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
        })
    }
}

/// Concatenated content of chat messages.
fn chat_text(messages: &Value) -> Result<String, &'static str> {
    let messages = messages.as_array().ok_or("field messages is missing")?;
    let texts = messages
        .iter()
        .filter_map(|message| message["content"].as_str());
    Ok(texts.collect::<Vec<_>>().join("\n"))
}

fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
