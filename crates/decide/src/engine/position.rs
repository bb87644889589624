//! A prompt's place in the backlog of its server.

/// A prompt's place in the backlog of its server, by which its end is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Identity within the server's backlog.
    pub(super) id: u64,
    /// Prompt tokens that the server has to prefill.
    pub tokens: u32,
}
