//! Parsed headers of a caller's request.

use mulberryyoke_decide::engine::Prompt;

/// Parsed headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Request ID, which the caller chooses for each attempt.
    pub id: String,
    /// Time that the caller waits for the response, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Bearer key.
    pub key: Option<String>,
    /// Prompt, for requests to a model.
    pub prompt: Option<Prompt>,
    /// ID of the last event received, if the caller resumes a stream.
    pub resume_after: Option<u64>,
    /// ID of the attempt that brought the first event of that stream.
    pub first_attempt: Option<String>,
}
