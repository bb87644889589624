//! The condition of a compare-and-swap.

use crate::kv::Revision;

/// What a key must be like for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The key does not exist.
    Absent,
    /// The key was last written at this revision.
    Revision(Revision),
    /// Anything.
    Any,
}
