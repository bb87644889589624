//! A source of data.

use std::fmt;

/// A source of data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source<P> {
    /// The service that has the data.
    Service,
    /// A peer that has the data from the service.
    Peer(P),
}

impl<P> Source<P> {
    /// Kind of the source, as a metric label.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Peer(_) => "peer",
        }
    }
}

impl<P: fmt::Display> fmt::Display for Source<P> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service => formatter.write_str("key-value service"),
            Self::Peer(peer) => peer.fmt(formatter),
        }
    }
}
