//! Answers to peers.

use std::sync::Arc;

use super::Message;

/// What a peer is told that asks for contents.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    /// The writes it asked for.
    Message(Arc<Message>),
    /// They are not kept: it has to list every key, or to ask another source.
    Compacted,
    /// There is no memory for another answer at the moment.
    Busy,
}
