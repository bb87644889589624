//! What a caller's head says.

use mulberryyoke_decide::engine::Prompt;

/// What a caller's head says beside method, path and host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// The caller's name for this attempt.
    pub id: String,
    /// How long the caller waits from now, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// The bearer key.
    pub key: Option<String>,
    /// The prompt, if it is for a model.
    pub prompt: Option<Prompt>,
    /// The event after which the caller wants the stream to go on.
    pub resume_after: Option<u64>,
}
