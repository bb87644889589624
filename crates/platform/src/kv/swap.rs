//! The result of a compare-and-swap.

use crate::kv::{Pair, Revision};

/// The result of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The write took effect at this revision.
    Done(Revision),
    /// The key was not as expected; this is there now.
    Conflict(Option<Pair>),
}
