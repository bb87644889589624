//! With whom a router exchanges.

/// With whom a router exchanges.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Neighbors {
    /// Routers to exchange with as peers.
    pub peers: Vec<String>,
    /// The router to hand counters to, if there is a tree and this is not a root.
    pub parent: Option<String>,
    /// Suspect routers that would be peer or parent; to be tried now and then.
    pub probe: Vec<String>,
}
