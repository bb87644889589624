//! Order of the sends to a server and the ends of its connections.

/// Place of a send, or of the end of a connection, in the order in which a gateway made the sends
/// and observed the ends at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mark(u64);

impl Mark {
    /// Returns the mark that follows.
    pub(super) const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
