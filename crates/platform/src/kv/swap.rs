//! Results of a compare-and-swap.

use crate::kv::{Pair, Revision};

/// Result of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The write took effect at this revision.
    Done(Revision),
    /// The precondition failed; holds the current entry.
    Conflict(Option<Pair>),
}
