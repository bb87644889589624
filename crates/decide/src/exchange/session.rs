//! Exchange state for one remote router.

use mulberryyoke_model::{Millis, OriginSum};

use super::outbound::Outbound;

/// Exchange state for one instance of a remote router.
#[derive(Debug, Default)]
pub(super) struct Session {
    /// When a statement was last sent or received.
    pub(super) used_at: Millis,
    /// Own counters, sent to a peer.
    pub(super) to_peer: Outbound,
    /// Own counters, sent to a parent.
    pub(super) to_parent: Outbound,
    /// Totals, sent to a child.
    pub(super) to_child: Outbound,
    /// Digest received from a peer and not answered yet.
    pub(super) digest: Option<Vec<OriginSum>>,
    /// Tick at which a digest was last sent.
    pub(super) digest_sent_at: Option<u64>,
    /// Digests answered so far; selects the next page of counters.
    pub(super) pages: usize,
}
