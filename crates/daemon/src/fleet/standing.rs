//! What is known of a peer router.

use mulberryyoke_model::Revision;
use mulberryyoke_wire::Member;

/// A peer router of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Its name.
    pub name: String,
    /// What it said last; `None` before it said anything.
    pub heard: Option<Hearing>,
}

/// What a peer router said last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hearing {
    /// The peer.
    pub member: Member,
    /// Highest configuration revision it had applied.
    pub revision: Revision,
    /// Whether it said so of late.
    pub fresh: bool,
}
