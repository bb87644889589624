//! What a router knows about a peer router.

use mulberryyoke_model::Revision;
use mulberryyoke_wire::Member;

/// Status of a peer router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Its name.
    pub name: String,
    /// Its latest summary; `None` before the first.
    pub last_summary: Option<PeerSummary>,
}

/// Contents of a peer router's latest summary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSummary {
    /// The peer.
    pub member: Member,
    /// Highest configuration revision that the peer had applied.
    pub revision: Revision,
    /// Whether the summary was received within the suspicion timeout.
    pub is_fresh: bool,
}
