//! Preconditions of a compare-and-swap.

use crate::kv::Revision;

/// Precondition of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The key does not exist.
    Absent,
    /// The key was last written at this revision.
    Revision(Revision),
    /// No condition.
    Any,
}
