//! What passes between this router and one other.

use mulberryyoke_model::{Known, Millis};

use super::outbound::Outbound;

/// What passes between this router and one life of another.
#[derive(Debug, Default)]
pub(super) struct Edge {
    /// When the other was heard or written to last.
    pub(super) used_at: Millis,
    /// Own counters, to a peer.
    pub(super) peer: Outbound,
    /// Own counters, to a parent.
    pub(super) parent: Outbound,
    /// Totals, to a child.
    pub(super) child: Outbound,
    /// What a peer said it knows, until it is answered.
    pub(super) known: Option<Vec<Known>>,
    /// When this router last said what it knows, in ticks.
    pub(super) compared: Option<u64>,
    /// Extracts sent so far.
    pub(super) rounds: usize,
}
