//! What a caller asks of an engine.

use std::hash::{DefaultHasher, Hash, Hasher};

use serde_json::{Value, json};

/// Fewest tokens of an answer whose length the caller leaves open.
const LEAST_TOKENS: u64 = 8;
/// Spread of such lengths, in tokens.
const SPREAD_TOKENS: u64 = 24;

/// Form of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Form {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

/// A parsed completion request.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    pub(crate) form: Form,
    pub(crate) model: String,
    pub(crate) text: String,
    /// Identity of the request, carried in every token.
    pub(crate) op: String,
    /// Tokens of the whole answer.
    pub(crate) tokens: u32,
    pub(crate) stream: bool,
}

impl Prompt {
    /// Reads a body: `standin.tokens` is the true length and `standin.op` the
    /// identity; both follow from the prompt's text when absent.
    pub(crate) fn parse(form: Form, body: &Value) -> Result<Self, &'static str> {
        let model = body["model"].as_str().ok_or("field model is missing")?;
        let text = match form {
            Form::Chat => chat(&body["messages"])?,
            Form::Text => body["prompt"]
                .as_str()
                .ok_or("field prompt is missing")?
                .to_owned(),
        };
        let own = &body["standin"];
        let hash = hash(&text);
        let drawn = LEAST_TOKENS + hash % SPREAD_TOKENS;
        let most = body["max_tokens"].as_u64().unwrap_or(drawn);
        let tokens = own["tokens"].as_u64().unwrap_or(drawn.min(most));
        let op = own["op"].as_str().map(str::to_owned);
        Ok(Self {
            form,
            model: model.to_owned(),
            text,
            op: op.unwrap_or_else(|| format!("{hash:016x}")),
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX).max(1),
            stream: body["stream"].as_bool().unwrap_or(false),
        })
    }

    /// Text of one token.
    pub(crate) fn token(&self, index: u32) -> String {
        format!("{}:{index} ", self.op)
    }

    /// One chunk of a streamed answer, as a server-sent event.
    pub(crate) fn event(&self, index: u32) -> String {
        let token = self.token(index);
        let last = index + 1 == self.tokens;
        let finish = last.then_some("stop");
        let choice = match self.form {
            Form::Chat if index == 0 => {
                json!({"index": 0, "delta": {"role": "assistant", "content": token}, "finish_reason": finish})
            }
            Form::Chat => {
                json!({"index": 0, "delta": {"content": token}, "finish_reason": finish})
            }
            Form::Text => json!({"index": 0, "text": token, "finish_reason": finish}),
        };
        let object = match self.form {
            Form::Chat => "chat.completion.chunk",
            Form::Text => "text_completion",
        };
        format!("data: {}\n\n", self.envelope(object, &choice))
    }

    /// A whole answer.
    pub(crate) fn whole(&self) -> Value {
        let text: String = (0..self.tokens).map(|index| self.token(index)).collect();
        let (object, choice) = match self.form {
            Form::Chat => (
                "chat.completion",
                json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "stop"}),
            ),
            Form::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": "stop"}),
            ),
        };
        let mut answer = self.envelope(object, &choice);
        let asked = self.text.split_whitespace().count();
        let total = asked + self.tokens as usize;
        answer["usage"] = json!({"prompt_tokens": asked, "completion_tokens": self.tokens, "total_tokens": total});
        answer
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

fn chat(messages: &Value) -> Result<String, &'static str> {
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
