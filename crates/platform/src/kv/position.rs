//! How far the service's writes are known.

use crate::kv::Revision;

/// Number of times that the service came back from a copy some seconds old, from any start.
/// Revisions go back then and are given out again.
pub type Era = u64;

/// How far the service's writes are known: revisions of different eras cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The era.
    pub era: Era,
    /// The revision in it.
    pub revision: Revision,
}
