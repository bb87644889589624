//! Neighbors of a router in the exchange.

/// Neighbors of a router in the exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Neighbors {
    /// Routers to exchange with as peers.
    pub peers: Vec<String>,
    /// The router to send counters to; `None` in a full mesh and for a root.
    pub parent: Option<String>,
    /// Suspect routers that would otherwise be peers or the parent; called
    /// periodically to detect that they have recovered.
    pub probe: Vec<String>,
}
