//! An answer that a server has begun to write.

use tokio::time::Instant;

use crate::framing::Framing;

/// An answer that a server has begun to write.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answer {
    /// When its head was received.
    pub(crate) began_at: Instant,
    pub(crate) framing: Framing,
    /// Whether its status is a success.
    pub(crate) is_success: bool,
}

impl Answer {
    /// Whether its end cannot be told from a crash of the server by the connection alone.
    pub(crate) fn ends_with_connection(&self) -> bool {
        self.framing == Framing::Connection
    }
}
