//! Limits of a queue.

/// Limits of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of waiting prompts.
    pub requests: usize,
    /// Maximum total size of the waiting prompts, in bytes.
    pub bytes: usize,
}
