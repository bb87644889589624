//! A source of the key-value service's contents.

use std::net::SocketAddr;

/// A source of the contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    Store,
    Peer(SocketAddr),
}

impl Source {
    /// Value of the metric label `source`.
    pub(super) const fn kind(self) -> &'static str {
        match self {
            Self::Store => "service",
            Self::Peer(_) => "peer",
        }
    }

    /// Name in logs.
    pub(super) fn name(self) -> String {
        match self {
            Self::Store => "key-value service".to_owned(),
            Self::Peer(address) => address.to_string(),
        }
    }
}
